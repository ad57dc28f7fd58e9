//! The state of the dispatcher: it carries out what the pure cores say.

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

/// Ticks between looks for links that are not used any more.
const TICKS_PER_LINK_CHECK: u64 = 600;

/// What the actor works on.
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

/// Something to carry out.
enum Work {
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
                self.carry_out(outputs, now);
            }
            DispatcherMessage::Started { grant } => {
                let outputs = self.holder.started(grant);
                self.carry_out(outputs, now);
            }
            DispatcherMessage::Returned { grant, outcome } => {
                let outputs = self.holder.returned(grant, outcome);
                self.carry_out(outputs, now);
            }
            DispatcherMessage::ViewChanged => self.view_changed(now),
            DispatcherMessage::Peer(event) => self.peer(event, now),
            DispatcherMessage::Report { reply } => {
                let _ = reply.send(self.report(now));
            }
            DispatcherMessage::Stop => self.hand_over(now),
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
        self.carry_out(outputs, now);
    }

    /// Carries everything out, with all that follows from it.
    pub(super) fn carry_out(&mut self, outputs: Vec<HolderOutput>, now: Timestamp) {
        let mut work: VecDeque<Work> = outputs.into_iter().map(Work::Holder).collect();
        while let Some(next) = work.pop_front() {
            match next {
                Work::Holder(output) => work.extend(self.holder_output(output, now)),
                Work::Owner(site, reply) => {
                    let outputs = self.owner_reply(site, reply, now);
                    work.extend(outputs.into_iter().map(Work::Holder));
                }
            }
        }
    }

    fn holder_output(&mut self, output: HolderOutput, now: Timestamp) -> Vec<Work> {
        match output {
            HolderOutput::Call { site, queue, call } => self.call(site, queue, call, now),
            HolderOutput::Granted { grant, expires } => {
                let endpoint = self.view.runner(&grant.runner);
                let address = endpoint.map(|endpoint| endpoint.address);
                let reply = self.replies.remove(&grant.request);
                let handle = self.myself.clone();
                let address = address.unwrap_or_default();
                let granted = GrantedRequest::new(address, expires, grant, handle);
                // A caller that has left drops the grant, which returns the slot.
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

    fn call(
        &mut self,
        site: QueueSite,
        queue: QueueKey,
        call: OwnerCall,
        now: Timestamp,
    ) -> Vec<Work> {
        let me = self.holder.members().me().clone();
        let replies = match &site {
            QueueSite::Owner(owner) if *owner != me => {
                self.links.to_owner(owner, message_of(queue, call));
                return Vec::new();
            }
            QueueSite::Owner(_) => self.own_call(&me, &queue, call, now),
            QueueSite::Fallback => self.fallback.call(&me, &queue, call, now),
        };
        let replies = replies.into_iter();
        replies
            .map(|reply| Work::Owner(site.clone(), reply))
            .collect()
    }

    pub(super) fn own_call(
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

    /// Hands a reply of one of this router's queues to its holder.
    fn owner_reply(
        &mut self,
        site: QueueSite,
        reply: OwnerReply,
        now: Timestamp,
    ) -> Vec<HolderOutput> {
        let me = self.holder.members().me().clone();
        match reply {
            OwnerReply::Granted { queue, grant } if grant.holder == me => {
                self.holder.granted(site, queue, grant, now)
            }
            OwnerReply::Refused { refusal, .. } if refusal.holder == me => {
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
                self.links.to_holder(&holder, message);
                Vec::new()
            }
            OwnerReply::Refused { queue, refusal } => {
                let holder = refusal.holder.clone();
                let message = Message::Refused { queue, refusal };
                self.links.to_holder(&holder, message);
                Vec::new()
            }
        }
    }

    pub(super) fn deliver(&mut self, site: &QueueSite, replies: Vec<OwnerReply>, now: Timestamp) {
        for reply in replies {
            let outputs = self.owner_reply(site.clone(), reply, now);
            self.carry_out(outputs, now);
        }
    }

    pub(super) fn own_site(&self) -> QueueSite {
        QueueSite::Owner(self.holder.members().me().clone())
    }

    fn view_changed(&mut self, now: Timestamp) {
        let routers = self.view.routers();
        if routers != self.routers {
            self.links.set_routers(&routers);
            let members = routers.iter().map(|one| Member {
                router: one.router.clone(),
                incarnation: one.incarnation,
                leaving: one.leaving,
            });
            let members: Vec<Member> = members.collect();
            let epoch = self.holder.members().epoch().next();
            self.routers = routers;
            let outputs = self.holder.set_live(epoch, members, now);
            self.carry_out(outputs, now);
        }
        for queue in self.holder.queues() {
            if self.view.deployment(&queue.deployment).is_none() {
                let refusal = unknown_deployment(&queue.deployment);
                let outputs = self.holder.refuse_queue(&queue, &refusal);
                self.carry_out(outputs, now);
            }
        }
        let replies = self.owned.refresh_all(now);
        self.deliver(&self.own_site(), replies, now);
        let replies = self.fallback.refresh_all(now);
        self.deliver(&QueueSite::Fallback, replies, now);
    }

    fn tick(&mut self, now: Timestamp) {
        let outputs = self.holder.expire(now);
        self.carry_out(outputs, now);
        let replies = self.owned.tick(now);
        self.deliver(&self.own_site(), replies, now);
        let replies = self.fallback.tick(now);
        self.deliver(&QueueSite::Fallback, replies, now);
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

    fn report(&mut self, now: Timestamp) -> Vec<DemandReport> {
        let mut reports = BTreeMap::new();
        self.owned.report(&mut reports, now);
        self.fallback.report(&mut reports, now);
        // A queue that moved away is reported as empty once.
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
