//! Publishes committed configurations to the routers that subscribe to this controller.
//!
//! Source: this controller's own replica of the log, so that a change crosses the network once
//! for each controller and not once for each router.

use crate::Shared;
use courseshunt_services::{RouteServices, RouteTable};
use std::sync::Arc;

/// Where the routes of the configurations led that this controller applied. A router that starts
/// after a change can't compare them itself: the leader's list of versions names the services.
#[derive(Default)]
struct AppliedRoutes {
    present: Option<RouteTable>,
    services: RouteServices,
}

impl AppliedRoutes {
    /// Notes the services whose routes a committed configuration alters.
    fn apply(&mut self, document: &[u8], shared: &Shared) {
        let Ok(configuration) = shared.interface.read_configuration(document) else {
            // The leader's loop logs it.
            return;
        };
        let now = shared.clock.now();
        let table = RouteTable::new(configuration);
        self.services.apply(self.present.as_ref(), &table, now);
        self.present = Some(table);
        let mut versions = shared.software_versions();
        for (service, at) in self.services.alterations() {
            versions.note_altered(service, at);
        }
        drop(versions);
        shared.wake.notify_one();
    }
}

/// Publishes each committed configuration to routers, until the process stops.
pub(crate) async fn publish_committed(shared: Arc<Shared>) {
    let mut status = shared.replica.status();
    let mut routes = AppliedRoutes::default();
    loop {
        if let Some((number, document)) = unpublished(&shared) {
            routes.apply(&document, &shared);
            let document = shared.interface.document_for_routers(&document);
            shared.sessions.publish_configuration(number, &document);
        }
        if status.changed().await.is_err() {
            return;
        }
    }
}

/// The committed configuration, in the operator's form, if it has not been published yet.
fn unpublished(shared: &Shared) -> Option<(u64, Vec<u8>)> {
    let sent = shared.sessions.configuration_number();
    let state = shared.replica.state();
    let services = &state.services;
    (services.number > sent).then(|| (services.number, services.document.clone()))
}
