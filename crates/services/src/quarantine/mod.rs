//! Requests that end the instances that run them.
//!
//! A request may bring down each instance that begins to run it, with all other requests
//! there. It comes again with another identity, at any router, so it is known by its
//! content ([`RequestContent`](crate::RequestContent)). Routers tell the leader which
//! contents were broken off by an instance that has ended; the leader counts the
//! instances that ended under each, over all routers, and tells all routers which
//! contents are in quarantine: those are sent to no instance. See [`ledger`] for the
//! leader's side and [`local`] for a router's.
//!
//! Most of what an ending instance breaks off is sound. So an end counts for a content
//! only until that content is answered: a router that has an answer to a suspected
//! content, from just before its first end or later, says so, and nothing is left
//! against it.

pub mod ledger;
pub mod local;

use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};

/// A content under which so many instances have ended, not all of them in one moment, is
/// in quarantine.
pub const MAX_ENDS: usize = 3;
/// Routers are told of contents under which so many have ended, so that they can vouch
/// for them in time.
const SUSPECTED_ENDS: usize = 2;
/// An answer so long before the first end still speaks for a content: what is asked for
/// often enough to be on three instances that fail together is answered more often.
const SOUND_BEFORE: Millis = Millis(10_000);
/// Instances that end so close together were perhaps lost for a common reason, and what
/// many clients ask for at that time is on several of them: see [`weigh`].
const MOMENT: Millis = Millis(60);
/// Instances that count at the most of those that ended in one moment.
const MOMENT_COUNTS: usize = MAX_ENDS - 1;
/// Ends that nothing was added to for so long are forgotten.
const REMEMBERED: Millis = Millis(3_600_000);

/// An instance that ended while it had a request of this content.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct InstanceEnd {
    /// What the request asked.
    pub content: Digest,
    /// The instance.
    pub instance: RunnerId,
    /// Time since then.
    pub age: Millis,
}

/// What instances that ended at these times count, in any order: those of one moment
/// never reach a quarantine by themselves. Without that, the loss of a third of the fleet
/// holds back sound requests that many had just begun to ask for.
fn weigh(times: impl IntoIterator<Item = Timestamp>) -> usize {
    let mut times: Vec<Timestamp> = times.into_iter().collect();
    times.sort_unstable();
    let moments = times.chunk_by(|one, next| next.since(*one) < MOMENT);
    moments.map(|moment| moment.len().min(MOMENT_COUNTS)).sum()
}

/// A content in quarantine, as it is kept durably.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct QuarantinedContent {
    /// What the requests ask.
    pub content: Digest,
    /// How often it was put in quarantine.
    pub times: u32,
}
