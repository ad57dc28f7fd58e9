//! Publishes committed configurations to the routers that subscribe to this controller.
//!
//! Source: this controller's own replica of the log, so that a change crosses the network once
//! for each controller and not once for each router.

use crate::Shared;
use std::sync::Arc;

/// Publishes each committed configuration to routers, until the process stops.
pub(crate) async fn publish_committed(shared: Arc<Shared>) {
    let mut status = shared.replica.status();
    loop {
        if let Some((number, document)) = unpublished(&shared) {
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
