//! Decides on the membership of the group: who is taken in, promoted, replaced.
//!
//! Invariants: one change at a time; a voter is replaced only when its disk is
//! surely gone (another identity answers at its address) or it has been silent
//! for long while a learner stands ready; the number of voters never falls by
//! a repair.

use courseshunt_consensus::{MembersView, MembershipChange};
use courseshunt_types::{ControllerId, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Voters at the most; further members listen and stand ready.
pub(crate) const MAX_VOTERS: usize = 5;
/// A voter that was silent for so long is replaced by a ready learner.
const REPLACE_AFTER: Millis = Millis(2_500);
/// A learner heard within this time stands ready.
pub(crate) const LIVE_WITHIN: Millis = Millis(600);
/// A learner that was silent for so long is removed.
const FORGET_AFTER: Millis = Millis(20_000);

/// What the decision rests on.
#[derive(Debug)]
pub struct GroupView<'a> {
    /// This member, the leader.
    pub own: ControllerId,
    /// Members as the leader knows them.
    pub members: &'a MembersView,
    /// Wire addresses of members.
    pub addresses: &'a BTreeMap<ControllerId, SocketAddr>,
    /// Processes that want to join, with their addresses.
    pub joining: &'a [(ControllerId, SocketAddr)],
    /// How long this member has led.
    pub led_for: Millis,
}

impl GroupView<'_> {
    /// Time since a member was last heard; one never heard counts from the
    /// beginning of the leadership.
    fn silence(&self, member: ControllerId) -> Millis {
        self.heard(member).unwrap_or(self.led_for)
    }

    /// Time since a member was last heard in this leadership, if it was.
    fn heard(&self, member: ControllerId) -> Option<Millis> {
        if member == self.own {
            return Some(Millis(0));
        }
        let progress = self.members.progress.iter();
        let known = progress.filter(|one| one.member == member);
        known.filter_map(|one| one.silent_for).min()
    }

    /// Whether a learner is there now. Without having been heard it is not, however short
    /// the leadership: it would hold every other change up until it is given up.
    fn is_ready(&self, learner: ControllerId) -> bool {
        let heard = self.heard(learner);
        heard.is_some_and(|heard| heard < LIVE_WITHIN)
    }

    /// Whether the learner now lives where the voter did: of two identities at an address
    /// the one that was heard last.
    fn has_place_of(&self, learner: ControllerId, voter: ControllerId) -> bool {
        self.shares_address(voter, learner) && self.silence(voter) >= self.silence(learner)
    }

    fn shares_address(&self, left: ControllerId, right: ControllerId) -> bool {
        let address = self.addresses.get(&left);
        address.is_some() && address == self.addresses.get(&right)
    }
}

/// The next change, if one is due.
#[must_use]
pub fn next_change(view: &GroupView<'_>) -> Option<MembershipChange> {
    if !view.members.settled {
        return None;
    }
    let membership = &view.members.membership;
    let known = membership.all();
    let new = view.joining.iter().find(|(id, _)| !known.contains(id));
    if let Some((id, _)) = new {
        return Some(MembershipChange::AddLearner(*id));
    }
    let mut learners = membership.learners.iter().copied();
    let ready = learners.clone().filter(|id| view.is_ready(*id));
    for learner in ready {
        if let Some(change) = place_for(view, learner) {
            return Some(change);
        }
    }
    let forgotten = learners.find(|id| view.silence(*id) > FORGET_AFTER);
    forgotten.map(MembershipChange::Remove)
}

/// A member whose address the replicated state lacks, with the address that the leader
/// knows. Without it a later leader may not know where that member is, and finds neither
/// it nor a process that comes in its place.
#[must_use]
pub fn next_address_to_record(
    members: &BTreeSet<ControllerId>,
    recorded: &BTreeMap<ControllerId, SocketAddr>,
    known: &BTreeMap<ControllerId, SocketAddr>,
) -> Option<(ControllerId, SocketAddr)> {
    let unrecorded = members.iter().filter(|id| !recorded.contains_key(id));
    let mut found = unrecorded.filter_map(|id| Some((*id, *known.get(id)?)));
    found.next()
}

/// What becomes of a learner that stands ready.
fn place_for(view: &GroupView<'_>, learner: ControllerId) -> Option<MembershipChange> {
    let voters = &view.members.membership.voters;
    let others = voters.iter().copied().filter(|id| *id != view.own);
    let wiped = others.clone().find(|id| view.has_place_of(learner, *id));
    if let Some(lost) = wiped {
        return Some(MembershipChange::Replace { lost, learner });
    }
    if voters.len() < MAX_VOTERS {
        return Some(MembershipChange::Promote(learner));
    }
    let silent = others.max_by_key(|id| view.silence(*id))?;
    let lost = view.silence(silent) > REPLACE_AFTER;
    lost.then_some(MembershipChange::Replace {
        lost: silent,
        learner,
    })
}
