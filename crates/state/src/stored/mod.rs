//! The forms in which the state and its commands are stored.
//!
//! Invariant: what an earlier build stored is read, or refused with the form's number; it is
//! never taken for something else. A snapshot begins with a mark and the number of its form, but
//! for that of production's build, which is written for as long as it holds all that there is. A
//! change of what the state holds takes the next number, and keeps the type of the form before
//! to read that one. Commands carry no number: new ones go to the end of their list.

mod previous_release;

use crate::command::CommandEnvelope;
use crate::state::ReplicatedState;
use previous_release::PreviousReleaseState;
use rkyv::rancor;
use rkyv::util::AlignedVec;

/// How a snapshot begins. Nothing that was stored before forms were marked begins so: that
/// begins with text, and no text holds the outer bytes.
const MARK: [u8; 8] = *b"\xffcshunt\xfe";
/// Snapshots without a mark: those of production's build, and a form in between, which
/// holds the same as the present one.
const UNMARKED: u32 = 0;
/// The form that is written where the state holds what production's form has no place for.
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
    /// The state as snapshot bytes: in production's form for as long as the state holds nothing
    /// that this form has no place for, so that an operator can go back to that build.
    #[must_use]
    pub fn to_snapshot(&self) -> Vec<u8> {
        if self.services.quarantined.is_empty() {
            return self.to_previous_release_snapshot();
        }
        let Ok(content) = rkyv::to_bytes::<rancor::Error>(self) else {
            return Vec::new();
        };
        let form = PRESENT.to_le_bytes();
        [MARK.as_slice(), form.as_slice(), content.as_slice()].concat()
    }

    /// The state as production's build keeps it, for a group in which one may have to read it.
    /// What that build knows nothing of is left out: what is in quarantine.
    #[must_use]
    pub fn to_previous_release_snapshot(&self) -> Vec<u8> {
        let state = PreviousReleaseState::from(self.clone());
        rkyv::to_bytes::<rancor::Error>(&state)
            .map(|bytes| bytes.to_vec())
            .unwrap_or_default()
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

/// The state out of a snapshot without a mark, of which `between` is what it is in the form in
/// between. Which form it has shows by writing it again: only in its own form the same bytes come of it.
fn read_unmarked(
    content: &[u8],
    between: Result<ReplicatedState, SnapshotError>,
) -> Result<ReplicatedState, SnapshotError> {
    let is_between = between.as_ref().is_ok_and(|state| {
        let again = rkyv::to_bytes::<rancor::Error>(state);
        again.is_ok_and(|again| again.as_slice() == content)
    });
    if is_between {
        return between;
    }
    let Ok(production) = rkyv::from_bytes::<PreviousReleaseState, rancor::Error>(&aligned(content))
    else {
        return between;
    };
    let state = ReplicatedState::from(production);
    match state.to_previous_release_snapshot() == content {
        true => Ok(state),
        false => between.and_then(|_| {
            let message = "it is none of the forms without a mark".to_owned();
            UnreadableSnafu {
                form: UNMARKED,
                message,
            }
            .fail()
        }),
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
