//! How the attempt made under a grant ended, as its holder reports it.

use courseshunt_types::Millis;

/// Why a runner did not take a request. It is proved that the request did not
/// run.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub enum AdmissionFailure {
    /// The runner is leaving.
    Draining,
    /// The engine is full.
    Busy,
    /// The runner asks to be left alone for so long.
    Resting(Millis),
    /// The deployment is not loaded there.
    NotLoaded,
    /// The connection was refused or could not be made in time.
    Unreachable,
}

/// How the attempt made under a grant ended.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Done {
        /// Time from sending to the first byte of the answer.
        first_byte: Millis,
        /// Time from sending to the end of the answer.
        total: Millis,
    },
    /// The runner did not take the request.
    NotAdmitted(AdmissionFailure),
    /// The runner failed after it may have started the request.
    Failed,
    /// The caller left, or the request was cancelled, after it was sent.
    Cancelled,
    /// The grant was not used.
    Unused,
}
