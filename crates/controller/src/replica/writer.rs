//! Thread that writes the durable log.
//!
//! Invariant: requests become durable in the order in which they arrive. Requests that arrive
//! during a sync are written together and synced once (group commit). On a full disk the thread
//! keeps its batch, reports the condition, and retries until there is space.

use super::actor::ReplicaMessage;
use courseshunt_consensus::{Entry, HardState, PersistNumber, SnapshotMetadata};
use courseshunt_storage::{LogStore, StorageError};
use ractor::ActorRef;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Pause between retries on a full disk.
const FULL_DISK_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Largest number of requests in one batch.
const MAX_BATCH: usize = 1024;

/// A write of the log or a snapshot.
#[derive(Debug)]
pub(super) enum WriteRequest {
    /// Entries and hard state.
    Persist {
        number: PersistNumber,
        hard_state: Option<HardState>,
        entries: Vec<Entry>,
    },
    /// A snapshot.
    Snapshot {
        metadata: SnapshotMetadata,
        bytes: Arc<Vec<u8>>,
    },
}

/// Starts the thread; it ends when the sender is dropped or the store fails. `ended` is cancelled
/// once the store is closed.
pub(super) fn start(
    store: Box<dyn LogStore>,
    replica: ActorRef<ReplicaMessage>,
    ended: CancellationToken,
) -> std::io::Result<Sender<WriteRequest>> {
    let (sender, requests) = channel();
    let writer = Writer { store, replica };
    let thread = std::thread::Builder::new().name("log-writer".to_owned());
    thread.spawn(move || {
        let _ended = ended.drop_guard();
        writer.run(&requests);
    })?;
    Ok(sender)
}

struct Writer {
    store: Box<dyn LogStore>,
    replica: ActorRef<ReplicaMessage>,
}

impl Writer {
    fn run(mut self, requests: &Receiver<WriteRequest>) {
        while let Ok(first) = requests.recv() {
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH {
                let Ok(next) = requests.try_recv() else { break };
                batch.push(next);
            }
            if let Err(error) = self.write(batch) {
                log::error!("replica: writing the log failed: {error}");
                let _ = self.replica.cast(ReplicaMessage::StoreFailed { error });
                return;
            }
        }
    }

    fn write(&mut self, batch: Vec<WriteRequest>) -> Result<(), StorageError> {
        let mut written = None;
        for request in batch {
            match request {
                WriteRequest::Persist {
                    number,
                    hard_state,
                    entries,
                } => {
                    self.store.append(hard_state.as_ref(), &entries)?;
                    written = Some(number);
                }
                WriteRequest::Snapshot { metadata, bytes } => {
                    self.sync(written.take())?;
                    self.retry_while_full(|store| store.save_snapshot(&metadata, &bytes))?;
                    self.notify(ReplicaMessage::SnapshotDurable { metadata, bytes });
                }
            }
        }
        self.sync(written)
    }

    fn sync(&mut self, written: Option<PersistNumber>) -> Result<(), StorageError> {
        let Some(number) = written else {
            return Ok(());
        };
        self.retry_while_full(|store| store.sync())?;
        self.notify(ReplicaMessage::Persisted { number });
        Ok(())
    }

    /// Repeats `operation` while the disk is full.
    fn retry_while_full(
        &mut self,
        mut operation: impl FnMut(&mut dyn LogStore) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        let mut full = false;
        loop {
            match operation(self.store.as_mut()) {
                Err(error) if error.is_temporary() => {
                    if !full {
                        log::error!(
                            "replica: refusing new commands until the disk has space: {error}"
                        );
                    }
                    full = true;
                    let notified = self.replica.cast(ReplicaMessage::DiskFull { full });
                    if notified.is_err() {
                        return Err(error);
                    }
                    std::thread::sleep(FULL_DISK_RETRY_PAUSE);
                }
                finished => {
                    if full {
                        log::info!("replica: the disk has space again; accepting commands");
                        self.notify(ReplicaMessage::DiskFull { full: false });
                    }
                    return finished;
                }
            }
        }
    }

    fn notify(&self, message: ReplicaMessage) {
        let _ = self.replica.cast(message);
    }
}
