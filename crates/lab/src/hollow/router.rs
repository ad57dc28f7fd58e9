//! Hollow routers: the real view and the real control link, without callers and
//! queues. They follow the feed, confirm revisions and report demand as real
//! routers do.

use courseshunt_queue::{DemandReport, WaitingByClass};
use courseshunt_router::configuration::ConfigurationView;
use courseshunt_router::control::{
    Endpoints, LedgerClient, LinkClient, LinkSettings, ledger_channel, run,
};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{DeploymentName, Incarnation, Millis, Revision, RouterId};
use courseshunt_wire::ClusterKey;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// A port at which nobody listens; hollow routers serve nobody.
const NOWHERE: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

/// A running hollow router; cheap to clone.
#[derive(Debug, Clone)]
pub struct HollowRouter {
    client: HollowClient,
    ledger: LedgerClient,
}

/// Where a hollow router connects and who it is.
#[derive(Debug, Clone)]
pub struct HollowRouterSettings {
    /// Name.
    pub id: RouterId,
    /// Zone.
    pub zone: String,
    /// Wire addresses of controllers.
    pub controllers: Vec<SocketAddr>,
    /// Key of the cluster.
    pub key: ClusterKey,
}

impl HollowRouter {
    /// Starts it; it ends when `stop` is cancelled.
    #[must_use]
    pub fn start(settings: HollowRouterSettings, stop: CancellationToken) -> Self {
        let client = HollowClient::default();
        let nowhere = SocketAddr::from(NOWHERE);
        let link = LinkSettings {
            router: settings.id,
            incarnation: Incarnation(rand::random()),
            zone: settings.zone.as_str().into(),
            endpoints: Endpoints {
                http_address: nowhere,
                wire_address: nowhere,
            },
            controllers: settings.controllers,
            source: None,
            key: settings.key,
            clock: MonotonicClock::start(),
        };
        let (ledger, calls) = ledger_channel();
        let running = run(client.clone(), link, calls);
        tokio::spawn(stop.run_until_cancelled_owned(running));
        Self { client, ledger }
    }

    /// What the feed has told.
    #[must_use]
    pub fn view(&self) -> &ConfigurationView {
        &self.client.shared.view
    }

    /// The revision in force here.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.view().revision()
    }

    /// Commands for the ledger over this router's link.
    #[must_use]
    pub fn ledger(&self) -> &LedgerClient {
        &self.ledger
    }

    /// Lets one request wait for a deployment until a replica is ready.
    pub fn demand(&self, deployment: DeploymentName) {
        let shared = &self.client.shared;
        let mut demand = shared.lock();
        demand.report(&deployment, 1);
        demand.waiting.insert(deployment);
        drop(demand);
        shared.demand_changed.notify_one();
    }
}

/// The router behind the link.
#[derive(Debug, Clone, Default)]
struct HollowClient {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    view: ConfigurationView,
    demand: Mutex<HollowDemand>,
    demand_changed: Notify,
}

#[derive(Debug, Default)]
struct HollowDemand {
    /// Deployments that a request waits for.
    waiting: BTreeSet<DeploymentName>,
    /// Reports that were not taken yet.
    reports: BTreeMap<DeploymentName, DemandReport>,
}

impl HollowDemand {
    fn report(&mut self, deployment: &DeploymentName, waiting: u32) {
        let report = demand_report(deployment, waiting);
        self.reports.insert(deployment.clone(), report);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, HollowDemand> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_ready(&self, deployment: &DeploymentName) -> bool {
        let replicas = self.view.replicas(deployment);
        replicas.is_some_and(|replicas| !replicas.ready.is_empty())
    }
}

impl LinkClient for HollowClient {
    fn view(&self) -> &ConfigurationView {
        &self.shared.view
    }

    fn view_changed(&self) {
        let mut demand = self.shared.lock();
        let waiting = demand.waiting.iter();
        let served = waiting.filter(|name| self.shared.is_ready(name));
        let served: Vec<DeploymentName> = served.cloned().collect();
        for deployment in &served {
            demand.waiting.remove(deployment);
            demand.report(deployment, 0);
        }
        drop(demand);
        if !served.is_empty() {
            self.shared.demand_changed.notify_one();
        }
    }

    async fn demand_changed(&self) {
        self.shared.demand_changed.notified().await;
    }

    async fn demand(&self) -> Vec<DemandReport> {
        let reports = std::mem::take(&mut self.shared.lock().reports);
        reports.into_values().collect()
    }
}

/// A report of `waiting` requests, which also arrived since the last one.
fn demand_report(deployment: &DeploymentName, waiting: u32) -> DemandReport {
    let interactive = WaitingByClass {
        interactive: waiting,
        ..WaitingByClass::default()
    };
    DemandReport {
        deployment: deployment.clone(),
        waiting: interactive,
        running: 0,
        arrived: interactive,
        earliest_deadline_in: (waiting > 0).then_some(Millis::from_secs(60)),
        longest_wait: Millis(0),
    }
}
