//! Restores the instances that earlier leaders recorded in the log, and records instances for
//! later leaders.
//!
//! Invariant: no step under a lock, and no log entry, grows with the size of the fleet.

use crate::Shared;
use crate::unrecorded_instances::{InstanceChanges, UnrecordedInstances};
use courseshunt_controller::replica::ProposeError;
use courseshunt_services::InstanceView;
use courseshunt_state::Command;
use courseshunt_types::{RunnerId, Timestamp};
use std::ops::Bound;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Instances that are restored before the task yields; a batch takes some milliseconds.
const RESTORE_BATCH_INSTANCES: usize = 256;

/// Restores the recorded instances in batches. Between two batches the process serves its
/// connections, and new commits can be applied to the state.
pub(crate) async fn restore_instances(shared: &Shared, now: Timestamp) {
    let mut after = None;
    loop {
        let batch = recorded_after(shared, after.as_ref());
        let Some(last) = batch.last() else {
            return;
        };
        after = Some(last.id.clone());
        restore_batch(shared, &batch, now);
        tokio::task::yield_now().await;
    }
}

/// The log holds no software versions: they are not known until the instances register, or another
/// controller relays them.
fn restore_batch(shared: &Shared, batch: &[InstanceView], now: Timestamp) {
    let mut versions = shared.software_versions();
    for view in batch {
        versions.note_unknown_version(&view.service, &view.id, now);
    }
    drop(versions);
    let mut engine = shared.engine();
    for view in batch {
        engine.seed(view, now);
    }
}

/// The next batch of recorded instances, in the order of their identifiers, after `after`.
fn recorded_after(shared: &Shared, after: Option<&RunnerId>) -> Vec<InstanceView> {
    let from = after.map_or(Bound::Unbounded, Bound::Excluded);
    let state = shared.replica.state();
    let recorded = state.services.instances.range((from, Bound::Unbounded));
    let batch = recorded.map(|(_, view)| view.clone());
    batch.take(RESTORE_BATCH_INSTANCES).collect()
}

/// Records the present changes in the log, in batches, up to the first one that is not recorded. That
/// one and the rest stay for the next time: the disk may be full, or another member leads. Changes
/// that come meanwhile wait for the next time as well.
pub(crate) async fn record_all(unrecorded: &Mutex<UnrecordedInstances>, shared: &Shared) {
    let batches = lock(unrecorded).take_batches();
    let mut batches = batches.into_iter();
    while let Some(batch) = batches.next() {
        let InstanceChanges { changed, gone } = batch.clone();
        let command = Command::RecordInstances { changed, gone };
        let Err(error) = shared.replica.submit_as_leader(command).await else {
            continue;
        };
        log::debug!("controller: instances not recorded: {error}");
        if matches!(error, ProposeError::TooLong { .. }) {
            // It never fits; the instances are recorded again with their next change.
            continue;
        }
        let mut unrecorded = lock(unrecorded);
        for unsent in std::iter::once(batch).chain(batches) {
            unrecorded.put_back(unsent);
        }
        return;
    }
}

/// The changes; no task that holds the lock leaves them inconsistent.
pub(crate) fn lock(unrecorded: &Mutex<UnrecordedInstances>) -> MutexGuard<'_, UnrecordedInstances> {
    unrecorded.lock().unwrap_or_else(PoisonError::into_inner)
}
