//! What the surroundings may ask the core.

use super::{Core, CoreSettings, Role};
use crate::membership::Membership;
use courseshunt_types::{ControllerId, LogIndex, Millis, Term, Timestamp};

/// What a leader knows about another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberProgress {
    /// The member.
    pub member: ControllerId,
    /// Last entry known to be durable there.
    pub matched: LogIndex,
    /// Time since it was last heard; `None` when never in this term.
    pub silent_for: Option<Millis>,
}

/// The members as one member knows them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MembersView {
    /// Voters and learners.
    pub membership: Membership,
    /// Whether the membership is committed and no change goes on.
    pub settled: bool,
    /// Last committed entry known here.
    pub commit: LogIndex,
    /// How far each other member is; known at the leader only.
    pub progress: Vec<MemberProgress>,
}

impl MembersView {
    /// Voters other than this member that were heard within `limit`.
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
    /// The members as this one knows them.
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

    /// Present term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// The leader, if known.
    #[must_use]
    pub fn leader(&self) -> Option<ControllerId> {
        self.leader
    }

    /// Last entry known to be committed.
    #[must_use]
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Last entry handed out for applying.
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

    /// Members, as of the last appended membership entry.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.memberships.latest()
    }

    /// Whether the membership in force is committed and no change goes on.
    #[must_use]
    pub fn membership_is_settled(&self) -> bool {
        let committed = self.memberships.latest_index() <= self.commit;
        let leadership = self.leadership.as_ref();
        let pending = leadership.is_some_and(|one| one.pending_change.is_some());
        committed && !pending && self.memberships.latest().outgoing.is_empty()
    }

    /// Whether surely no other member leads at `now`.
    #[must_use]
    pub fn has_lease(&self, now: Timestamp) -> bool {
        self.holds_lease(now)
    }

    /// The last moment at which this member was surely in contact with a
    /// quorum, or with a leader that was within one lease before.
    #[must_use]
    pub fn quorum_contact(&self) -> Option<Timestamp> {
        match &self.leadership {
            Some(leadership) => leadership.confirmed_at,
            None => self
                .heard_leader_at
                .map(|heard| heard - self.settings.election_timeout),
        }
    }

    /// What this leader knows about the other members; empty elsewhere.
    #[must_use]
    pub fn progress(&self, now: Timestamp) -> Vec<MemberProgress> {
        let leadership = self.leadership.iter();
        let known = leadership.flat_map(|leadership| &leadership.progress);
        let known = known.map(|(member, progress)| MemberProgress {
            member: *member,
            matched: progress.matched,
            silent_for: progress.heard_at.map(|heard| now.since(heard)),
        });
        known.collect()
    }
}
