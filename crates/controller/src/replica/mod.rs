//! This member's replica of the log: drives the consensus core, the store and
//! the state machine, and is the one way to change replicated state.

mod actor;
mod handle;

pub use handle::{ProposeError, ReplicaHandle, ReplicaStatus};

use crate::error::{ControllerError, StorageSnafu};
use courseshunt_settings::ControllerSettings;
use courseshunt_storage::FileLog;
use courseshunt_types::time::MonotonicClock;
use snafu::ResultExt;

/// Folder of the log of group 0 in the data folder.
const GROUP_FOLDER: &str = "group-0";

/// Opens the store and starts the replica.
///
/// # Errors
/// When the store is damaged or can't be opened.
pub async fn start(
    settings: &ControllerSettings,
    clock: MonotonicClock,
) -> Result<ReplicaHandle, ControllerError> {
    let folder = settings.data_folder.join(GROUP_FOLDER);
    let store = FileLog::open(&folder).context(StorageSnafu)?;
    actor::spawn(settings, Box::new(store), clock).await
}
