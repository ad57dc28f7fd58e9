//! Settings of a control link, and the interface between a link and its router.

use crate::RouterContext;
use crate::configuration::ConfigurationView;
use courseshunt_queue::DemandReport;
use courseshunt_settings::RouterSettings;
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Incarnation, RouterId, Zone};
use courseshunt_wire::ClusterKey;
use courseshunt_wire::message::QueuedJob;
use std::net::{IpAddr, SocketAddr};

/// Addresses at which this router can be reached.
#[derive(Debug, Clone, Copy)]
pub struct Endpoints {
    /// Address of the HTTP API for callers.
    pub http_address: SocketAddr,
    /// Address of the wire protocol for other processes.
    pub wire_address: SocketAddr,
}

/// Identity of the router and addresses of the controllers.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// Id of the router.
    pub router: RouterId,
    /// Incarnation of the router.
    pub incarnation: Incarnation,
    /// Zone of the router.
    pub zone: Zone,
    /// Addresses that the router announces.
    pub endpoints: Endpoints,
    /// Wire addresses of the controllers; one is connected, the others are spares.
    pub controllers: Vec<SocketAddr>,
    /// Local IP address for connections; `None` lets the system choose.
    pub source: Option<IpAddr>,
    /// Key that authenticates members of the cluster.
    pub key: ClusterKey,
    /// Clock of this process.
    pub clock: MonotonicClock,
}

impl LinkSettings {
    /// Link settings from the settings of a router.
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

/// The router behind a link: a real one, or a simulated one in load tests.
pub trait LinkClient: Send + Sync {
    /// The view that the link applies feed updates to.
    fn view(&self) -> &ConfigurationView;

    /// Called after each change of documents, replicas or routers.
    fn view_changed(&self);

    /// Waits until demand has changed in a way that is reported without delay.
    fn demand_changed(&self) -> impl Future<Output = ()> + Send;

    /// Returns the demand since the last call.
    fn demand(&self) -> impl Future<Output = Vec<DemandReport>> + Send;

    /// Called with the queued jobs assigned to this router.
    fn jobs_queued(&self, _jobs: Vec<QueuedJob>) {}

    /// Called when an operator requests a planned stop.
    fn drain_requested(&self) {}

    /// Called after a controller has been notified of the planned stop.
    fn leaving_reported(&self) {}

    /// Waits until a planned stop begins.
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
        log::info!("router: planned stop requested by an operator");
        self.drain.cancel();
    }

    fn leaving_reported(&self) {
        self.leaving_reported.cancel();
    }

    async fn leaving(&self) {
        self.stop.cancelled().await;
    }
}
