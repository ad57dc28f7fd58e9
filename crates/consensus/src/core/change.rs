//! Membership changes and planned transfer of the leadership.

use super::Core;
use crate::Mutant;
use crate::entry::Payload;
use crate::input::ProposalId;
use crate::membership::{Membership, MembershipChange, MembershipError};
use crate::message::ConsensusMessage;
use crate::output::{Output, RejectionReason};
use courseshunt_types::{ControllerId, LogIndex, Timestamp};
use std::collections::BTreeSet;

/// A promotion that waits for its learner.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingChange {
    pub(super) proposal: ProposalId,
    change: MembershipChange,
    learner: ControllerId,
    /// Commit index of the moment the promotion was proposed.
    target: LogIndex,
    deadline: Timestamp,
}

/// A hand-over of the leadership under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Transfer {
    to: ControllerId,
    ordered: bool,
    deadline: Timestamp,
}

impl Core {
    pub(super) fn on_propose_membership(
        &mut self,
        proposal: ProposalId,
        change: MembershipChange,
        now: Timestamp,
    ) {
        let refused = match self.refusal() {
            Some(reason) => Some(reason),
            None => {
                let checked = self.check_change(change, now);
                checked.err().map(RejectionReason::Membership)
            }
        };
        if let Some(reason) = refused {
            self.outputs
                .push(Output::ProposalRejected { proposal, reason });
            return;
        }
        let Some(learner) = change.promoted() else {
            self.append_change(proposal, change);
            return;
        };
        let pending = PendingChange {
            proposal,
            change,
            learner,
            target: self.commit,
            deadline: now + self.settings.catch_up_timeout,
        };
        if let Some(leadership) = &mut self.leadership {
            leadership.pending_change = Some(pending);
        }
        self.check_pending_change(now);
    }

    /// Whether the change may be made now.
    fn check_change(
        &self,
        change: MembershipChange,
        now: Timestamp,
    ) -> Result<Membership, MembershipError> {
        if !self.knows_commits() {
            return Err(MembershipError::LeaderNotReady);
        }
        let pending = self.leadership.as_ref();
        let pending = pending.is_some_and(|leadership| leadership.pending_change.is_some());
        if pending || self.memberships.latest_index() > self.commit {
            return Err(MembershipError::ChangeInProgress);
        }
        let after = self.memberships.latest().after(change)?;
        let votes_change = after.voters != self.memberships.latest().voters;
        if votes_change && !after.is_quorum(&self.live_members(now)) {
            return Err(MembershipError::WouldLoseQuorum);
        }
        Ok(after)
    }

    /// Members heard within the election timeout, this one among them.
    pub(super) fn live_members(&self, now: Timestamp) -> BTreeSet<ControllerId> {
        let timeout = self.settings.election_timeout;
        let mut live = BTreeSet::from([self.settings.id]);
        if let Some(leadership) = &self.leadership {
            let heard = leadership.progress.iter();
            let heard = heard.filter(|(_, one)| one.is_live(now, timeout));
            live.extend(heard.map(|(id, _)| *id));
        }
        live
    }

    fn append_change(&mut self, proposal: ProposalId, change: MembershipChange) {
        let Ok(after) = self.memberships.latest().after(change) else {
            return;
        };
        let index = self.append_own(Payload::Membership(after));
        self.announce(proposal, index);
        self.send_entries();
    }

    /// Goes on with a promotion once its learner has caught up.
    pub(super) fn check_pending_change(&mut self, now: Timestamp) {
        let leadership = self.leadership.as_mut();
        let Some(pending) = leadership.and_then(|leadership| leadership.pending_change.take())
        else {
            return;
        };
        let matched = self.progress_mut(pending.learner).map(|one| one.matched);
        let caught_up = matched.is_some_and(|matched| matched >= pending.target)
            || self.settings.lacks(Mutant::PromoteBeforeCatchUp);
        let verdict = match caught_up {
            true => self.check_change(pending.change, now).map(|_| ()),
            false => Err(MembershipError::NotCaughtUp {
                member: pending.learner,
            }),
        };
        match verdict {
            Ok(()) => self.append_change(pending.proposal, pending.change),
            Err(MembershipError::NotCaughtUp { .. }) if now < pending.deadline => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.pending_change = Some(pending);
                }
            }
            Err(error) => self.outputs.push(Output::ProposalRejected {
                proposal: pending.proposal,
                reason: RejectionReason::Membership(error),
            }),
        }
    }

    /// Finishes a joint change, and leaves when this member was removed.
    pub(super) fn change_committed(&mut self, now: Timestamp) {
        let committed = self.memberships.latest_index() <= self.commit;
        if !committed || self.leadership.is_none() {
            return;
        }
        let membership = self.memberships.latest();
        if !membership.outgoing.is_empty() {
            let finished = membership.finished();
            self.append_own(Payload::Membership(finished));
            self.send_entries();
            return;
        }
        if !membership.is_voter(self.settings.id) {
            self.announce_commit();
            self.become_follower(self.term, None, now);
        }
    }

    pub(super) fn on_transfer(&mut self, to: Option<ControllerId>, now: Timestamp) {
        let live = self.live_members(now);
        let voters = self.memberships.latest().voters.clone();
        let timeout = self.settings.election_timeout;
        let own = self.settings.id;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let progress = leadership.progress.iter();
        let candidates = progress.filter(|(id, _)| voters.contains(id) && live.contains(id));
        let best = candidates.max_by_key(|(_, one)| one.matched);
        let target = to.or(best.map(|(id, _)| *id));
        let Some(target) = target.filter(|id| voters.contains(id) && *id != own) else {
            return;
        };
        leadership.transfer = Some(Transfer {
            to: target,
            ordered: false,
            deadline: now + timeout,
        });
        self.check_transfer(now);
    }

    /// Orders the hand-over once the next leader has the whole log.
    pub(super) fn check_transfer(&mut self, now: Timestamp) {
        let last = self.log.last_index();
        let term = self.term;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(transfer) = &mut leadership.transfer else {
            return;
        };
        if now >= transfer.deadline {
            leadership.transfer = None;
            return;
        }
        let matched = leadership.progress.get(&transfer.to).map(|one| one.matched);
        if transfer.ordered || matched != Some(last) {
            return;
        }
        transfer.ordered = true;
        leadership.lease_given_up = true;
        let to = transfer.to;
        self.send(to, ConsensusMessage::TimeoutNow { term });
    }
}
