//! How many losses of voters the group can still bear, as its leader sees it.
//!
//! Invariant: a voter counts as live only if the leader has heard it lately, so that a
//! group that is led but could not bear a loss is never told as whole.

use crate::repair::{LIVE_WITHIN, MAX_VOTERS};
use courseshunt_consensus::MembersView;
use courseshunt_types::{ControllerId, Millis, Timestamp};
use std::collections::BTreeSet;

/// See the module.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Redundancy {
    /// Voters, this member among them.
    pub voters: usize,
    /// Those of them that were heard lately.
    pub live_voters: usize,
    /// Members that do not vote.
    pub learners: usize,
    /// Processes that have asked to join and are not members yet.
    pub joining: usize,
    /// Live voters that may be lost while a quorum stays.
    pub bearable_losses: usize,
    /// No change of the membership goes on.
    pub settled: bool,
}

impl Redundancy {
    /// Reads it from what the leader `own` knows of the members.
    #[must_use]
    pub fn of(own: ControllerId, members: &MembersView, joining: usize) -> Self {
        let membership = &members.membership;
        let mut live: BTreeSet<ControllerId> = members.live_voters(LIVE_WITHIN).collect();
        if membership.voters.contains(&own) {
            live.insert(own);
        }
        let quorum = membership.voters.len() / 2 + 1;
        Self {
            voters: membership.voters.len(),
            live_voters: live.len(),
            learners: membership.learners.len(),
            joining,
            bearable_losses: live.len().saturating_sub(quorum),
            settled: members.settled,
        }
    }

    /// Whether the group bears as many losses as it ever does.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.voters >= MAX_VOTERS && self.live_voters == self.voters
    }
}

/// Follows the redundancy over one leadership.
#[derive(Debug, Default)]
pub struct RedundancyTracker {
    last: Option<Redundancy>,
    below_full_since: Option<Timestamp>,
}

impl RedundancyTracker {
    /// Takes the present state in; returns whether it differs from the last one.
    pub fn update(&mut self, present: Redundancy, now: Timestamp) -> bool {
        match present.is_full() {
            true => self.below_full_since = None,
            false => {
                self.below_full_since.get_or_insert(now);
            }
        }
        let changed = self.last != Some(present);
        self.last = Some(present);
        changed
    }

    /// Time without full redundancy, in this leadership.
    #[must_use]
    pub fn below_full_for(&self, now: Timestamp) -> Millis {
        let since = self.below_full_since;
        since.map_or(Millis(0), |since| now.since(since))
    }
}
