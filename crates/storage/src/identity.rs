//! The identity file: binds a data folder to one member.
//!
//! Invariant: a member votes only with the disk that holds its earlier votes
//! and entries. A disk that lost them starts only under a new identity.

use crate::error::{FileSnafu, StorageError};
use crate::small_file;
use courseshunt_types::ControllerId;
use snafu::ResultExt;
use std::path::Path;

/// Name of the file in the data folder.
const FILE: &str = "identity";

/// Checks that the folder belongs to `member`. An empty folder is taken into
/// possession when `may_begin`: by a member that founds a group, or one that
/// joins under an identity which has never voted.
///
/// # Errors
/// When the folder belongs to another member, is empty and may not begin, or
/// can't be read or written.
pub fn claim_folder(
    folder: &Path,
    member: ControllerId,
    may_begin: bool,
) -> Result<(), StorageError> {
    let path = folder.join(FILE);
    match std::fs::read_to_string(&path) {
        Ok(found) if found.trim() == member.to_string() => Ok(()),
        Ok(found) => Err(StorageError::WrongIdentity {
            path,
            found: found.trim().to_owned(),
            expected: member.0,
        }),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound && may_begin => {
            let content = format!("{member}\n");
            small_file::replace(folder, FILE, content.as_bytes()).context(FileSnafu {
                step: "write identity",
                path,
            })
        }
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
            Err(StorageError::NoIdentity {
                path,
                expected: member.0,
            })
        }
        Err(error) => Err(error).context(FileSnafu {
            step: "read identity",
            path,
        }),
    }
}
