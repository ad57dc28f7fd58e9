//! The file operations that the store needs, as a trait, so that simulations
//! can run the same code on a faulty disk.

use crate::sync_times::observe_sync;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A folder of files. Written data is durable once the file is synced; new,
/// renamed and removed names are durable once the folder is synced.
pub trait Folder: Send {
    /// Path of the folder, for error messages.
    fn path(&self) -> PathBuf;

    /// Names of all files, sorted.
    ///
    /// # Errors
    /// When the folder can't be read.
    fn names(&mut self) -> io::Result<Vec<String>>;

    /// Content of a file.
    ///
    /// # Errors
    /// When the file does not exist or can't be read.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends to a file, which is created if it does not exist. After an error,
    /// part of the bytes may have been written.
    ///
    /// # Errors
    /// When writing fails, for example on a full disk.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to `length` bytes.
    ///
    /// # Errors
    /// When the file can't be truncated.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    /// When the sync fails; data written since the last sync may be lost.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, and replaces any file of the new name.
    ///
    /// # Errors
    /// When the file can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// When the file can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes new, renamed and removed names durable.
    ///
    /// # Errors
    /// When the sync fails.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A folder of the file system, which keeps written files open.
#[derive(Debug)]
pub struct RealFolder {
    path: PathBuf,
    open: BTreeMap<String, File>,
}

impl RealFolder {
    /// Opens or creates the folder.
    ///
    /// # Errors
    /// When it can't be created.
    pub fn open(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        Ok(Self {
            path: path.to_owned(),
            open: BTreeMap::new(),
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let mut options = OpenOptions::new();
            let options = options.create(true).truncate(false).read(true).write(true);
            let file = options.open(self.path.join(name))?;
            self.open.insert(name.to_owned(), file);
        }
        self.open
            .get_mut(name)
            .ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

impl Folder for RealFolder {
    fn path(&self) -> PathBuf {
        self.path.clone()
    }

    fn names(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        names.sort();
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let mut content = Vec::new();
        File::open(self.path.join(name))?.read_to_end(&mut content)?;
        Ok(content)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        file.seek(SeekFrom::End(0))?;
        file.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let file = self.file(name)?;
        observe_sync(|| file.sync_data())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
