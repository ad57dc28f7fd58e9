//! Whether a member that has no leader hears a quorum: if it does, there will be a leader
//! here soon; if it doesn't, there may be one elsewhere.
//!
//! Rests on this: within two election timeouts after the last word of a leader, each voter
//! that lives asks the others for their votes, or answers one that does.

use super::{Core, Role};
use courseshunt_types::{ControllerId, Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A member that hears no quorum for so many halves of an election timeout after its last
/// leader's word has lost the quorum: a half more than the others may take to be heard.
const HALF_TIMEOUTS: u64 = 5;

/// Whom a member has heard, and when it last had a leader or led.
#[derive(Debug)]
pub(super) struct Contact {
    led_at: Timestamp,
    /// By voter, since the last leader's word.
    heard: BTreeMap<ControllerId, Timestamp>,
}

impl Contact {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            led_at: now,
            heard: BTreeMap::new(),
        }
    }

    /// Notes that a leader was heard, or that this member led until now.
    pub(super) fn led(&mut self, now: Timestamp) {
        self.led_at = now;
        self.heard.clear();
    }

    /// Notes a message of a voter.
    pub(super) fn heard(&mut self, from: ControllerId, now: Timestamp) {
        self.heard.insert(from, now);
    }
}

impl Core {
    /// Whether this voter has had no leader for so long, and heard so few others meanwhile,
    /// that none is elected with it: a quorum may have a leader without it.
    #[must_use]
    pub fn has_lost_quorum(&self, now: Timestamp) -> bool {
        let membership = self.memberships.latest();
        let judges = self.role != Role::Leader && membership.is_voter(self.settings.id);
        let window = Millis(self.settings.election_timeout.0 * HALF_TIMEOUTS / 2);
        if !judges || now.since(self.contact.led_at) < window {
            return false;
        }
        let heard = self.contact.heard.iter();
        let lately = heard.filter(|(_, at)| now.since(**at) < window);
        let mut voices: BTreeSet<ControllerId> = lately.map(|(id, _)| *id).collect();
        voices.insert(self.settings.id);
        !membership.is_quorum(&voices)
    }
}
