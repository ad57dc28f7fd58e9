//! Membership changes and planned leadership transfer.

use super::Core;
use crate::Mutant;
use crate::entry::Payload;
use crate::input::ProposalId;
use crate::membership::{Membership, MembershipChange, MembershipError};
use crate::message::ConsensusMessage;
use crate::output::{Output, RejectionReason};
use courseshunt_types::{ControllerId, LogIndex, Timestamp};
use std::collections::BTreeSet;

/// A promotion that waits until its learner has caught up.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingChange {
    pub(super) proposal: ProposalId,
    change: MembershipChange,
    learner: ControllerId,
    /// Commit index when the promotion was proposed; the learner must reach it.
    target: LogIndex,
    deadline: Timestamp,
}

/// A leadership transfer in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Transfer {
    to: ControllerId,
    timeout_now_sent: bool,
    deadline: Timestamp,
}

impl Core {
    pub(super) fn on_propose_membership(
        &mut self,
        proposal: ProposalId,
        change: MembershipChange,
        now: Timestamp,
    ) {
        let rejection = match self.rejection_reason() {
            Some(reason) => Some(reason),
            None => {
                let checked = self.check_change(change, now);
                checked.err().map(RejectionReason::Membership)
            }
        };
        if let Some(reason) = rejection {
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

    /// The membership after the change, if the change is allowed now.
    fn check_change(
        &self,
        change: MembershipChange,
        now: Timestamp,
    ) -> Result<Membership, MembershipError> {
        if !self.has_committed_in_term() {
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

    /// Members whose last message is less than an election timeout old, and this member.
    pub(super) fn live_members(&self, now: Timestamp) -> BTreeSet<ControllerId> {
        let timeout = self.settings.election_timeout;
        let mut live = BTreeSet::from([self.settings.id]);
        if let Some(leadership) = &self.leadership {
            let members = leadership.progress.iter();
            let members = members.filter(|(_, one)| one.is_live(now, timeout));
            live.extend(members.map(|(id, _)| *id));
        }
        live
    }

    fn append_change(&mut self, proposal: ProposalId, change: MembershipChange) {
        let Ok(after) = self.memberships.latest().after(change) else {
            return;
        };
        let index = self.append_new_entry(Payload::Membership(after));
        self.report_proposed(proposal, index);
        self.send_entries();
    }

    /// Continues a promotion once its learner has caught up.
    pub(super) fn check_pending_change(&mut self, now: Timestamp) {
        let leadership = self.leadership.as_mut();
        let Some(pending) = leadership.and_then(|leadership| leadership.pending_change.take())
        else {
            return;
        };
        let matched = self.progress_mut(pending.learner).map(|one| one.matched);
        let caught_up = matched.is_some_and(|matched| matched >= pending.target)
            || self.settings.omits_rule(Mutant::PromoteBeforeCatchUp);
        let result = match caught_up {
            true => self.check_change(pending.change, now).map(|_| ()),
            false => Err(MembershipError::NotCaughtUp {
                member: pending.learner,
            }),
        };
        match result {
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

    /// Completes a joint change, and steps down if this member was removed.
    pub(super) fn on_commit_advanced(&mut self, now: Timestamp) {
        let committed = self.memberships.latest_index() <= self.commit;
        if !committed || self.leadership.is_none() {
            return;
        }
        let membership = self.memberships.latest();
        if !membership.outgoing.is_empty() {
            let finished = membership.finished();
            self.append_new_entry(Payload::Membership(finished));
            self.send_entries();
            return;
        }
        if !membership.is_voter(self.settings.id) {
            self.send_commit_index();
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
            timeout_now_sent: false,
            deadline: now + timeout,
        });
        self.check_transfer(now);
    }

    /// Starts the election of the next leader once it has the whole log.
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
        if transfer.timeout_now_sent || matched != Some(last) {
            return;
        }
        transfer.timeout_now_sent = true;
        leadership.lease_relinquished = true;
        let to = transfer.to;
        self.send(to, ConsensusMessage::TimeoutNow { term });
    }
}
