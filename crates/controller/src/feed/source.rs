//! State that all feeds of this controller share: the placement index, encoded updates, the last
//! confirmation by a quorum, and a change signal.
//!
//! Invariant: a confirmation carries a revision that is applied here, and a time before the quorum
//! was queried.

use super::configuration::{changed_documents, update};
use super::frames::{FrameCache, Frames};
use super::placement_index::PlacementIndex;
use crate::ControllerContext;
use crate::replica::ReplicaHandle;
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{LogIndex, Millis, Revision, Timestamp};
use courseshunt_wire::{DOCUMENTS_PER_PART, Message};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// Largest number of concurrent full syncs at one controller.
pub const MAX_SYNCS: usize = 8;
/// Shortest time between two reads of the replicated state; changes in between are sent together.
const COALESCE_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between confirmations by a quorum.
pub const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one confirmation.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Newest state that the feeds can send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FeedVersion {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Log index of the placement.
    pub placement: LogIndex,
}

/// A confirmation by a quorum that `revision` was the newest one at a certain time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// Time before the quorum was queried.
    pub at: Timestamp,
    /// Revision applied here afterwards.
    pub revision: Revision,
}

/// Counters for the metrics page.
#[derive(Debug, Default)]
pub struct FeedCounts {
    /// Syncs of routers without a configuration or with a very stale one.
    pub syncs: AtomicU64,
    /// Updates that contain only changes.
    pub updates: AtomicU64,
    /// Syncs that wait for a permit or are being sent.
    pub waiting_syncs: AtomicU64,
}

impl FeedCounts {
    pub(super) fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Shared state of the feeds.
#[derive(Debug)]
pub struct FeedSource {
    version: watch::Sender<FeedVersion>,
    placement: RwLock<PlacementIndex>,
    confirmation: Mutex<Option<Confirmation>>,
    configuration_frames: Mutex<FrameCache>,
    placement_frames: Mutex<FrameCache>,
    sync_permits: Arc<Semaphore>,
    /// Counters.
    pub counts: FeedCounts,
}

impl Default for FeedSource {
    fn default() -> Self {
        Self {
            version: watch::Sender::new(FeedVersion::default()),
            placement: RwLock::default(),
            confirmation: Mutex::default(),
            configuration_frames: Mutex::default(),
            placement_frames: Mutex::default(),
            sync_permits: Arc::new(Semaphore::new(MAX_SYNCS)),
            counts: FeedCounts::default(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FeedSource {
    /// Subscription to the newest state that can be sent.
    #[must_use]
    pub fn versions(&self) -> watch::Receiver<FeedVersion> {
        self.version.subscribe()
    }

    /// Age and revision of the last confirmation.
    #[must_use]
    pub fn confirmation(&self, now: Timestamp) -> Option<(Millis, Revision)> {
        let confirmation = (*lock(&self.confirmation))?;
        Some((now.since(confirmation.at), confirmation.revision))
    }

    /// Log index of the newest placement, and the changes that lead to it from `since`.
    #[must_use]
    pub fn placement_since(&self, since: LogIndex) -> (LogIndex, Frames) {
        let index = self.placement.read();
        let index = index.unwrap_or_else(PoisonError::into_inner);
        let newest = index.sequence();
        let make = || vec![Message::Placement(index.since(since))];
        let frames = lock(&self.placement_frames).get(since.0, newest.0, make);
        (newest, frames)
    }

    /// Whether a router at revision `since` needs a sync instead of an update.
    #[must_use]
    pub fn needs_sync(&self, replica: &ReplicaHandle, since: Revision) -> bool {
        let state = replica.state();
        let changed = changed_documents(&state.configuration, since);
        since == Revision(0) || changed > DOCUMENTS_PER_PART
    }

    /// Waits for a sync permit, which is held while the parts are sent.
    pub async fn acquire_sync_permit(&self) -> Option<OwnedSemaphorePermit> {
        self.sync_permits.clone().acquire_owned().await.ok()
    }

    /// Newest revision, and the parts of the configuration that lead to it from `since`.
    #[must_use]
    pub fn configuration_since(
        &self,
        replica: &ReplicaHandle,
        since: Revision,
    ) -> (Revision, Frames) {
        let state = replica.state();
        let newest = state.configuration.revision;
        let make = || update(&state.configuration, since).into_parts();
        let frames = lock(&self.configuration_frames).get(since.0, newest.0, make);
        (newest, frames)
    }

    fn refresh(&self, replica: &ReplicaHandle) {
        let state = replica.state();
        let mut index = self
            .placement
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        index.update(&state.placement, state.placement_changed_at);
        let version = FeedVersion {
            revision: state.configuration.revision,
            placement: index.sequence(),
        };
        drop(index);
        drop(state);
        self.version.send_if_modified(|known| {
            let changed = *known != version;
            *known = version;
            changed
        });
    }

    async fn confirm(&self, replica: &ReplicaHandle, clock: MonotonicClock) {
        let at = clock.now();
        let confirmed = tokio::time::timeout(CONFIRMATION_TIMEOUT, replica.read_barrier()).await;
        if !matches!(confirmed, Ok(Ok(_))) {
            return;
        }
        let revision = replica.state().configuration.revision;
        *lock(&self.confirmation) = Some(Confirmation { at, revision });
    }
}

/// Follows the replicated state until shutdown.
pub async fn follow(context: ControllerContext) {
    let mut status = context.replica.status();
    loop {
        context.feed.refresh(&context.replica);
        if status.changed().await.is_err() {
            return;
        }
        tokio::time::sleep(COALESCE_INTERVAL).await;
    }
}

/// Periodically confirms with a quorum that this member is up to date.
pub async fn confirm(context: ControllerContext) {
    loop {
        context.feed.confirm(&context.replica, context.clock).await;
        tokio::time::sleep(CONFIRMATION_INTERVAL).await;
    }
}
