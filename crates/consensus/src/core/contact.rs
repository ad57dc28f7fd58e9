//! Detects the loss of the quorum at a voter that has no leader. While it receives messages
//! from a quorum, a leader will soon be elected there; if it does not, a leader may be elected
//! without it.
//!
//! The detection relies on this: within two election timeouts after the last message of a
//! leader, each live voter requests the votes of the others or replies to such a request.

use super::{Core, Role};
use courseshunt_types::{ControllerId, Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Halves of an election timeout after which a voter without a leader, and without messages
/// from a quorum, has lost the quorum: one half more than the two timeouts within which each
/// live voter sends a message.
const QUORUM_LOSS_HALF_TIMEOUTS: u64 = 5;

/// When a member last had contact with a leader or was leader, and when each voter last
/// sent it a message.
#[derive(Debug)]
pub(super) struct Contact {
    leader_contact_at: Timestamp,
    /// Time of the last message by voter, since the last contact with a leader.
    last_message_at: BTreeMap<ControllerId, Timestamp>,
}

impl Contact {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            leader_contact_at: now,
            last_message_at: BTreeMap::new(),
        }
    }

    /// Records a message from a leader, or that this member was leader until now.
    pub(super) fn record_leader(&mut self, now: Timestamp) {
        self.leader_contact_at = now;
        self.last_message_at.clear();
    }

    /// Records a message from a voter.
    pub(super) fn record_message(&mut self, from: ControllerId, now: Timestamp) {
        self.last_message_at.insert(from, now);
    }
}

impl Core {
    /// Whether this voter has lost the quorum: for two and a half election timeouts it has had
    /// no leader and received messages from less than a quorum. A quorum may then have a leader
    /// without it.
    #[must_use]
    pub fn has_lost_quorum(&self, now: Timestamp) -> bool {
        let membership = self.memberships.latest();
        let has_vote = self.role != Role::Leader && membership.is_voter(self.settings.id);
        let window = Millis(self.settings.election_timeout.0 * QUORUM_LOSS_HALF_TIMEOUTS / 2);
        if !has_vote || now.since(self.contact.leader_contact_at) < window {
            return false;
        }
        let messages = self.contact.last_message_at.iter();
        let recent = messages.filter(|(_, at)| now.since(**at) < window);
        let mut reachable: BTreeSet<ControllerId> = recent.map(|(id, _)| *id).collect();
        reachable.insert(self.settings.id);
        !membership.is_quorum(&reachable)
    }
}
