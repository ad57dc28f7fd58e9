//! The identity file, which binds a data folder to one member.
//!
//! Invariant: a member votes only with the data folder that contains its
//! earlier votes and entries. If these are lost, the machine starts only under a
//! new member identifier.

use crate::error::{FileSnafu, StorageError};
use crate::small_file;
use courseshunt_types::ControllerId;
use snafu::ResultExt;
use std::path::Path;

/// Name of the identity file in the data folder.
const FILE: &str = "identity";

/// Checks that the folder belongs to `member`. If the folder has no identity
/// file and `allow_new` is set, it is assigned to the member. Set `allow_new`
/// only for a member that founds a group, or that joins under an identifier
/// which has never voted.
///
/// # Errors
/// When the folder belongs to another member, has no identity file without
/// `allow_new`, or can't be read or written.
pub fn claim_folder(
    folder: &Path,
    member: ControllerId,
    allow_new: bool,
) -> Result<(), StorageError> {
    let path = folder.join(FILE);
    match std::fs::read_to_string(&path) {
        Ok(found) if found.trim() == member.to_string() => Ok(()),
        Ok(found) => Err(StorageError::WrongIdentity {
            path,
            found: found.trim().to_owned(),
            expected: member.0,
        }),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound && allow_new => {
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
