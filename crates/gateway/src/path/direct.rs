//! Connections of this router's own to instances, for its own requests and those it forwards.
//!
//! Invariant: the result of each connection is recorded as the state of the path.

use crate::Shared;
use crate::pool::{self, Upstream};
use crate::records::RouterRecord;
use courseshunt_records::emit;
use courseshunt_services::InstanceView;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Time limit for a connection that a forwarder opens for another router.
const FORWARDER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Opens a connection to an instance and records the state of the path.
pub(crate) async fn connect_directly(shared: &Shared, view: &InstanceView) -> io::Result<Upstream> {
    shared.metrics.connection();
    let connected = pool::connect_to(&*shared.dialler, &view.id, &view.address).await;
    let was_partitioned = shared.paths().is_partitioned();
    let is_regained = match &connected {
        Ok(_) => shared.paths().record_success(&view.service, &view.id),
        Err(_) => {
            shared.paths().record_failure(&view.service, &view.id);
            false
        }
    };
    if is_regained {
        emit(&RouterRecord::PathRegained {
            instance: view.id.as_str(),
        });
    }
    if shared.paths().is_partitioned() != was_partitioned {
        shared.forwarders.report_due.notify_one();
    }
    connected
}

/// Opens a connection to an instance for another router.
///
/// # Errors
/// If this router has lost its path, or can't reach the instance in time.
pub(crate) async fn connect_as_forwarder(
    shared: &Arc<Shared>,
    view: &InstanceView,
) -> io::Result<Upstream> {
    let now = shared.clock.now();
    let is_lost = shared.paths().is_forwarded(&view.id);
    if is_lost || shared.view.is_unreachable(&view.id, now) {
        return Err(io::Error::other("not reached from here"));
    }
    let connecting = connect_directly(shared, view);
    let connected = tokio::time::timeout(FORWARDER_CONNECT_TIMEOUT, connecting).await;
    connected.unwrap_or_else(|_| {
        shared.paths().record_failure(&view.service, &view.id);
        Err(io::ErrorKind::TimedOut.into())
    })
}
