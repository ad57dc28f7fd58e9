//! Dispatch of requests: tickets, waiting queues and grants.

mod actor;
mod exchange;
mod handle;
mod owned;
mod snapshot;
mod state;
mod translate;

pub use actor::{Arguments, DispatcherMessage};
pub use handle::{DispatcherHandle, GrantedRequest};
pub use owned::QueueTotals;
pub use snapshot::DispatchSnapshot;

use crate::error::RouterError;

/// Starts the dispatcher and returns its handle.
///
/// # Errors
/// When the actor can't be started.
pub async fn start(arguments: Arguments) -> Result<DispatcherHandle, RouterError> {
    actor::spawn(arguments).await
}
