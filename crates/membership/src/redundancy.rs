//! Number of voter losses that the group tolerates, as observed by its leader.
//!
//! Invariant: a voter counts as live only if the leader has had contact with it recently, so that
//! a group that has a leader but would not survive a loss is never reported as fully redundant.

use crate::repair::{LIVE_WITHIN, MAX_VOTERS};
use courseshunt_consensus::MembersView;
use courseshunt_types::{ControllerId, Millis, Timestamp};
use std::collections::BTreeSet;

/// Redundancy of the group at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Redundancy {
    /// Number of voters, including this member.
    pub voters: usize,
    /// Number of voters with recent contact, including this member.
    pub live_voters: usize,
    /// Number of members that do not vote.
    pub learners: usize,
    /// Number of processes that have requested to join and are not members yet.
    pub joining: usize,
    /// Number of live voters that may be lost while a quorum remains.
    pub bearable_losses: usize,
    /// Whether no membership change is in progress.
    pub settled: bool,
}

impl Redundancy {
    /// Computes the redundancy from the leader's view; `own` is the leader, and `joining` the
    /// number of pending join requests.
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

    /// Whether the group tolerates the maximum number of losses: all voters are live and there
    /// are as many as allowed.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.voters >= MAX_VOTERS && self.live_voters == self.voters
    }
}

/// Tracks the redundancy during one leadership.
#[derive(Debug, Default)]
pub struct RedundancyTracker {
    last: Option<Redundancy>,
    below_full_since: Option<Timestamp>,
}

impl RedundancyTracker {
    /// Records the current redundancy; returns whether it differs from the last one.
    pub fn update(&mut self, current: Redundancy, now: Timestamp) -> bool {
        match current.is_full() {
            true => self.below_full_since = None,
            false => {
                self.below_full_since.get_or_insert(now);
            }
        }
        let changed = self.last != Some(current);
        self.last = Some(current);
        changed
    }

    /// Time since full redundancy was lost, counted within this leadership; 0 while it is full.
    #[must_use]
    pub fn below_full_for(&self, now: Timestamp) -> Millis {
        let since = self.below_full_since;
        since.map_or(Millis(0), |since| now.since(since))
    }
}
