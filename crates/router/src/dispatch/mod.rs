//! Tickets, waiting queues and grants.

mod actor;
mod handle;
mod owned;
mod snapshot;
mod translate;

pub use actor::{Arguments, DispatcherMessage};
pub use handle::{DispatcherHandle, GrantedRequest};
pub use snapshot::DispatchSnapshot;

use crate::error::RouterError;

/// Starts the dispatcher.
///
/// # Errors
/// When the actor can't be started.
pub async fn start(arguments: Arguments) -> Result<DispatcherHandle, RouterError> {
    actor::spawn(arguments).await
}
