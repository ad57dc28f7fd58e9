//! Quarantine of requests that terminate the instances that run them.
//!
//! A request may crash every instance that starts to run it, together with all other requests
//! there. When it is repeated, it has another identity and may arrive at any router, so it is
//! identified by its content ([`RequestContent`](crate::RequestContent)). Routers report to the
//! leader which contents were in flight at an instance that terminated. The leader counts the
//! terminated instances for each content over all routers, and notifies all routers of the
//! contents in quarantine, which are sent to no instance. See [`ledger`] for the leader's side
//! and [`local`] for a router's.
//!
//! Invariant: after an answer to a content is reported, the content is neither suspected nor in
//! quarantine, until further instances terminate.
//!
//! Most requests that are in flight at a terminating instance are harmless, so a termination
//! counts against a content only until the content is answered: a router that has an answer to a
//! suspected content, from shortly before the first termination or later, reports it, and all
//! terminations are cleared.

pub mod ledger;
pub mod local;

use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};

/// Number of instances that must terminate while running a content, not all of them at the same
/// time, before the content is quarantined.
pub const MAX_ENDS: usize = 3;
/// Number of terminations from which a content is suspected. Routers are notified of suspected
/// contents, so that they can report answers to them before a quarantine starts.
const SUSPECTED_ENDS: usize = 2;
/// An answer up to this time before the first termination still clears a content: a content that
/// is requested often enough to run on three instances that fail together is answered more
/// often than that.
const ANSWER_VALID_BEFORE: Millis = Millis(10_000);
/// Instances that terminate within this time of each other may have a common cause, and a content
/// that many clients request at that time runs on several of them: see [`count_ends`].
const COINCIDENCE: Millis = Millis(60);
/// Largest number of terminations that count of those within one [`COINCIDENCE`].
const MAX_COINCIDENT: usize = MAX_ENDS - 1;
/// Time without further terminations after which those of a content are dropped.
const RETENTION: Millis = Millis(3_600_000);

/// Termination of an instance while a request of this content was in flight there.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct InstanceEnd {
    /// Digest of the request's content.
    pub content: Digest,
    /// The instance that terminated.
    pub instance: RunnerId,
    /// Time since the termination.
    pub age: Millis,
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

/// A content in quarantine, as it is stored durably.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct QuarantinedContent {
    /// Digest of the requests' content.
    pub content: Digest,
    /// How often it was quarantined.
    pub times: u32,
}
