//! Read-only views of the core's state for the caller.

use super::{Core, CoreSettings, Role};
use crate::membership::Membership;
use courseshunt_types::{ControllerId, LogIndex, Millis, Term, Timestamp};

/// Replication progress of another member, as tracked by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberProgress {
    /// The member.
    pub member: ControllerId,
    /// Last entry that the member has acknowledged as durable.
    pub matched: LogIndex,
    /// Time since its last message; `None` if none was received in this term.
    pub silent_for: Option<Millis>,
}

/// Membership and progress from one member's point of view.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MembersView {
    /// Voters and learners.
    pub membership: Membership,
    /// Whether the membership is committed and no change is in progress.
    pub settled: bool,
    /// This member's commit index.
    pub commit: LogIndex,
    /// Progress of the other members; empty except at the leader.
    pub progress: Vec<MemberProgress>,
}

impl MembersView {
    /// Voters other than this member whose last message is less than `limit` old.
    pub fn live_voters(&self, limit: Millis) -> impl Iterator<Item = ControllerId> + '_ {
        let live = self.progress.iter().filter(move |one| {
            let silent = one.silent_for;
            silent.is_some_and(|silent| silent < limit)
        });
        let voters = live.filter(|one| self.membership.voters.contains(&one.member));
        voters.map(|one| one.member)
    }
}

impl Core {
    /// Membership and progress from this member's point of view.
    #[must_use]
    pub fn members_view(&self, now: Timestamp) -> MembersView {
        MembersView {
            membership: self.membership().clone(),
            settled: self.membership_is_settled(),
            commit: self.commit,
            progress: self.progress(now),
        }
    }

    /// Settings of this member.
    #[must_use]
    pub fn settings(&self) -> &CoreSettings {
        &self.settings
    }

    /// Role of this member.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// The leader, if known.
    #[must_use]
    pub fn leader(&self) -> Option<ControllerId> {
        self.leader
    }

    /// Commit index: last entry known to be committed.
    #[must_use]
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Last entry returned in [`Output::Apply`](crate::Output::Apply) or contained in a
    /// restored snapshot.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Last entry of the log, durable or not.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Last durable entry.
    #[must_use]
    pub fn durable(&self) -> LogIndex {
        self.durability.through()
    }

    /// Last entry of the latest snapshot.
    #[must_use]
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.last_index
    }

    /// The membership in effect: that of the last appended membership entry.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.memberships.latest()
    }

    /// Whether the membership in effect is committed and no change is in progress.
    #[must_use]
    pub fn membership_is_settled(&self) -> bool {
        let committed = self.memberships.latest_index() <= self.commit;
        let leadership = self.leadership.as_ref();
        let pending = leadership.is_some_and(|one| one.pending_change.is_some());
        committed && !pending && self.memberships.latest().outgoing.is_empty()
    }

    /// Whether this member holds a lease, so that no other member can be leader at `now`.
    #[must_use]
    pub fn has_lease(&self, now: Timestamp) -> bool {
        self.holds_lease(now)
    }

    /// The last time at which this member is known to have been in contact with
    /// a quorum. For a member other than the leader it is one election timeout
    /// before the last message from a leader, since that leader was in contact
    /// with a quorum within one lease before it.
    #[must_use]
    pub fn quorum_contact(&self) -> Option<Timestamp> {
        match &self.leadership {
            Some(leadership) => leadership.confirmed_at,
            None => self
                .leader_contact_at
                .map(|at| at - self.settings.election_timeout),
        }
    }

    /// Progress of the other members; empty except at the leader.
    #[must_use]
    pub fn progress(&self, now: Timestamp) -> Vec<MemberProgress> {
        let leadership = self.leadership.iter();
        let members = leadership.flat_map(|leadership| &leadership.progress);
        let members = members.map(|(member, progress)| MemberProgress {
            member: *member,
            matched: progress.matched,
            silent_for: progress.last_message_at.map(|at| now.since(at)),
        });
        members.collect()
    }
}
