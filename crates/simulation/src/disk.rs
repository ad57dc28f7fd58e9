//! A simulated folder: unsynced writes may be lost or torn by a crash, the disk
//! may be full, and a lying disk forgets what it said was synced.

use crate::random::Random;
use courseshunt_storage::Folder;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

type Names = BTreeMap<String, usize>;

#[derive(Debug, Default)]
struct File {
    durable: Vec<u8>,
    present: Vec<u8>,
}

#[derive(Debug, Default)]
struct Content {
    files: Vec<File>,
    present_names: Names,
    durable_names: Names,
    full: bool,
    lies: bool,
    cut_power_at_sync: bool,
}

/// See the module. Clones are the same disk, which outlives its process.
#[derive(Debug, Clone, Default)]
pub struct SimulatedDisk {
    content: Arc<Mutex<Content>>,
}

impl SimulatedDisk {
    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Fills the disk, or makes space again.
    pub fn set_full(&self, full: bool) {
        self.lock().full = full;
    }

    /// Whether the disk is full.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.lock().full
    }

    /// Makes the disk say "synced" without syncing.
    pub fn set_lying(&self, lies: bool) {
        self.lock().lies = lies;
    }

    /// The next sync does not come to its end: the power goes.
    pub fn cut_power_at_sync(&self) {
        self.lock().cut_power_at_sync = true;
    }

    /// The process was killed, but the power stayed: all that was written is there, synced
    /// or not.
    pub fn kill(&self) {
        self.lock().cut_power_at_sync = false;
    }

    /// Loses what was not synced, or a part of it.
    pub fn crash(&self, random: &mut Random) {
        let mut content = self.lock();
        content.cut_power_at_sync = false;
        if random.chance(500) {
            content.present_names = content.durable_names.clone();
        } else {
            content.durable_names = content.present_names.clone();
        }
        for file in &mut content.files {
            file.crash(random);
        }
    }
}

impl File {
    /// Keeps what was synced, and of an unsynced tail a part, perhaps faulty.
    fn crash(&mut self, random: &mut Random) {
        let appended = self.present.starts_with(&self.durable);
        if appended && self.present.len() > self.durable.len() {
            let tail = self.present.len() - self.durable.len();
            let kept = random.below(tail as u64 + 1) as usize;
            let first_new = self.durable.len();
            self.present.truncate(first_new + kept);
            if kept > 0 && random.chance(300) {
                let at = first_new + random.below(kept as u64) as usize;
                self.present[at] ^= 0x55;
            }
        } else if random.chance(500) {
            self.present = self.durable.clone();
        }
        self.durable = self.present.clone();
    }
}

fn missing() -> io::Error {
    io::Error::from(io::ErrorKind::NotFound)
}

impl Content {
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let position = *self.present_names.get(name).ok_or_else(missing)?;
        self.files.get_mut(position).ok_or_else(missing)
    }

    fn file_or_new(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.present_names.contains_key(name) {
            self.files.push(File::default());
            let position = self.files.len() - 1;
            self.present_names.insert(name.to_owned(), position);
        }
        self.file(name)
    }
}

impl Folder for SimulatedDisk {
    fn path(&self) -> PathBuf {
        PathBuf::from("simulated")
    }

    fn names(&mut self) -> io::Result<Vec<String>> {
        Ok(self.lock().present_names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.lock().file(name)?.present.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut content = self.lock();
        let full = content.full;
        let file = content.file_or_new(name)?;
        if full {
            file.present.extend_from_slice(&bytes[..bytes.len() / 2]);
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        file.present.extend_from_slice(bytes);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut content = self.lock();
        let file = content.file_or_new(name)?;
        file.present
            .truncate(usize::try_from(length).unwrap_or(usize::MAX));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut content = self.lock();
        if content.cut_power_at_sync {
            return Err(io::Error::from(io::ErrorKind::Interrupted));
        }
        if content.lies {
            return Ok(());
        }
        let file = content.file(name)?;
        file.durable = file.present.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut content = self.lock();
        let position = content.present_names.remove(from).ok_or_else(missing)?;
        content.present_names.insert(to.to_owned(), position);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let removed = self.lock().present_names.remove(name);
        removed.map(|_| ()).ok_or_else(missing)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let mut content = self.lock();
        if !content.lies {
            content.durable_names = content.present_names.clone();
        }
        Ok(())
    }
}
