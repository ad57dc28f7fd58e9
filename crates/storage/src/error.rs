//! Storage errors, with the operation and the file.

use std::io;
use std::path::PathBuf;

/// An error of the durable store.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// An operation on a file failed.
    #[snafu(display("storage: {step} {}: {source}", path.display()))]
    File {
        /// The operation that failed.
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A record before the tail is damaged.
    #[snafu(display("storage: {} is damaged at offset {offset}: {problem}", path.display()))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Offset of the damage, in bytes.
        offset: u64,
        /// Description of the damage.
        problem: String,
    },
    /// The folder contains the data of another member.
    #[snafu(display("storage: {} belongs to member {found}, not to {expected}; a member must not start with the data of another member", path.display()))]
    WrongIdentity {
        /// The identity file.
        path: PathBuf,
        /// Member identifier in the file.
        found: String,
        /// Member identifier in the settings.
        expected: u64,
    },
    /// The folder has no identity file, and the member does not found a group or join with a new
    /// identifier.
    #[snafu(display("storage: {} contains no identity: member {expected} lost its disk, or was never started; a machine whose disk was lost joins under a new id; only the first voters of a new group start with `new_group`", path.display()))]
    NoIdentity {
        /// The identity file.
        path: PathBuf,
        /// Member identifier in the settings.
        expected: u64,
    },
    /// An earlier error left the store unusable until it is opened again.
    #[snafu(display(
        "storage: operation refused because an earlier write or sync failed; the store must be opened again"
    ))]
    Failed,
}

impl StorageError {
    /// Whether the same call may succeed later, because the disk is full.
    #[must_use]
    pub fn is_temporary(&self) -> bool {
        match self {
            Self::File { source, .. } => source.kind() == io::ErrorKind::StorageFull,
            _ => false,
        }
    }
}
