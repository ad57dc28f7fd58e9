//! The forms in which the state and its commands are stored.
//!
//! Invariant: what an earlier build stored is read, or refused with the form's number; it is
//! never taken for something else. A snapshot begins with a mark and the number of its form. A
//! change of what the state holds takes the next number, and keeps the type of the form before
//! to read that one. Commands carry no number: new ones go to the end of their list.

use crate::command::CommandEnvelope;
use crate::state::ReplicatedState;
use rkyv::rancor;
use rkyv::util::AlignedVec;

/// How a snapshot begins. Nothing that was stored before forms were marked begins so: that
/// begins with text, and no text holds the outer bytes.
const MARK: [u8; 8] = *b"\xffcshunt\xfe";
/// Snapshots without a mark.
const UNMARKED: u32 = 0;
/// The form that is written; the unmarked one holds the same.
const PRESENT: u32 = 1;

/// A snapshot or a command that can't be read.
#[derive(Debug, snafu::Snafu)]
pub enum SnapshotError {
    /// The bytes are not what they should be.
    #[snafu(display("state: form {form} of the snapshot can't be read: {message}"))]
    Unreadable {
        /// Number of the form.
        form: u32,
        /// What is wrong.
        message: String,
    },
    /// A later build wrote it.
    #[snafu(display("state: the snapshot has form {form}, this build reads up to {PRESENT}"))]
    Newer {
        /// Number of the form.
        form: u32,
    },
    /// The bytes are no command.
    #[snafu(display("state: the command can't be read: {message}"))]
    Command {
        /// What is wrong.
        message: String,
    },
}

impl ReplicatedState {
    /// The state as snapshot bytes.
    #[must_use]
    pub fn to_snapshot(&self) -> Vec<u8> {
        let Ok(content) = rkyv::to_bytes::<rancor::Error>(self) else {
            return Vec::new();
        };
        let form = PRESENT.to_le_bytes();
        [MARK.as_slice(), form.as_slice(), content.as_slice()].concat()
    }

    /// The state from snapshot bytes.
    ///
    /// # Errors
    /// When the bytes are no valid snapshot, or of a form that a later build wrote.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let (form, content) = split(bytes);
        if form > PRESENT {
            return NewerSnafu { form }.fail();
        }
        rkyv::from_bytes::<Self, rancor::Error>(&aligned(content)).map_err(|error| {
            let message = error.to_string();
            SnapshotError::Unreadable { form, message }
        })
    }
}

/// The form of a snapshot, and its content.
fn split(bytes: &[u8]) -> (u32, &[u8]) {
    let marked = bytes.strip_prefix(MARK.as_slice());
    let parts = marked.and_then(|rest| rest.split_first_chunk());
    match parts {
        Some((form, content)) => (u32::from_le_bytes(*form), content),
        None => (UNMARKED, bytes),
    }
}

impl CommandEnvelope {
    /// The envelope as the payload of a log entry.
    #[must_use]
    pub fn to_payload(&self) -> Vec<u8> {
        rkyv::to_bytes::<rancor::Error>(self)
            .map(|bytes| bytes.to_vec())
            .unwrap_or_default()
    }

    /// The envelope from the payload of a log entry.
    ///
    /// # Errors
    /// When the bytes are no valid command.
    pub fn from_payload(bytes: &[u8]) -> Result<Self, SnapshotError> {
        rkyv::from_bytes::<Self, rancor::Error>(&aligned(bytes)).map_err(|error| {
            let message = error.to_string();
            SnapshotError::Command { message }
        })
    }
}

fn aligned(bytes: &[u8]) -> AlignedVec {
    let mut aligned = AlignedVec::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    aligned
}
