//! Waiting queues and grants.

mod actor;
mod handle;

pub use handle::{DispatcherHandle, GrantedRequest};

use crate::configuration::ConfigurationView;
use crate::error::RouterError;
use courseshunt_types::RouterId;
use courseshunt_types::time::MonotonicClock;
use std::sync::Arc;

/// Starts the dispatcher.
///
/// # Errors
/// When the actor can't be started.
pub async fn start(
    router: RouterId,
    view: Arc<ConfigurationView>,
    clock: MonotonicClock,
) -> Result<DispatcherHandle, RouterError> {
    actor::spawn(router, view, clock).await
}
