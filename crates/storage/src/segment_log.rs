//! File-based store: log segments and snapshots in one folder.
//!
//! Invariant: when the name of a segment or snapshot is durable, so is the
//! content that was written to it before. Each sync writes one frame, and a frame
//! is written only after the one before it is durable. Every segment begins with
//! the hard state, so that old segments can be removed. Data found when the store
//! is opened is made durable before it is recovered.

use crate::error::{FileSnafu, StorageError};
use crate::folder::{Folder, RealFolder};
use crate::frame;
use crate::record::{
    Record, RestartPoint, SnapshotFile, decode_records, decode_snapshot, encode_records,
    encode_snapshot,
};
use crate::terms::StoredTerms;
use crate::{LogStore, RecoveredLog, replay};
use courseshunt_consensus::{Entry, HardState, SnapshotMetadata};
use courseshunt_types::LogIndex;
use snafu::ResultExt;
use std::path::{Path, PathBuf};

const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SNAPSHOT: &str = "snapshot.tmp";
/// Size from which a segment is closed, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// The store on the file system.
pub type FileLog = SegmentLog<RealFolder>;

/// Log store of segments and snapshots in a [`Folder`].
#[derive(Debug)]
pub struct SegmentLog<F> {
    folder: F,
    segments: Vec<Segment>,
    segment_bytes: u64,
    pending: Vec<Record>,
    hard_state: HardState,
    snapshot: SnapshotMetadata,
    terms: StoredTerms,
    recovered: Option<RecoveredLog>,
    failed: bool,
}

#[derive(Debug, Clone)]
struct Segment {
    number: u64,
    bytes: u64,
    last_index: LogIndex,
}

impl Segment {
    fn name(&self) -> String {
        format!("{SEGMENT_PREFIX}{:016}", self.number)
    }
}

impl FileLog {
    /// Opens or creates the store in the folder at `path`.
    ///
    /// # Errors
    /// When the folder can't be created, or its content is damaged.
    pub fn open(path: &Path) -> Result<Self, StorageError> {
        let folder = RealFolder::open(path).context(FileSnafu {
            step: "create folder",
            path,
        })?;
        Self::open_in(folder)
    }
}

impl<F: Folder> SegmentLog<F> {
    /// Opens or creates the store in `folder`.
    ///
    /// # Errors
    /// When a file can't be read or is damaged.
    pub fn open_in(folder: F) -> Result<Self, StorageError> {
        let mut log = Self {
            folder,
            segments: Vec::new(),
            segment_bytes: SEGMENT_BYTES,
            pending: Vec::new(),
            hard_state: HardState::default(),
            snapshot: SnapshotMetadata::default(),
            terms: StoredTerms::default(),
            recovered: None,
            failed: false,
        };
        log.load()?;
        Ok(log)
    }

    /// The folder, for tests and simulations.
    pub fn folder_mut(&mut self) -> &mut F {
        &mut self.folder
    }

    /// Closes the store and returns its folder.
    pub fn into_folder(self) -> F {
        self.folder
    }

    /// Sets the size from which a segment is closed, in bytes.
    pub fn set_segment_bytes(&mut self, bytes: u64) {
        self.segment_bytes = bytes;
    }

