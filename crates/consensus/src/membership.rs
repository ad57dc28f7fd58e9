//! Voters and learners of the group, and the rules for changing them.

use courseshunt_types::ControllerId;
use std::collections::BTreeSet;

/// Members of the group. While `outgoing` is not empty, a joint change is in
/// progress: a quorum is a majority of `voters` and a majority of `outgoing`.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Membership {
    /// Members that vote.
    pub voters: BTreeSet<ControllerId>,
    /// Voters of the old membership during a joint change; empty otherwise.
    pub outgoing: BTreeSet<ControllerId>,
    /// Members that receive the log but do not vote.
    pub learners: BTreeSet<ControllerId>,
}

/// A change of the membership, proposed to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum MembershipChange {
    /// Adds a member that receives the log but does not vote.
    AddLearner(ControllerId),
    /// Makes a caught-up learner a voter.
    Promote(ControllerId),
    /// Replaces a lost voter by a caught-up learner, in one joint change.
    Replace {
        /// The lost voter.
        lost: ControllerId,
        /// The learner that replaces it.
        learner: ControllerId,
    },
    /// Removes a voter or learner.
    Remove(ControllerId),
}

/// Why a membership change was rejected.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum MembershipError {
    /// Another change is not committed yet.
    #[snafu(display("another membership change is in progress"))]
    ChangeInProgress,
    /// The member is not in the group, or not a learner where one is required.
    #[snafu(display("member {member} is not in the group"))]
    UnknownMember {
        /// The member.
        member: ControllerId,
    },
    /// The member is already in the group, or already a voter.
    #[snafu(display("member {member} is in the group already"))]
    AlreadyMember {
        /// The member.
        member: ControllerId,
    },
    /// The learner had not caught up before the deadline.
    #[snafu(display("learner {member} has not caught up with the log"))]
    NotCaughtUp {
        /// The learner.
        member: ControllerId,
    },
    /// The leader has not committed an entry of its term yet.
    #[snafu(display("the leader has just been elected; try again"))]
    LeaderNotReady,
    /// The live members would not be a quorum of the new membership.
    #[snafu(display("the change would leave the group without a live quorum"))]
    WouldLoseQuorum,
}

impl MembershipChange {
    /// The learner that the change makes a voter.
    #[must_use]
    pub fn promoted(&self) -> Option<ControllerId> {
        match self {
            Self::Promote(learner) | Self::Replace { learner, .. } => Some(*learner),
            Self::AddLearner(_) | Self::Remove(_) => None,
        }
    }
}

impl Membership {
    /// A membership of voters without learners.
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

    /// Whether `member` is a voter of the old or of the new membership.
    #[must_use]
    pub fn is_voter(&self, member: ControllerId) -> bool {
        self.voters.contains(&member) || self.outgoing.contains(&member)
    }

    /// The highest value that a quorum of voters has reached; 0 without voters.
    pub fn quorum_value(&self, value_of: impl Fn(ControllerId) -> u64) -> u64 {
        let incoming = majority_value(&self.voters, &value_of);
        match self.outgoing.is_empty() {
            true => incoming,
            false => incoming.min(majority_value(&self.outgoing, &value_of)),
        }
    }

    /// The membership after `change`. Adding or removing one voter is a
    /// single-step change; a replacement changes two voters and is a joint change.
    ///
    /// # Errors
    /// When a joint change is in progress, the members don't allow the change,
    /// or no voter would be left.
    pub fn after(&self, change: MembershipChange) -> Result<Self, MembershipError> {
        if !self.outgoing.is_empty() {
            return Err(MembershipError::ChangeInProgress);
        }
        let mut after = self.clone();
        match change {
            MembershipChange::AddLearner(member) => {
                if self.all().contains(&member) {
                    return Err(MembershipError::AlreadyMember { member });
                }
                after.learners.insert(member);
            }
            MembershipChange::Promote(member) => after.promote(member)?,
            MembershipChange::Replace { lost, learner } => {
                after.promote(learner)?;
                if !after.voters.remove(&lost) {
                    return Err(MembershipError::UnknownMember { member: lost });
                }
                after.outgoing = self.voters.clone();
            }
            MembershipChange::Remove(member) => {
                if !after.voters.remove(&member) && !after.learners.remove(&member) {
                    return Err(MembershipError::UnknownMember { member });
                }
                if after.voters.is_empty() {
                    return Err(MembershipError::WouldLoseQuorum);
                }
            }
        }
        Ok(after)
    }

    fn promote(&mut self, learner: ControllerId) -> Result<(), MembershipError> {
        if self.voters.contains(&learner) {
            return Err(MembershipError::AlreadyMember { member: learner });
        }
        if !self.learners.remove(&learner) {
            return Err(MembershipError::UnknownMember { member: learner });
        }
        self.voters.insert(learner);
        Ok(())
    }

    /// The membership after the end of a joint change.
    #[must_use]
    pub fn finished(&self) -> Self {
        Self {
            outgoing: BTreeSet::new(),
            ..self.clone()
        }
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

fn majority_value(voters: &BTreeSet<ControllerId>, value_of: &impl Fn(ControllerId) -> u64) -> u64 {
    let mut values: Vec<u64> = voters.iter().map(|id| value_of(*id)).collect();
    values.sort_unstable_by(|left, right| right.cmp(left));
    values.get(voters.len() / 2).copied().unwrap_or(0)
}
