//! The state of the dispatcher, which performs the outputs of the queue logic.

use super::actor::DispatcherMessage;
use super::handle::{DispatcherHandle, GrantedRequest, OfferReply};
use super::owned::{OwnedQueues, OwnerReply};
use super::snapshot::{DispatchSnapshot, SharedSnapshot};
use super::translate::message_of;
use crate::configuration::ConfigurationView;
use crate::peers::Links;
use courseshunt_queue::{
    AdaptiveLimit, DemandReport, Holder, HolderOutput, Member, OwnerCall, QueueKey, QueueSite,
    Ticket,
};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{
    DeploymentName, Millis, Refusal, RefusalReason, RequestId, RouterId, Timestamp,
};
use courseshunt_wire::Message;
use courseshunt_wire::message::RouterEndpoint;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Number of ticks between checks for unused links.
const TICKS_PER_LINK_CHECK: u64 = 600;

/// State of the dispatcher actor.
pub struct DispatcherState {
    pub(super) myself: DispatcherHandle,
    pub(super) view: Arc<ConfigurationView>,
    pub(super) clock: MonotonicClock,
    pub(super) holder: Holder,
    pub(super) owned: OwnedQueues,
    pub(super) fallback: OwnedQueues,
    pub(super) links: Links,
    pub(super) routers: Vec<RouterEndpoint>,
    pub(super) replies: BTreeMap<RequestId, OfferReply>,
    pub(super) reported: BTreeMap<DeploymentName, DemandReport>,
    pub(super) snapshot: SharedSnapshot,
    pub(super) limit: AdaptiveLimit,
    pub(super) stopping: bool,
    pub(super) ticks: u64,
}

/// A queued output of the holder or of one of this router's queues.
enum Pending {
    Holder(HolderOutput),
    Owner(QueueSite, OwnerReply),
}

impl DispatcherState {
    pub(super) fn receive(&mut self, message: DispatcherMessage) {
        let now = self.clock.now();
        match message {
            DispatcherMessage::Offer { ticket, reply } => self.offer(ticket, reply, now),
            DispatcherMessage::Cancel { request } => {
                self.replies.remove(&request);
                let outputs = self.holder.cancel(&request);
                self.apply_outputs(outputs, now);
            }
            DispatcherMessage::Started { grant } => {
                let outputs = self.holder.started(grant);
                self.apply_outputs(outputs, now);
            }
            DispatcherMessage::Returned { grant, outcome } => {
                let outputs = self.holder.returned(grant, outcome);
                self.apply_outputs(outputs, now);
            }
            DispatcherMessage::ViewChanged => self.view_changed(now),
            DispatcherMessage::Peer(event) => self.handle_peer_event(event, now),
            DispatcherMessage::Report { reply } => {
                let _ = reply.send(self.demand_reports(now));
            }
            DispatcherMessage::Stop => self.hand_over_queues(now),
            DispatcherMessage::Tick { sent } => {
                self.limit.observe(now.since(sent), self.holder.waiting());
                self.tick(now);
            }
        }
    }

    fn offer(&mut self, ticket: Ticket, reply: OfferReply, now: Timestamp) {
        let deployment = &ticket.deployment;
        if self.view.deployment(deployment).is_none() {
            let _ = reply.send(Err(unknown_deployment(deployment)));
            return;
        }
        if !self.limit.admits(ticket.class, self.holder.waiting()) {
            let _ = reply.send(Err(overloaded()));
            return;
        }
        let queue = QueueKey {
            deployment: deployment.clone(),
            shard: 0,
        };
        self.replies.insert(ticket.request.clone(), reply);
        let outputs = self.holder.offer(queue, ticket, now);
        self.apply_outputs(outputs, now);
    }

    /// Performs outputs of the holder and all outputs that result from them.
    pub(super) fn apply_outputs(&mut self, outputs: Vec<HolderOutput>, now: Timestamp) {
        let mut pending: VecDeque<Pending> = outputs.into_iter().map(Pending::Holder).collect();
        while let Some(next) = pending.pop_front() {
            match next {
                Pending::Holder(output) => pending.extend(self.apply_output(output, now)),
                Pending::Owner(site, reply) => {
                    let outputs = self.owner_reply(site, reply, now);
                    pending.extend(outputs.into_iter().map(Pending::Holder));
                }
            }
        }
    }

    fn apply_output(&mut self, output: HolderOutput, now: Timestamp) -> Vec<Pending> {
        match output {
            HolderOutput::Call { site, queue, call } => self.call_owner(site, queue, call, now),
            HolderOutput::Granted { grant, expires } => {
                let endpoint = self.view.runner(&grant.runner);
                let address = endpoint.map(|endpoint| endpoint.address);
                let reply = self.replies.remove(&grant.request);
                let handle = self.myself.clone();
                let address = address.unwrap_or_default();
                let granted = GrantedRequest::new(address, expires, grant, handle);
                // Without a waiting caller the grant is dropped here, which returns
                // the slot.
                if let Some(reply) = reply {
                    let _ = reply.send(Ok(granted));
                }
                Vec::new()
            }
            HolderOutput::Refused { request, refusal } => {
                if let Some(reply) = self.replies.remove(&request) {
                    let _ = reply.send(Err(refusal));
                }
                Vec::new()
            }
        }
    }

