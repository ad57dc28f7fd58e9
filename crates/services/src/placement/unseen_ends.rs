//! Recorded ends of instances that this leader has not seen.
//!
//! Invariant: a registration that was received before its instance ended, and that a controller sends
//! again to this leader, does not bring the instance back, whichever of the two names no start time.

use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::BTreeMap;

/// Time in which late registrations arrive: controllers send those of the last 6 s to a new leader, as
/// soon as they reach it.
const LATE_TIME: Millis = Millis(8_000);

#[derive(Debug)]
struct UnseenEnd {
    started: Option<u64>,
    noted_at: Timestamp,
}

/// The ends by instance name; see the module.
#[derive(Debug, Default)]
pub(super) struct UnseenEnds {
    ends: BTreeMap<String, UnseenEnd>,
}

impl UnseenEnds {
    /// Notes that an instance has ended of which no registration has arrived.
    pub(super) fn note(&mut self, id: &RunnerId, now: Timestamp) {
        let end = UnseenEnd {
            started: id.started(),
            noted_at: now,
        };
        self.ends.insert(id.name().to_owned(), end);
    }

    /// Whether a registration may be a late one of an instance that has ended. Two start times tell
    /// the incarnations apart.
    pub(super) fn may_concern(&self, id: &RunnerId, now: Timestamp) -> bool {
        let Some(end) = self.ends.get(id.name()) else {
            return false;
        };
        let is_distinguishable = end.started.is_some() && id.started().is_some();
        !is_distinguishable && now.since(end.noted_at) < LATE_TIME
    }

    /// Notes that an earlier leader recorded an instance under this name that had not ended.
    pub(super) fn forget(&mut self, id: &RunnerId) {
        self.ends.remove(id.name());
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.ends
            .retain(|_, end| now.since(end.noted_at) < LATE_TIME);
    }
}
