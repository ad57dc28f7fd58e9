//! A store in files: one log file and one snapshot file in a folder.

use crate::error::{FileSnafu, StorageError};
use crate::memory_log::push;
use crate::record::{Record, decode_all, encode};
use crate::{LogStore, RecoveredLog};
use courseshunt_consensus::{Entry, HardState, Recovered, SnapshotMetadata};
use snafu::ResultExt;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const LOG_FILE: &str = "log.0";

/// See the module.
#[derive(Debug)]
pub struct FileLog {
    path: PathBuf,
    file: File,
    failed: bool,
}

impl FileLog {
    /// Opens or creates the store in `folder`.
    ///
    /// # Errors
    /// When the folder or file can't be created or opened.
    pub fn open(folder: &Path) -> Result<Self, StorageError> {
        std::fs::create_dir_all(folder).context(FileSnafu {
            step: "create folder",
            path: folder,
        })?;
        let path = folder.join(LOG_FILE);
        let opened = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(&path);
        let file = opened.context(FileSnafu {
            step: "open",
            path: &path,
        })?;
        sync_folder(folder)?;
        Ok(Self {
            path,
            file,
            failed: false,
        })
    }

    fn context(&self, step: &'static str) -> FileSnafu<&'static str, &Path> {
        FileSnafu {
            step,
            path: &self.path,
        }
    }

    fn check_usable(&self) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        Ok(())
    }
}

fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let opened = File::open(folder).and_then(|folder| folder.sync_all());
    opened.context(FileSnafu {
        step: "sync folder",
        path: folder,
    })
}

impl LogStore for FileLog {
    fn recover(&mut self) -> Result<RecoveredLog, StorageError> {
        let mut content = Vec::new();
        self.file
            .seek(SeekFrom::Start(0))
            .context(self.context("seek"))?;
        self.file
            .read_to_end(&mut content)
            .context(self.context("read"))?;
        let decoded = decode_all(&self.path, &content)?;
        let valid = decoded.valid_bytes as u64;
        self.file.set_len(valid).context(self.context("truncate"))?;
        self.file
            .seek(SeekFrom::Start(valid))
            .context(self.context("seek"))?;
        let mut core = Recovered::default();
        for record in decoded.records {
            match record {
                Record::HardState(hard_state) => core.hard_state = hard_state,
                Record::Entry(entry) => push(&mut core.entries, entry),
            }
        }
        Ok(RecoveredLog {
            core,
            snapshot: Vec::new(),
        })
    }

    fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        self.check_usable()?;
        let mut buffer = Vec::new();
        if let Some(hard_state) = hard_state {
            encode(&Record::HardState(*hard_state), &mut buffer);
        }
        for entry in entries {
            encode(&Record::Entry(entry.clone()), &mut buffer);
        }
        let written = self.file.write_all(&buffer);
        self.failed = written.is_err();
        written.context(self.context("write"))
    }

    fn sync(&mut self) -> Result<(), StorageError> {
        self.check_usable()?;
        let synced = self.file.sync_data();
        self.failed = synced.is_err();
        synced.context(self.context("sync"))
    }

    fn save_snapshot(
        &mut self,
        _metadata: &SnapshotMetadata,
        _bytes: &[u8],
    ) -> Result<(), StorageError> {
        // Until snapshots land the whole log is kept.
        Ok(())
    }
}
