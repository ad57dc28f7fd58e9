//! What the link needs of the router that it serves.

use crate::RouterContext;
use crate::configuration::ConfigurationView;
use courseshunt_queue::DemandReport;
use courseshunt_settings::RouterSettings;
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Incarnation, RouterId, Zone};
use courseshunt_wire::ClusterKey;
use courseshunt_wire::message::QueuedJob;
use std::net::{IpAddr, SocketAddr};

/// Addresses under which this router serves.
#[derive(Debug, Clone, Copy)]
pub struct Endpoints {
    /// For callers.
    pub http_address: SocketAddr,
    /// For other processes.
    pub wire_address: SocketAddr,
}

/// Who the link speaks for, and to whom.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// The router.
    pub router: RouterId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// Where it serves.
    pub endpoints: Endpoints,
    /// Wire addresses of controllers; one is used, the others stand by.
    pub controllers: Vec<SocketAddr>,
    /// IP number that connections come from; `None` lets the system choose.
    pub source: Option<IpAddr>,
    /// Key of the cluster.
    pub key: ClusterKey,
    /// Clock of the process.
    pub clock: MonotonicClock,
}

impl LinkSettings {
    /// Settings of a router's own link.
    #[must_use]
    pub fn of_router(
        settings: &RouterSettings,
        incarnation: Incarnation,
        endpoints: Endpoints,
        key: ClusterKey,
        clock: MonotonicClock,
    ) -> Self {
        Self {
            router: settings.id.clone(),
            incarnation,
            zone: settings.zone.clone(),
            endpoints,
            controllers: settings.controllers.clone(),
            source: settings.source_address,
            key,
            clock,
        }
    }
}

/// The router behind a link: a real one, or a hollow one in the laboratory.
pub trait LinkClient: Send + Sync {
    /// Takes the feed in.
    fn view(&self) -> &ConfigurationView;

    /// Told after each change of documents, replicas or routers.
    fn view_changed(&self);

    /// Waits until demand changed in a way that controllers must know at once.
    fn demand_changed(&self) -> impl Future<Output = ()> + Send;

    /// Demand since the last call.
    fn demand(&self) -> impl Future<Output = Vec<DemandReport>> + Send;

    /// Told which queued jobs to execute.
    fn jobs_queued(&self, _jobs: Vec<QueuedJob>) {}

    /// Told to stop as planned.
    fn drain_requested(&self) {}

    /// Noted when a controller was told that the router stops.
    fn leaving_told(&self) {}

    /// Waits until the router stops as planned.
    fn leaving(&self) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }
}

impl LinkClient for RouterContext {
    fn view(&self) -> &ConfigurationView {
        &self.view
    }

    fn view_changed(&self) {
        self.dispatcher.view_changed();
    }

    async fn demand_changed(&self) {
        self.dispatcher.demand_changed().await;
    }

    async fn demand(&self) -> Vec<DemandReport> {
        self.dispatcher.demand().await
    }

    fn jobs_queued(&self, jobs: Vec<QueuedJob>) {
        self.jobs.set(jobs, self.clock.now());
    }

    fn drain_requested(&self) {
        log::info!("router: an operator asks for a planned stop");
        self.drain.cancel();
    }

    fn leaving_told(&self) {
        self.leaving_told.cancel();
    }

    async fn leaving(&self) {
        self.stop.cancelled().await;
    }
}