    fn call_owner(
        &mut self,
        site: QueueSite,
        queue: QueueKey,
        call: OwnerCall,
        now: Timestamp,
    ) -> Vec<Pending> {
        let own_id = self.holder.members().me().clone();
        let replies = match &site {
            QueueSite::Owner(owner) if *owner != own_id => {
                self.links.send_to_owner(owner, message_of(queue, call));
                return Vec::new();
            }
            QueueSite::Owner(_) => self.call_own_queue(&own_id, &queue, call, now),
            QueueSite::Fallback => self.fallback.call(&own_id, &queue, call, now),
        };
        let replies = replies.into_iter();
        replies
            .map(|reply| Pending::Owner(site.clone(), reply))
            .collect()
    }

    pub(super) fn call_own_queue(
        &mut self,
        holder: &RouterId,
        queue: &QueueKey,
        call: OwnerCall,
        now: Timestamp,
    ) -> Vec<OwnerReply> {
        if matches!(call, OwnerCall::Offer(_)) {
            self.myself.demand_changed.notify_one();
        }
        self.owned.call(holder, queue, call, now)
    }

    /// Passes a reply of one of this router's queues to the holder of the ticket.
    fn owner_reply(
        &mut self,
        site: QueueSite,
        reply: OwnerReply,
        now: Timestamp,
    ) -> Vec<HolderOutput> {
        let own_id = self.holder.members().me().clone();
        match reply {
            OwnerReply::Granted { queue, grant } if grant.holder == own_id => {
                self.holder.granted(site, queue, grant, now)
            }
            OwnerReply::Refused { refusal, .. } if refusal.holder == own_id => {
                self.holder.refused(&site, refusal)
            }
            OwnerReply::Granted { queue, grant } => {
                let holder = grant.holder.clone();
                let epoch = self.holder.members().epoch();
                let message = Message::Granted {
                    queue,
                    epoch,
                    grant,
                };
                self.links.send_to_holder(&holder, message);
                Vec::new()
            }
            OwnerReply::Refused { queue, refusal } => {
                let holder = refusal.holder.clone();
                let message = Message::Refused { queue, refusal };
                self.links.send_to_holder(&holder, message);
                Vec::new()
            }
        }
    }

    pub(super) fn deliver_replies(
        &mut self,
        site: &QueueSite,
        replies: Vec<OwnerReply>,
        now: Timestamp,
    ) {
        for reply in replies {
            let outputs = self.owner_reply(site.clone(), reply, now);
            self.apply_outputs(outputs, now);
        }
    }

    pub(super) fn own_site(&self) -> QueueSite {
        QueueSite::Owner(self.holder.members().me().clone())
    }

    fn view_changed(&mut self, now: Timestamp) {
        let routers = self.view.routers();
        if routers != self.routers {
            self.links.set_routers(&routers);
            let members = routers.iter().map(|endpoint| Member {
                router: endpoint.router.clone(),
                incarnation: endpoint.incarnation,
                leaving: endpoint.leaving,
            });
            let members: Vec<Member> = members.collect();
            let epoch = self.holder.members().epoch().next();
            self.routers = routers;
            let outputs = self.holder.set_live(epoch, members, now);
            self.apply_outputs(outputs, now);
        }
        for queue in self.holder.queues() {
            if self.view.deployment(&queue.deployment).is_none() {
                let refusal = unknown_deployment(&queue.deployment);
                let outputs = self.holder.refuse_queue(&queue, &refusal);
                self.apply_outputs(outputs, now);
            }
        }
        let replies = self.owned.refresh_all(now);
        self.deliver_replies(&self.own_site(), replies, now);
        let replies = self.fallback.refresh_all(now);
        self.deliver_replies(&QueueSite::Fallback, replies, now);
    }

    fn tick(&mut self, now: Timestamp) {
        let outputs = self.holder.expire(now);
        self.apply_outputs(outputs, now);
        let replies = self.owned.tick(now);
        self.deliver_replies(&self.own_site(), replies, now);
        let replies = self.fallback.tick(now);
        self.deliver_replies(&QueueSite::Fallback, replies, now);
        self.ticks += 1;
        if self.ticks.is_multiple_of(TICKS_PER_LINK_CHECK) {
            let holder = &self.holder;
            self.links.retain_owners(|owner| holder.uses(owner));
        }
        self.snapshot.set(DispatchSnapshot {
            holder: self.holder.counts(),
            held: self.holder.waiting(),
            owned_queues: self.owned.len(),
            waiting: self.owned.waiting(),
            admission_limit: self.limit.limit(),
            totals: self.owned.totals(),
            ejected: self.owned.ejected(),
            waiting_fallback: self.fallback.waiting(),
        });
    }

    fn demand_reports(&mut self, now: Timestamp) -> Vec<DemandReport> {
        let mut reports = BTreeMap::new();
        self.owned.report(&mut reports, now);
        self.fallback.report(&mut reports, now);
        // A queue that moved to another router is reported as empty once.
        for name in self.reported.keys() {
            if !reports.contains_key(name) {
                reports.insert(name.clone(), DemandReport::empty(name.clone()));
            }
        }
        let changed = reports.values().filter(|report| {
            let before = self.reported.get(&report.deployment);
            !report.is_idle() || before.is_none_or(|before| !before.is_idle())
        });
        let changed: Vec<DemandReport> = changed.cloned().collect();
        reports.retain(|_, report| !report.is_idle());
        self.reported = reports;
        changed
    }
}

fn overloaded() -> Refusal {
    let message = "this router holds as many requests as it can";
    let refusal = Refusal::not_run(RefusalReason::QueueFull, message);
    refusal.with_retry_after(Millis::from_secs(1))
}

fn unknown_deployment(deployment: &DeploymentName) -> Refusal {
    let message = format!("there is no deployment {deployment}");
    Refusal::not_run(RefusalReason::UnknownModel, message)
}
