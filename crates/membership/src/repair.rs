//! Decides on membership changes: which processes are added, promoted, replaced and removed.
//!
//! Invariants: one change at a time; a voter is replaced only when its disk is certainly lost
//! (another identity replies at its address), or when it has been silent for long and a ready
//! learner can take its place; a repair never reduces the number of voters.

use courseshunt_consensus::{MembersView, MembershipChange};
use courseshunt_types::{ControllerId, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Maximum number of voters; further members are learners, ready to replace a voter.
pub(crate) const MAX_VOTERS: usize = 5;
/// Silence after which a voter is replaced by a ready learner.
const REPLACE_AFTER: Millis = Millis(2_500);
/// Maximum time since the last contact with a member that counts as live.
pub(crate) const LIVE_WITHIN: Millis = Millis(600);
/// Silence after which a learner is removed.
const REMOVE_AFTER: Millis = Millis(20_000);

/// State of the group that the decision depends on.
#[derive(Debug)]
pub struct GroupView<'a> {
    /// Identity of this member, the leader.
    pub own: ControllerId,
    /// The leader's view of the members.
    pub members: &'a MembersView,
    /// Wire addresses of members.
    pub addresses: &'a BTreeMap<ControllerId, SocketAddr>,
    /// Processes that request to join, with their wire addresses.
    pub joining: &'a [(ControllerId, SocketAddr)],
    /// Time since this member became the leader.
    pub led_for: Millis,
}

impl GroupView<'_> {
    /// Time since the last contact with a member; without any contact, time since the beginning
    /// of the leadership.
    fn silence(&self, member: ControllerId) -> Millis {
        self.last_contact(member).unwrap_or(self.led_for)
    }

    /// Time since the last contact with a member in this leadership; `None` without any contact.
    fn last_contact(&self, member: ControllerId) -> Option<Millis> {
        if member == self.own {
            return Some(Millis(0));
        }
        let progress = self.members.progress.iter();
        let matching = progress.filter(|one| one.member == member);
        matching.filter_map(|one| one.silent_for).min()
    }

    /// Whether a learner is live. Without any contact in this leadership it is not, however short
    /// the leadership: its promotion would block all other changes until it times out.
    fn is_ready(&self, learner: ControllerId) -> bool {
        let last_contact = self.last_contact(learner);
        last_contact.is_some_and(|silent_for| silent_for < LIVE_WITHIN)
    }

    /// Whether the learner has replaced the voter at its address: of two identities at an address,
    /// the one with the most recent contact is current.
    fn has_address_of(&self, learner: ControllerId, voter: ControllerId) -> bool {
        self.shares_address(voter, learner) && self.silence(voter) >= self.silence(learner)
    }

    fn shares_address(&self, left: ControllerId, right: ControllerId) -> bool {
        let address = self.addresses.get(&left);
        address.is_some() && address == self.addresses.get(&right)
    }
}

/// The next membership change, if one is due.
#[must_use]
pub fn next_change(view: &GroupView<'_>) -> Option<MembershipChange> {
    if !view.members.settled {
        return None;
    }
    let membership = &view.members.membership;
    let members = membership.all();
    let new = view.joining.iter().find(|(id, _)| !members.contains(id));
    if let Some((id, _)) = new {
        return Some(MembershipChange::AddLearner(*id));
    }
    let mut learners = membership.learners.iter().copied();
    let ready = learners.clone().filter(|id| view.is_ready(*id));
    for learner in ready {
        if let Some(change) = change_for_learner(view, learner) {
            return Some(change);
        }
    }
    let silent = learners.find(|id| view.silence(*id) > REMOVE_AFTER);
    silent.map(MembershipChange::Remove)
}

/// A member whose address is missing in the replicated state, with the address that the leader
/// has in `known`. Without the recorded address, a later leader may be unable to reach that
/// member, or to recognise a process that replaces it at the same address.
#[must_use]
pub fn next_address_to_record(
    members: &BTreeSet<ControllerId>,
    recorded: &BTreeMap<ControllerId, SocketAddr>,
    known: &BTreeMap<ControllerId, SocketAddr>,
) -> Option<(ControllerId, SocketAddr)> {
    let unrecorded = members.iter().filter(|id| !recorded.contains_key(id));
    let mut addresses = unrecorded.filter_map(|id| Some((*id, *known.get(id)?)));
    addresses.next()
}

/// The change that makes a ready learner a voter, if one is due.
fn change_for_learner(view: &GroupView<'_>, learner: ControllerId) -> Option<MembershipChange> {
    let voters = &view.members.membership.voters;
    let others = voters.iter().copied().filter(|id| *id != view.own);
    let replaced = others.clone().find(|id| view.has_address_of(learner, *id));
    if let Some(lost) = replaced {
        return Some(MembershipChange::Replace { lost, learner });
    }
    if voters.len() < MAX_VOTERS {
        return Some(MembershipChange::Promote(learner));
    }
    let most_silent = others.max_by_key(|id| view.silence(*id))?;
    let is_lost = view.silence(most_silent) > REPLACE_AFTER;
    is_lost.then_some(MembershipChange::Replace {
        lost: most_silent,
        learner,
    })
}
