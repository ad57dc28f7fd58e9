//! Changes of the membership: spares join, are promoted, take a lost voter's
//! place; and often another voter is lost right after the repair.

use crate::checker::Promise;
use crate::world::{Event, World};
use courseshunt_consensus::{Input, Membership, MembershipChange, ProposalId};
use courseshunt_types::{ControllerId, LogIndex};
use std::collections::{BTreeMap, BTreeSet};

/// Longest time between looks at the membership, in milliseconds.
const BETWEEN: u64 = 2_500;
/// Members of a run at the most, lost ones among them.
const MAX_MEMBERS: u64 = 9;
/// Proposals of the steward carry numbers that no client's have.
const FIRST_PROPOSAL: u64 = 1 << 40;

/// See the module.
#[derive(Debug, Default)]
pub(crate) struct Steward {
    last_proposal: u64,
    /// Commit index at the leader when a promotion was proposed.
    floors: BTreeMap<ControllerId, LogIndex>,
    known_voters: BTreeSet<ControllerId>,
    changes: usize,
    repairing: Option<ControllerId>,
}

impl Steward {
    pub(crate) fn committed_changes(&self) -> usize {
        self.changes
    }
}

impl World {
    pub(crate) fn steward_acts(&mut self) {
        let next = self.random.between(400, BETWEEN);
        self.schedule(next, Event::Steward);
        if self.now >= self.faults_until {
            return;
        }
        let Some(leader) = self.leader() else {
            return;
        };
        let Some(process) = &self.nodes[&leader].running else {
            return;
        };
        if !process.core.membership_is_settled() {
            return;
        }
        let membership = process.core.membership().clone();
        if membership.voters != self.steward.known_voters {
            self.steward.known_voters = membership.voters.clone();
            self.steward.changes += 1;
            self.lose_another(&membership);
        }
        self.change_membership(leader, &membership);
    }

    /// Right after a repair another voter goes, for a while.
    fn lose_another(&mut self, membership: &Membership) {
        let repaired = self.steward.repairing.take();
        let in_force = repaired.is_some_and(|learner| membership.voters.contains(&learner));
        let voters: Vec<ControllerId> = membership.voters.iter().copied().collect();
        if let (true, Some(victim)) = (in_force, self.random.pick(&voters)) {
            self.faults += 1;
            self.crash(victim);
        }
    }

    fn change_membership(&mut self, leader: ControllerId, membership: &Membership) {
        let lost = membership.voters.iter().copied();
        let lost = lost
            .into_iter()
            .find(|id| self.nodes.get(id).is_some_and(|node| node.lost));
        let learner = membership.learners.first().copied();
        let voters: Vec<ControllerId> = membership.voters.iter().copied().collect();
        match (lost, learner) {
            (Some(lost), Some(learner)) => {
                self.steward.repairing = Some(learner);
                self.propose(leader, MembershipChange::Replace { lost, learner });
            }
            (_, None) => self.add_spare(leader),
            (None, Some(learner)) if voters.len() < 4 && self.random.chance(300) => {
                self.propose(leader, MembershipChange::Promote(learner));
            }
            (None, Some(_)) if voters.len() > 3 && self.random.chance(300) => {
                if let Some(voter) = self.random.pick(&voters) {
                    self.propose(leader, MembershipChange::Remove(voter));
                }
            }
            (None, Some(_)) if voters.len() >= 3 && self.random.chance(400) => {
                self.destroy_one(&voters);
            }
            _ => {}
        }
    }

    fn add_spare(&mut self, leader: ControllerId) {
        let number = self.nodes.len() as u64 + 1;
        if number > MAX_MEMBERS {
            return;
        }
        let spare = ControllerId(number);
        self.add_node(spare, Membership::default());
        self.propose(leader, MembershipChange::AddLearner(spare));
    }

    /// A voter's machine is gone for good, with its disk.
    fn destroy_one(&mut self, voters: &[ControllerId]) {
        let Some(victim) = self.random.pick(voters) else {
            return;
        };
        self.faults += 1;
        if let Some(node) = self.nodes.get_mut(&victim) {
            node.crash(&mut self.random);
            node.lost = true;
        }
    }

    fn propose(&mut self, leader: ControllerId, change: MembershipChange) {
        self.steward.last_proposal += 1;
        let proposal = ProposalId(FIRST_PROPOSAL + self.steward.last_proposal);
        let commit = self.nodes[&leader].running.as_ref();
        let commit = commit.map(|process| process.core.commit());
        if let (Some(learner), Some(commit)) = (change.promoted(), commit) {
            self.steward.floors.insert(learner, commit);
        }
        self.with_process(leader, |process, now, checker| {
            let input = Input::ProposeMembership { proposal, change };
            process.step(input, now, checker);
        });
    }

    /// A new voter holds at least what was committed when its promotion was
    /// proposed.
    pub(crate) fn check_promotion(&mut self, membership: &Membership) {
        for (learner, floor) in self.steward.floors.clone() {
            if !membership.voters.contains(&learner) {
                continue;
            }
            self.steward.floors.remove(&learner);
            let running = self.nodes.get(&learner);
            let running = running.and_then(|node| node.running.as_ref());
            let durable = running.map(|process| process.core.durable());
            if durable.is_some_and(|durable| durable < floor) {
                let seen = format!("member {learner} had {durable:?} of {floor}");
                self.checker.fail(Promise::CaughtUpBeforePromotion, seen);
            }
        }
    }
}
