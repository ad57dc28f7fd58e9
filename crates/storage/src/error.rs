//! Storage errors, which name the step and the file.

use std::io;
use std::path::PathBuf;

/// An error of the durable store.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// An operation on a file failed.
    #[snafu(display("storage: {step} {}: {source}", path.display()))]
    File {
        /// What was being done.
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
        /// Where, in bytes.
        offset: u64,
        /// What is wrong.
        problem: String,
    },
    /// The folder belongs to another member.
    #[snafu(display("storage: {} belongs to member {found}, not to {expected}; a member never takes another's place", path.display()))]
    WrongIdentity {
        /// The identity file.
        path: PathBuf,
        /// Identity in the file.
        found: String,
        /// Identity in the settings.
        expected: u64,
    },
    /// The folder is empty, but the member was not told to found a group.
    #[snafu(display("storage: {} holds no identity: member {expected} lost its disk, or was never started; a machine whose disk was lost joins under a new id; only the first voters of a new group start with `new_group`", path.display()))]
    NoIdentity {
        /// The identity file.
        path: PathBuf,
        /// Identity in the settings.
        expected: u64,
    },
    /// An earlier error left the store unusable until it is opened again.
    #[snafu(display("storage: refused after an earlier error"))]
    Failed,
}

impl StorageError {
    /// Whether the same call may succeed later (a full disk).
    #[must_use]
    pub fn is_temporary(&self) -> bool {
        match self {
            Self::File { source, .. } => source.kind() == io::ErrorKind::StorageFull,
            _ => false,
        }
    }
}
