//! Quarantine of requests that terminate the instances that run them.
//!
//! A request may crash every instance that starts to run it, together with all other requests
//! there, because of its whole content or because of something that it shares with others, such as
//! one part of its prompt. Each request has another identity and may arrive at any router, so it is
//! identified by its [`Fingerprints`](crate::Fingerprints). Routers report to the leader which
//! fingerprints were in flight at an instance that terminated. The leader finds the ones that
//! explain the terminations over all routers, and notifies all routers of the fingerprints in
//! quarantine, which are sent to no instance. See [`ledger`] for the leader's side, [`local`] for a
//! router's, and `attribution` for the decision.
//!
//! Invariant: a fingerprint is not in quarantine because of terminations after which a request with
//! it was sent and answered completely.

mod attribution;
mod evidence;
pub mod ledger;
pub mod local;

use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};

/// Number of instances that must terminate while they have requests with a fingerprint, not all of
/// them at the same time, before the fingerprint is quarantined.
pub const MAX_ENDS: usize = 3;
/// Number of terminations from which a fingerprint is suspected. Routers are notified of suspected
/// ones, so that they can report answers to them before a quarantine starts.
const SUSPECTED_ENDS: usize = 2;
/// Time for which a router retains that a fingerprint was answered, for suspicions that come later.
const ANSWER_RETENTION: Millis = Millis(10_000);
/// Time for which an answer that was reported to a leader is retained for the next one, and within
/// which the terminations of a record must lie that it clears. Longer than several elections.
const REPORTED_ANSWER_RETENTION: Millis = Millis(60_000);
/// Instances that terminate within this time of each other may have a common cause, and a content
/// that many clients request at that time runs on several of them: see [`count_ends`].
const COINCIDENCE: Millis = Millis(60);
/// Largest number of terminations that count of those within one [`COINCIDENCE`].
const MAX_COINCIDENT: usize = MAX_ENDS - 1;
/// Time without further terminations after which those of a fingerprint are dropped.
const RETENTION: Millis = Millis(3_600_000);

/// Termination of an instance while a request was in flight there.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct InstanceEnd {
    /// Fingerprints of the request, from the broadest to the narrowest.
    pub fingerprints: Vec<Digest>,
    /// The instance that terminated.
    pub instance: RunnerId,
    /// Time since the termination.
    pub age: Millis,
}

/// A complete answer to a request with a suspected or quarantined fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct AnsweredFingerprint {
    /// The fingerprint.
    pub fingerprint: Digest,
    /// Time since the request was sent.
    pub sent_age: Millis,
}

/// Number of terminations that count, given their times in any order. Terminations at the same
/// time never cause a quarantine by themselves: otherwise the loss of a third of the fleet would
/// quarantine harmless requests that many clients had just started to send.
fn count_ends(times: impl IntoIterator<Item = Timestamp>) -> usize {
    let mut times: Vec<Timestamp> = times.into_iter().collect();
    times.sort_unstable();
    let groups = times.chunk_by(|one, next| next.since(*one) < COINCIDENCE);
    groups.map(|group| group.len().min(MAX_COINCIDENT)).sum()
}

/// A fingerprint in quarantine, as it is stored durably.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct QuarantinedContent {
    /// The fingerprint.
    pub content: Digest,
    /// How often it was quarantined.
    pub times: u32,
}
