//! What all feeds of this controller share: the placement by resource, encoded
//! updates, the last confirmation by a quorum, and a signal that something
//! changed.
//!
//! Invariant: a confirmation names a revision that is applied here, and the
//! moment before the quorum was asked.

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

/// Restart syncs that one controller serves together.
pub const MAX_SYNCS: usize = 8;
/// Shortest time between two looks at the replicated state; changes in between
/// go out together.
const COALESCE_INTERVAL: Duration = Duration::from_millis(10);
/// Time between confirmations by a quorum.
pub const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for one confirmation.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// What the feeds can send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FeedVersion {
    /// Revision of the configuration.
    pub revision: Revision,
    /// State of the placement.
    pub placement: LogIndex,
}

/// A confirmation by a quorum: at this moment, `revision` was the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// Before the quorum was asked.
    pub at: Timestamp,
    /// Revision applied here afterwards.
    pub revision: Revision,
}

/// Counters for the metrics page.
#[derive(Debug, Default)]
pub struct FeedCounts {
    /// Syncs of routers that had nothing or were far behind.
    pub syncs: AtomicU64,
    /// Updates with only what changed.
    pub updates: AtomicU64,
    /// Syncs that wait for their turn.
    pub waiting_syncs: AtomicU64,
}

impl FeedCounts {
    pub(super) fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// See the module.
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
    /// Changes of what can be sent.
    #[must_use]
    pub fn versions(&self) -> watch::Receiver<FeedVersion> {
        self.version.subscribe()
    }

    /// Time since the last confirmation, and its revision.
    #[must_use]
    pub fn confirmation(&self, now: Timestamp) -> Option<(Millis, Revision)> {
        let confirmation = (*lock(&self.confirmation))?;
        Some((now.since(confirmation.at), confirmation.revision))
    }

    /// The placement that changed after `since`, and the state it leads to.
    #[must_use]
    pub fn placement_since(&self, since: LogIndex) -> (LogIndex, Frames) {
        let index = self.placement.read();
        let index = index.unwrap_or_else(PoisonError::into_inner);
        let newest = index.sequence();
        let make = || vec![Message::Placement(index.since(since))];
        let frames = lock(&self.placement_frames).get(since.0, newest.0, make);
        (newest, frames)
    }

    /// Whether a router with `since` needs a sync rather than an update.
    #[must_use]
    pub fn needs_sync(&self, replica: &ReplicaHandle, since: Revision) -> bool {
        let state = replica.state();
        let changed = changed_documents(&state.configuration, since);
        since == Revision(0) || changed > DOCUMENTS_PER_PART
    }

    /// A turn to sync, held while the parts are sent.
    pub async fn sync_turn(&self) -> Option<OwnedSemaphorePermit> {
        self.sync_permits.clone().acquire_owned().await.ok()
    }

    /// Parts of the configuration after `since`, and the revision that they
    /// lead to.
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
        let asked = tokio::time::timeout(CONFIRMATION_TIMEOUT, replica.read_barrier()).await;
        if !matches!(asked, Ok(Ok(_))) {
            return;
        }
        let revision = replica.state().configuration.revision;
        *lock(&self.confirmation) = Some(Confirmation { at, revision });
    }
}

/// Follows the replicated state until the planned stop.
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

/// Asks a quorum again and again whether this member is up to date.
pub async fn confirm(context: ControllerContext) {
    loop {
        context.feed.confirm(&context.replica, context.clock).await;
        tokio::time::sleep(CONFIRMATION_INTERVAL).await;
    }
}
