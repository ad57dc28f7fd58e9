//! How committed configurations get to the routers that follow this controller.
//!
//! Source: its own replica of the log, so that a change crosses the network once for each
//! controller and not once for each router.

use crate::Shared;
use std::sync::Arc;

/// Sends routers each configuration that is committed, until the process stops. Each
/// controller has it from its own replica of the log.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut status = shared.replica.status();
    loop {
        if let Some((number, document)) = newer(&shared) {
            let document = shared.interface.document_for_routers(&document);
            shared.sessions.configure(number, &document);
        }
        if status.changed().await.is_err() {
            return;
        }
    }
}

/// A committed configuration that routers have not been sent, in the operator's form.
fn newer(shared: &Shared) -> Option<(u64, Vec<u8>)> {
    let sent = shared.sessions.configuration_number();
    let state = shared.replica.state();
    let services = &state.services;
    (services.number > sent).then(|| (services.number, services.document.clone()))
}
