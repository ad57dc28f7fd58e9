//! Tickets, waiting queues and grants; the sending of granted requests.

mod actor;
mod exchange;
mod handle;
mod owned;
mod send;
mod snapshot;
mod state;
mod translate;

pub use actor::{Arguments, DispatcherMessage};
pub use handle::{DispatcherHandle, GrantedRequest};
pub use owned::QueueTotals;
pub use send::{Attempted, RunnerRequest, send_to_runner};
pub use snapshot::DispatchSnapshot;

use crate::error::RouterError;

/// Starts the dispatcher.
///
/// # Errors
/// When the actor can't be started.
pub async fn start(arguments: Arguments) -> Result<DispatcherHandle, RouterError> {
    actor::spawn(arguments).await
}