    fn path_of(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn damaged(&self, name: &str, problem: String) -> StorageError {
        StorageError::Damaged {
            path: self.path_of(name),
            offset: 0,
            problem,
        }
    }

    fn load(&mut self) -> Result<(), StorageError> {
        let path = self.folder.path();
        let names = self.folder.names().context(FileSnafu {
            step: "list folder",
            path,
        })?;
        let snapshot = self.read_snapshot(&names)?;
        let mut records = Vec::new();
        let segments = names
            .iter()
            .filter_map(|name| name.strip_prefix(SEGMENT_PREFIX)?.parse().ok());
        let segments: Vec<u64> = segments.collect();
        for (position, number) in segments.iter().enumerate() {
            let is_last = position + 1 == segments.len();
            records.extend(self.read_segment(*number, is_last)?);
        }
        self.sync_recovered_files()?;
        let metadata = snapshot.metadata;
        let recovered = replay::replay(records, &metadata);
        let recovered = recovered.map_err(|problem| {
            let oldest = self.segments.first().map(Segment::name);
            self.damaged(&oldest.unwrap_or_default(), problem)
        })?;
        self.hard_state = recovered.hard_state;
        self.snapshot = metadata;
        self.terms = StoredTerms::new(&self.snapshot, &recovered.entries);
        self.recovered = Some(RecoveredLog {
            core: recovered,
            snapshot: snapshot.bytes,
        });
        Ok(())
    }

    /// Makes the data found when the store is opened durable. A process that was killed before
    /// its sync can leave writes, names and (from an earlier recovery) truncations that a power
    /// loss would undo, whereas this process reports the data as durable to other members.
    fn sync_recovered_files(&mut self) -> Result<(), StorageError> {
        let Some(last) = self.segments.last().map(Segment::name) else {
            return Ok(());
        };
        let synced = self.folder.sync(&last);
        synced.context(FileSnafu {
            step: "sync",
            path: self.path_of(&last),
        })?;
        self.sync_names()
    }

    /// Reads the latest snapshot. A snapshot gets its name only after it is
    /// durable, so an invalid one is damage.
    fn read_snapshot(&mut self, names: &[String]) -> Result<SnapshotFile, StorageError> {
        let latest = names.iter().rfind(|name| name.starts_with(SNAPSHOT_PREFIX));
        let Some(name) = latest else {
            return Ok(SnapshotFile {
                metadata: SnapshotMetadata::default(),
                bytes: Vec::new(),
            });
        };
        let content = self.folder.read(name).context(FileSnafu {
            step: "read",
            path: self.path_of(name),
        })?;
        let frames = frame::decode(&self.path_of(name), &content)?;
        let snapshot = frames.contents.first().and_then(|one| decode_snapshot(one));
        snapshot.ok_or_else(|| self.damaged(name, "the snapshot's checksum is wrong".to_owned()))
    }

    fn read_segment(&mut self, number: u64, is_last: bool) -> Result<Vec<Record>, StorageError> {
        let mut segment = Segment {
            number,
            bytes: 0,
            last_index: LogIndex(0),
        };
        let name = segment.name();
        let path = self.path_of(&name);
        let content = self.folder.read(&name).context(FileSnafu {
            step: "read",
            path: &path,
        })?;
        let frames = frame::decode(&path, &content)?;
        let valid = frames.valid_bytes as u64;
        if frames.valid_bytes < content.len() {
            if !is_last {
                return Err(StorageError::Damaged {
                    path,
                    offset: valid,
                    problem: "a closed segment ends with an invalid frame".to_owned(),
                });
            }
            log::warn!(
                "storage: dropped a torn write at the end of {}: {} bytes after offset {valid}",
                path.display(),
                content.len() - frames.valid_bytes
            );
            let cut = self.folder.truncate(&name, valid);
            cut.context(FileSnafu {
                step: "truncate",
                path: &path,
            })?;
        }
        let mut records = Vec::new();
        for content in frames.contents {
            let Some(decoded) = decode_records(content) else {
                return Err(self.damaged(
                    &name,
                    "a frame contains records of an unknown form".to_owned(),
                ));
            };
            records.extend(decoded);
        }
        segment.bytes = valid;
        segment.last_index = last_index(&records);
        self.segments.push(segment);
        Ok(records)
    }

    fn check_usable(&self) -> Result<(), StorageError> {
        match self.failed {
            true => Err(StorageError::Failed),
            false => Ok(()),
        }
    }

    /// Position of the segment to write to, which is created if there is none or the last one
    /// is full.
    fn active_segment(&mut self) -> Result<usize, StorageError> {
        let last = self.segments.last();
        let last_number = last.map_or(0, |segment| segment.number);
        if last.is_none_or(|segment| segment.bytes >= self.segment_bytes) {
            self.segments.push(Segment {
                number: last_number + 1,
                bytes: 0,
                last_index: LogIndex(0),
            });
        }
        let position = self.segments.len() - 1;
        if self.segments[position].bytes == 0 {
            // The segment is new, or its first frame was torn by a crash.
            let first_records = vec![Record::HardState(self.hard_state)];
            self.write_frame(position, &first_records)?;
            self.sync_names()?;
        }
        Ok(position)
    }

    /// Writes one frame and makes it durable. If the disk is full, the file is
    /// restored to its previous size and the same call may be retried.
    fn write_frame(&mut self, position: usize, records: &Vec<Record>) -> Result<(), StorageError> {
        let mut buffer = Vec::new();
        frame::encode(&encode_records(records), &mut buffer);
        let name = self.segments[position].name();
        let path = self.path_of(&name);
        if let Err(source) = self.folder.append(&name, &buffer) {
            let previous_bytes = self.segments[position].bytes;
            let restored = self.folder.truncate(&name, previous_bytes).is_ok();
            self.failed = !restored || source.kind() != std::io::ErrorKind::StorageFull;
            return Err(source).context(FileSnafu {
                step: "write",
                path,
            });
        }
        let synced = self.folder.sync(&name);
        self.failed = synced.is_err();
        synced.context(FileSnafu { step: "sync", path })?;
        let segment = &mut self.segments[position];
        segment.bytes += buffer.len() as u64;
        segment.last_index = segment.last_index.max(last_index(records));
        Ok(())
    }

    fn sync_names(&mut self) -> Result<(), StorageError> {
        let synced = self.folder.sync_names();
        self.failed = synced.is_err();
        synced.context(FileSnafu {
            step: "sync folder",
            path: self.folder.path(),
        })
    }

    fn write_snapshot(&mut self, snapshot: &SnapshotFile) -> Result<String, StorageError> {
        let mut buffer = Vec::new();
        frame::encode(&encode_snapshot(snapshot), &mut buffer);
        let name = format!("{SNAPSHOT_PREFIX}{:016}", snapshot.metadata.last_index.0);
        let path = self.path_of(&name);
        let written = self.write_temporary(&buffer);
        if let Err(source) = written {
            let _ = self.folder.remove(TEMPORARY_SNAPSHOT);
            return Err(source).context(FileSnafu {
                step: "write snapshot",
                path,
            });
        }
        let renamed = self.folder.rename(TEMPORARY_SNAPSHOT, &name);
        renamed.context(FileSnafu {
            step: "rename snapshot",
            path,
        })?;
        self.sync_names()?;
        Ok(name)
    }

    fn write_temporary(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        if self
            .folder
            .names()?
            .iter()
            .any(|name| name == TEMPORARY_SNAPSHOT)
        {
            self.folder.remove(TEMPORARY_SNAPSHOT)?;
        }
        self.folder.append(TEMPORARY_SNAPSHOT, bytes)?;
        self.folder.sync(TEMPORARY_SNAPSHOT)
    }

    /// Removes the segments and snapshots that the snapshot `keep` supersedes, oldest first.
    fn remove_superseded(&mut self, keep: &str) -> Result<(), StorageError> {
        let through = self.snapshot.last_index;
        while self.segments.len() > 1 && self.segments[0].last_index <= through {
            let name = self.segments.remove(0).name();
            self.remove(&name)?;
        }
        let path = self.folder.path();
        let names = self.folder.names().context(FileSnafu {
            step: "list folder",
            path,
        })?;
        let older = |name: &&String| name.starts_with(SNAPSHOT_PREFIX) && name.as_str() < keep;
        for name in names.iter().filter(older) {
            self.remove(name)?;
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        self.folder.remove(name).context(FileSnafu {
            step: "remove",
            path: self.path_of(name),
        })
    }
}

impl<F: Folder> LogStore for SegmentLog<F> {
    fn recover(&mut self) -> Result<RecoveredLog, StorageError> {
        self.check_usable()?;
        Ok(self.recovered.take().unwrap_or_default())
    }

    fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        self.check_usable()?;
        if let Some(hard_state) = hard_state {
            self.pending.push(Record::HardState(*hard_state));
        }
        self.pending
            .extend(entries.iter().cloned().map(Record::Entry));
        Ok(())
    }

    fn sync(&mut self) -> Result<(), StorageError> {
        self.check_usable()?;
        if self.pending.is_empty() {
            return Ok(());
        }
        let position = self.active_segment()?;
        let pending = std::mem::take(&mut self.pending);
        if let Err(error) = self.write_frame(position, &pending) {
            self.pending = pending;
            return Err(error);
        }
        for record in &pending {
            match record {
                Record::HardState(hard_state) => self.hard_state = *hard_state,
                Record::Entry(entry) => self.terms.push(entry.index, entry.term),
                Record::Restart(point) => self.terms.restart(point.index, point.term),
            }
        }
        Ok(())
    }

    fn save_snapshot(
        &mut self,
        metadata: &SnapshotMetadata,
        bytes: &[u8],
    ) -> Result<(), StorageError> {
        self.check_usable()?;
        self.sync()?;
        if metadata.last_index <= self.snapshot.last_index {
            return Ok(());
        }
        let snapshot = SnapshotFile {
            metadata: metadata.clone(),
            bytes: bytes.to_vec(),
        };
        let name = self.write_snapshot(&snapshot)?;
        self.snapshot = snapshot.metadata;
        let log_continues = self.terms.at(metadata.last_index) == Some(metadata.last_term);
        if !log_continues {
            self.pending.push(Record::Restart(RestartPoint {
                index: metadata.last_index,
                term: metadata.last_term,
            }));
            self.sync()?;
        }
        self.remove_superseded(&name)
    }
}

fn last_index(records: &[Record]) -> LogIndex {
    let indexes = records.iter().map(|record| match record {
        Record::Entry(entry) => entry.index,
        Record::Restart(point) => point.index,
        Record::HardState(_) => LogIndex(0),
    });
    indexes.max().unwrap_or_default()
}
