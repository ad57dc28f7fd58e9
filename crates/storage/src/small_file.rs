//! Atomic replacement of small files.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// Replaces a file durably and atomically: after a power loss the file has
/// either the old content or the new one. The folder is created if it does not
/// exist.
///
/// # Errors
/// When the folder or the file can't be written.
pub fn replace(folder: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let temporary = folder.join(format!("{name}.tmp"));
    let mut file = File::create(&temporary)?;
    file.write_all(content)?;
    file.sync_all()?;
    std::fs::rename(&temporary, folder.join(name))?;
    File::open(folder)?.sync_all()
}
