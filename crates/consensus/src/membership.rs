//! Who votes and who only listens.

use courseshunt_types::ControllerId;
use std::collections::BTreeSet;

/// Members of the group. While `outgoing` is not empty the group is in a joint
/// change: a decision needs a majority of `voters` and of `outgoing`.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Membership {
    /// Members that vote.
    pub voters: BTreeSet<ControllerId>,
    /// Voters of the membership that a joint change leaves behind.
    pub outgoing: BTreeSet<ControllerId>,
    /// Members that receive the log but do not vote.
    pub learners: BTreeSet<ControllerId>,
}

/// A change of the membership, proposed to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum MembershipChange {
    /// Adds a member that listens only.
    AddLearner(ControllerId),
    /// Makes a caught-up learner a voter.
    Promote(ControllerId),
    /// Makes a caught-up learner a voter in place of a lost one, in one change.
    Replace {
        /// The lost voter.
        lost: ControllerId,
        /// The learner that takes its place.
        learner: ControllerId,
    },
    /// Removes a voter or learner.
    Remove(ControllerId),
}

/// Why a change of the membership was refused.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum MembershipError {
    /// Another change is not committed yet.
    #[snafu(display("another membership change is in progress"))]
    ChangeInProgress,
    /// The member is unknown.
    #[snafu(display("member {member} is not in the group"))]
    UnknownMember {
        /// The member.
        member: ControllerId,
    },
    /// The member is in the group already.
    #[snafu(display("member {member} is in the group already"))]
    AlreadyMember {
        /// The member.
        member: ControllerId,
    },
    /// The learner has not caught up.
    #[snafu(display("learner {member} has not caught up with the log"))]
    NotCaughtUp {
        /// The learner.
        member: ControllerId,
    },
    /// The change would leave too few live voters.
    #[snafu(display("the change would leave the group without a live quorum"))]
    WouldLoseQuorum,
}

impl Membership {
    /// A group of voters without learners.
    #[must_use]
    pub fn of_voters(voters: impl IntoIterator<Item = ControllerId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Whether the members in `present` form a quorum.
    #[must_use]
    pub fn is_quorum(&self, present: &BTreeSet<ControllerId>) -> bool {
        majority(&self.voters, present)
            && (self.outgoing.is_empty() || majority(&self.outgoing, present))
    }

    /// Whether `member` votes, in the old or the new set.
    #[must_use]
    pub fn is_voter(&self, member: ControllerId) -> bool {
        self.voters.contains(&member) || self.outgoing.contains(&member)
    }

    /// All members: voters, outgoing voters and learners.
    #[must_use]
    pub fn all(&self) -> BTreeSet<ControllerId> {
        let voters = self.voters.union(&self.outgoing);
        voters.chain(self.learners.iter()).copied().collect()
    }
}

fn majority(voters: &BTreeSet<ControllerId>, present: &BTreeSet<ControllerId>) -> bool {
    voters.intersection(present).count() * 2 > voters.len()
}
