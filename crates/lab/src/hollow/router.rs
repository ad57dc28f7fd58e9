//! Hollow routers: the real control link over the wire protocol, without
//! callers. What they hold is the revision; what they do is confirm and report
//! demand at the pace of a real router.

use courseshunt_queue::{DemandReport, WaitingByClass};
use courseshunt_types::{DeploymentName, Incarnation, Millis, Revision, RouterId};
use courseshunt_wire::message::Subscribe;
use courseshunt_wire::{
    ClusterKey, Connection, Message, PeerIdentity, Receiver, Sender, WireError, connect,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Time between confirmations, as a real router's.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Pause before a broken link is dialled again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Demands that wait to be reported.
const DEMAND_QUEUE: usize = 128;

/// A running hollow router.
#[derive(Debug, Clone)]
pub struct HollowRouter {
    revision: Arc<AtomicU64>,
    demands: mpsc::Sender<DeploymentName>,
}

/// Where a hollow router connects and who it is.
#[derive(Debug, Clone)]
pub struct HollowRouterSettings {
    /// Name.
    pub id: RouterId,
    /// Zone.
    pub zone: String,
    /// Wire address of its controller.
    pub controller: SocketAddr,
    /// Key of the cluster.
    pub key: ClusterKey,
}

impl HollowRouter {
    /// Starts it; it ends when `stop` is cancelled.
    #[must_use]
    pub fn start(settings: HollowRouterSettings, stop: CancellationToken) -> Self {
        let revision = Arc::new(AtomicU64::new(0));
        let (demands, waiting) = mpsc::channel(DEMAND_QUEUE);
        let link = Link {
            incarnation: Incarnation(rand::random()),
            settings,
            revision: revision.clone(),
        };
        tokio::spawn(stop.run_until_cancelled_owned(link.run(waiting)));
        Self { revision, demands }
    }

    /// The revision in force here.
    #[must_use]
    pub fn revision(&self) -> Revision {
        Revision(self.revision.load(Ordering::Relaxed))
    }

    /// Lets one request wait for a deployment until a replica is ready.
    pub fn demand(&self, deployment: DeploymentName) {
        // A full queue drops the demand, as a full waiting queue would.
        let _ = self.demands.try_send(deployment);
    }
}

struct Link {
    settings: HollowRouterSettings,
    incarnation: Incarnation,
    revision: Arc<AtomicU64>,
}

impl Link {
    async fn run(self, mut demands: mpsc::Receiver<DeploymentName>) {
        let identity = PeerIdentity::Router(self.settings.id.clone(), self.incarnation);
        loop {
            let connected = connect(self.settings.controller, &self.settings.key, &identity).await;
            let ended = match connected {
                Ok(connection) => self.serve(connection, &mut demands).await,
                Err(error) => Err(error),
            };
            if let Err(error) = ended {
                log::warn!("hollow: {error}");
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn serve(
        &self,
        connection: Connection,
        demands: &mut mpsc::Receiver<DeploymentName>,
    ) -> Result<(), WireError> {
        let Connection {
            mut sender,
            receiver,
            ..
        } = connection;
        sender.send(&Message::Subscribe(self.subscribe())).await?;
        let (ready, seen_ready) = watch::channel(BTreeSet::new());
        tokio::select! {
            ended = self.receive(receiver, ready) => ended,
            ended = self.report(sender, demands, seen_ready) => ended,
        }
    }

    fn subscribe(&self) -> Subscribe {
        Subscribe {
            router: self.settings.id.clone(),
            incarnation: self.incarnation,
            wire_address: "127.0.0.1:1".to_owned(),
            http_address: "127.0.0.1:2".to_owned(),
            zone: self.settings.zone.as_str().into(),
            revision: Revision(self.revision.load(Ordering::Relaxed)),
        }
    }

    async fn receive(
        &self,
        mut receiver: Receiver,
        ready: watch::Sender<BTreeSet<DeploymentName>>,
    ) -> Result<(), WireError> {
        while let Some(message) = receiver.receive().await? {
            match message {
                Message::Configuration(update) if !update.more => {
                    self.revision
                        .fetch_max(update.revision.0, Ordering::Relaxed);
                }
                Message::Placement(update) => ready.send_modify(|names| {
                    for replicas in update.deployments {
                        match replicas.ready.is_empty() {
                            true => names.remove(&replicas.deployment),
                            false => names.insert(replicas.deployment),
                        };
                    }
                }),
                _ => {}
            }
        }
        Ok(())
    }

    async fn report(
        &self,
        mut sender: Sender,
        demands: &mut mpsc::Receiver<DeploymentName>,
        mut ready: watch::Receiver<BTreeSet<DeploymentName>>,
    ) -> Result<(), WireError> {
        let mut interval = tokio::time::interval(REPORT_INTERVAL);
        let mut waiting = BTreeSet::new();
        loop {
            tokio::select! {
                demand = demands.recv() => {
                    let Some(deployment) = demand else { return Ok(()) };
                    sender.send(&demand_report(&deployment, 1, 1)).await?;
                    waiting.insert(deployment);
                }
                changed = ready.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let served: Vec<DeploymentName> =
                        waiting.intersection(&ready.borrow_and_update()).cloned().collect();
                    for deployment in served {
                        sender.send(&demand_report(&deployment, 0, 0)).await?;
                        waiting.remove(&deployment);
                    }
                }
                _ = interval.tick() => {
                    let revision = Revision(self.revision.load(Ordering::Relaxed));
                    sender.send(&Message::Confirmed { revision }).await?;
                }
            }
        }
    }
}

fn demand_report(deployment: &DeploymentName, waiting: u32, arrived: u32) -> Message {
    let interactive = |count| WaitingByClass {
        interactive: count,
        ..WaitingByClass::default()
    };
    let report = DemandReport {
        deployment: deployment.clone(),
        waiting: interactive(waiting),
        running: 0,
        arrived: interactive(arrived),
        earliest_deadline_in: (waiting > 0).then_some(Millis::from_secs(60)),
        longest_wait: Millis(0),
    };
    Message::Demand {
        reports: vec![report],
    }
}
