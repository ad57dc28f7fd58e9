//! The thread that writes the durable log.
//!
//! What arrives while a sync runs is written together and synced once (group
//! commit). On a full disk the thread keeps what it has, says so, and tries
//! again until there is space; nothing later overtakes it.

use super::actor::ReplicaMessage;
use courseshunt_consensus::{Entry, HardState, PersistNumber, SnapshotMetadata};
use courseshunt_storage::{LogStore, StorageError};
use ractor::ActorRef;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// Time between tries on a full disk.
const FULL_DISK_PAUSE: Duration = Duration::from_millis(200);
/// Writes that one sync covers at the most.
const MAX_BATCH: usize = 1024;

/// One thing to write.
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

/// Starts the thread; it ends when the sender is dropped or the store fails.
pub(super) fn start(
    store: Box<dyn LogStore>,
    replica: ActorRef<ReplicaMessage>,
) -> std::io::Result<Sender<WriteRequest>> {
    let (sender, requests) = channel();
    let writer = Writer { store, replica };
    let thread = std::thread::Builder::new().name("log-writer".to_owned());
    thread.spawn(move || writer.run(&requests))?;
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
                log::error!("replica: {error}");
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
                    self.until_space(|store| store.save_snapshot(&metadata, &bytes))?;
                    self.tell(ReplicaMessage::SnapshotDurable { metadata, bytes });
                }
            }
        }
        self.sync(written)
    }

    fn sync(&mut self, written: Option<PersistNumber>) -> Result<(), StorageError> {
        let Some(number) = written else {
            return Ok(());
        };
        self.until_space(|store| store.sync())?;
        self.tell(ReplicaMessage::Persisted { number });
        Ok(())
    }

    /// Repeats `work` while the disk is full.
    fn until_space(
        &mut self,
        mut work: impl FnMut(&mut dyn LogStore) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        let mut full = false;
        loop {
            match work(self.store.as_mut()) {
                Err(error) if error.is_temporary() => {
                    if !full {
                        log::error!("replica: no new commands until there is space: {error}");
                    }
                    full = true;
                    let told = self.replica.cast(ReplicaMessage::DiskFull { full });
                    if told.is_err() {
                        return Err(error);
                    }
                    std::thread::sleep(FULL_DISK_PAUSE);
                }
                finished => {
                    if full {
                        log::info!("replica: the disk has space again");
                        self.tell(ReplicaMessage::DiskFull { full: false });
                    }
                    return finished;
                }
            }
        }
    }

    fn tell(&self, message: ReplicaMessage) {
        let _ = self.replica.cast(message);
    }
}
