//! Stored forms of the state and of its commands.
//!
//! Invariant: data stored by a previous build is either read correctly or refused with the number
//! of its form; it is never misinterpreted. A snapshot begins with a mark and the number of its
//! form. The exception is the form of the previous release, which has no mark and is written as
//! long as it can represent the whole state. A change of the state's content takes the next form
//! number and keeps the type of the form before it, to read that form. Commands have no form
//! number: new ones are added at the end of the enum.

mod previous_release;

use crate::command::CommandEnvelope;
use crate::state::ReplicatedState;
use previous_release::PreviousReleaseState;
use rkyv::rancor;
use rkyv::util::AlignedVec;

/// First bytes of a marked snapshot. Unmarked snapshots begin with text, and the first and last
/// byte of the mark never occur in text, so the two are distinguishable.
const MARK: [u8; 8] = *b"\xffcshunt\xfe";
/// Snapshots without a mark: those of the previous release, and an intermediate form that has
/// the same content as the current one.
const UNMARKED: u32 = 0;
/// The form that is written when the form of the previous release can't represent the state.
const CURRENT: u32 = 1;

/// A snapshot or a command that can't be read.
#[derive(Debug, snafu::Snafu)]
pub enum SnapshotError {
    /// The bytes are not a valid snapshot of their form.
    #[snafu(display("state: form {form} of the snapshot can't be read: {message}"))]
    Unreadable {
        /// Number of the form.
        form: u32,
        /// What is wrong.
        message: String,
    },
    /// The snapshot was written by a later build.
    #[snafu(display("state: the snapshot has form {form}, this build reads up to {CURRENT}"))]
    Newer {
        /// Number of the form.
        form: u32,
    },
    /// The bytes are not a valid command.
    #[snafu(display("state: the command can't be read: {message}"))]
    Command {
        /// What is wrong.
        message: String,
    },
}

impl ReplicatedState {
    /// Serialises the state as a snapshot. The form of the previous release is used as long as it
    /// can represent the whole state, so that an operator can roll back to that release.
    #[must_use]
    pub fn to_snapshot(&self) -> Vec<u8> {
        if self.services.quarantined.is_empty() {
            return self.to_previous_release_snapshot();
        }
        let Ok(content) = rkyv::to_bytes::<rancor::Error>(self) else {
            return Vec::new();
        };
        let form = CURRENT.to_le_bytes();
        [MARK.as_slice(), form.as_slice(), content.as_slice()].concat()
    }

    /// Serialises the state in the form of the previous release, for a group in which a member of
    /// that release may have to read it. The quarantine, which that release does not support, is
    /// omitted.
    #[must_use]
    pub fn to_previous_release_snapshot(&self) -> Vec<u8> {
        let state = PreviousReleaseState::from(self.clone());
        rkyv::to_bytes::<rancor::Error>(&state)
            .map(|bytes| bytes.to_vec())
            .unwrap_or_default()
    }

    /// Reads the state from a snapshot of any supported form.
    ///
    /// # Errors
    /// When the bytes are not a valid snapshot, or have the form of a later build.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let (form, content) = split(bytes);
        if form > CURRENT {
            return NewerSnafu { form }.fail();
        }
        let read = rkyv::from_bytes::<Self, rancor::Error>(&aligned(content));
        let read = read.map_err(|error| SnapshotError::Unreadable {
            form,
            message: error.to_string(),
        });
        match form {
            UNMARKED => read_unmarked(content, read),
            _ => read,
        }
    }
}

/// Reads the state from a snapshot without a mark; `intermediate` is the result of reading it in
/// the intermediate form. The form is identified by serialising the state again: only in the
/// snapshot's own form this gives the same bytes.
fn read_unmarked(
    content: &[u8],
    intermediate: Result<ReplicatedState, SnapshotError>,
) -> Result<ReplicatedState, SnapshotError> {
    let is_intermediate = intermediate.as_ref().is_ok_and(|state| {
        let written = rkyv::to_bytes::<rancor::Error>(state);
        written.is_ok_and(|written| written.as_slice() == content)
    });
    if is_intermediate {
        return intermediate;
    }
    let Ok(previous_release) =
        rkyv::from_bytes::<PreviousReleaseState, rancor::Error>(&aligned(content))
    else {
        return intermediate;
    };
    let state = ReplicatedState::from(previous_release);
    match state.to_previous_release_snapshot() == content {
        true => Ok(state),
        false => intermediate.and_then(|_| {
            let message = "it has none of the forms without a mark".to_owned();
            UnreadableSnafu {
                form: UNMARKED,
                message,
            }
            .fail()
        }),
    }
}

/// Splits a snapshot into the number of its form and its content.
fn split(bytes: &[u8]) -> (u32, &[u8]) {
    let marked = bytes.strip_prefix(MARK.as_slice());
    let parts = marked.and_then(|rest| rest.split_first_chunk());
    match parts {
        Some((form, content)) => (u32::from_le_bytes(*form), content),
        None => (UNMARKED, bytes),
    }
}

impl CommandEnvelope {
    /// Serialises the envelope as the payload of a log entry.
    #[must_use]
    pub fn to_payload(&self) -> Vec<u8> {
        rkyv::to_bytes::<rancor::Error>(self)
            .map(|bytes| bytes.to_vec())
            .unwrap_or_default()
    }

    /// Reads the envelope from the payload of a log entry.
    ///
    /// # Errors
    /// When the bytes are not a valid command.
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
