//! The actor that holds the tickets of this router's callers and serves the
//! queues that this router owns. It carries out what the pure cores say.

use super::handle::{DispatcherHandle, GrantedRequest, OfferReply};
use super::owned::{OwnedQueues, OwnerReply, SlotShare};
use super::snapshot::{DispatchSnapshot, SharedSnapshot};
use super::translate::{call_of, message_of};
use crate::configuration::ConfigurationView;
use crate::error::RouterError;
use crate::peers::{Links, PeerContext, PeerEvent};
use courseshunt_queue::{
    AttemptOutcome, DemandReport, GrantId, Holder, HolderOutput, Member, OwnerCall, QueueKey,
    QueueSite, Ticket,
};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{DeploymentName, Refusal, RefusalReason, RequestId, RouterId, Timestamp};
use courseshunt_wire::message::RouterEndpoint;
use courseshunt_wire::{ClusterKey, Message, PeerIdentity};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Time between looks for deadlines that have passed.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks between looks for links that are not used any more.
const TICKS_PER_LINK_CHECK: u64 = 600;

/// Messages of the dispatcher.
#[derive(Debug)]
pub enum DispatcherMessage {
    /// Wait for a grant.
    Offer {
        /// The ticket.
        ticket: Ticket,
        /// Receives the grant or refusal.
        reply: OfferReply,
    },
    /// Take a ticket out.
    Cancel {
        /// Its request.
        request: RequestId,
    },
    /// A granted request is being sent.
    Started {
        /// Its grant.
        grant: GrantId,
    },
    /// A slot is free again.
    Returned {
        /// Its grant.
        grant: GrantId,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// Replicas, documents or the fleet changed.
    ViewChanged,
    /// Something happened on a connection to another router.
    Peer(PeerEvent),
    /// Report the demand.
    Report {
        /// Receives the reports.
        reply: oneshot::Sender<Vec<DemandReport>>,
    },
    /// Hand the owned queues over: this router stops.
    Stop,
    /// Time passed.
    Tick,
}

/// What the actor works on.
pub struct DispatcherState {
    myself: DispatcherHandle,
    view: Arc<ConfigurationView>,
    clock: MonotonicClock,
    holder: Holder,
    owned: OwnedQueues,
    fallback: OwnedQueues,
    links: Links,
    routers: Vec<RouterEndpoint>,
    replies: BTreeMap<RequestId, OfferReply>,
    reported: BTreeMap<DeploymentName, DemandReport>,
    snapshot: SharedSnapshot,
    stopping: bool,
    ticks: u64,
}

/// Something to carry out.
enum Work {
    Holder(HolderOutput),
    Owner(QueueSite, OwnerReply),
}

struct Dispatcher;

/// Arguments of the actor.
#[derive(Debug)]
pub struct Arguments {
    /// Name of this router.
    pub router: RouterId,
    /// Who this router is to others.
    pub identity: PeerIdentity,
    /// Key of the cluster.
    pub key: ClusterKey,
    /// What the feed has told.
    pub view: Arc<ConfigurationView>,
    /// Clock of this process.
    pub clock: MonotonicClock,
}

impl Actor for Dispatcher {
    type Msg = DispatcherMessage;
    type State = DispatcherState;
    type Arguments = (Arguments, Arc<Notify>, SharedSnapshot);

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (arguments, demand_changed, snapshot): Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.send_interval(TICK_INTERVAL, || DispatcherMessage::Tick);
        let links = Links::new(PeerContext {
            key: arguments.key,
            identity: arguments.identity,
            dispatcher: myself.clone(),
        });
        let view = arguments.view;
        Ok(DispatcherState {
            myself: DispatcherHandle {
                actor: myself,
                demand_changed,
                snapshot: snapshot.clone(),
            },
            clock: arguments.clock,
            holder: Holder::new(arguments.router),
            owned: OwnedQueues::new(view.clone(), SlotShare::Whole),
            fallback: OwnedQueues::new(view.clone(), SlotShare::Bounded),
            view,
            links,
            routers: Vec::new(),
            replies: BTreeMap::new(),
            reported: BTreeMap::new(),
            snapshot,
            stopping: false,
            ticks: 0,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        state.receive(message);
        Ok(())
    }
}

/// Starts the actor.
pub async fn spawn(arguments: Arguments) -> Result<DispatcherHandle, RouterError> {
    let demand_changed = Arc::new(Notify::new());
    let snapshot = SharedSnapshot::default();
    let router = arguments.router.clone();
    let arguments = (arguments, demand_changed.clone(), snapshot.clone());
    let spawned = Actor::spawn(None, Dispatcher, arguments).await;
    let (actor, _) = spawned.map_err(|error| RouterError::Actor {
        part: "dispatcher",
        message: format!("{router}: {error}"),
    })?;
    Ok(DispatcherHandle {
        actor,
        demand_changed,
        snapshot,
    })
}

impl DispatcherState {
    fn receive(&mut self, message: DispatcherMessage) {
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
            DispatcherMessage::Tick => self.tick(now),
        }
    }

    fn offer(&mut self, ticket: Ticket, reply: OfferReply, now: Timestamp) {
        let deployment = &ticket.deployment;
        if self.view.deployment(deployment).is_none() {
            let _ = reply.send(Err(unknown_deployment(deployment)));
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
    fn carry_out(&mut self, outputs: Vec<HolderOutput>, now: Timestamp) {
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

    fn own_call(
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

    fn deliver(&mut self, site: &QueueSite, replies: Vec<OwnerReply>, now: Timestamp) {
        for reply in replies {
            let outputs = self.owner_reply(site.clone(), reply, now);
            self.carry_out(outputs, now);
        }
    }

    fn own_site(&self) -> QueueSite {
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

    fn peer(&mut self, event: PeerEvent, now: Timestamp) {
        match event {
            PeerEvent::OwnerConnected { owner, sender } => {
                if self.links.owner_connected(&owner, sender) {
                    let outputs = self.holder.connected(&owner, now);
                    self.carry_out(outputs, now);
                }
            }
            PeerEvent::OwnerDisconnected { owner } => {
                self.links.owner_disconnected(&owner);
                self.holder.disconnected(&owner);
            }
            PeerEvent::OwnerUnreachable { owner } => {
                let outputs = self.holder.unreachable(&owner, now);
                self.carry_out(outputs, now);
            }
            PeerEvent::FromOwner { owner, message } => self.owner_message(owner, message, now),
            PeerEvent::HolderConnected {
                holder,
                session,
                sender,
            } => {
                let replies = self.owned.holder_lost(&holder, now);
                self.links.holder_connected(holder, session, sender);
                self.deliver(&self.own_site(), replies, now);
            }
            PeerEvent::FromHolder {
                holder,
                session,
                message,
            } => {
                if self.links.is_session(&holder, session) {
                    self.holder_message(&holder, message, now);
                }
            }
            PeerEvent::HolderLost { holder, session } => {
                if self.links.holder_lost(&holder, session) {
                    let replies = self.owned.holder_lost(&holder, now);
                    self.deliver(&self.own_site(), replies, now);
                }
            }
        }
    }

    fn owner_message(&mut self, owner: RouterId, message: Message, now: Timestamp) {
        let site = QueueSite::Owner(owner.clone());
        let outputs = match message {
            Message::Granted { queue, grant, .. } => self.holder.granted(site, queue, grant, now),
            Message::Refused { refusal, .. } => self.holder.refused(&site, refusal),
            Message::NotOwner { .. } | Message::OwnerLeaving => self.holder.leaving(&owner, now),
            other => {
                log::warn!("dispatch: owner {owner} sent an unexpected message: {other:?}");
                return;
            }
        };
        self.carry_out(outputs, now);
    }

    fn holder_message(&mut self, holder: &RouterId, message: Message, now: Timestamp) {
        let Some((queue, call)) = call_of(message) else {
            log::warn!("dispatch: holder {holder} sent an unexpected message");
            return;
        };
        if self.stopping
            && let OwnerCall::Offer(ticket) = &call
        {
            let requests = vec![ticket.request.clone()];
            let message = Message::NotOwner { queue, requests };
            self.links.to_holder(holder, message);
            return;
        }
        let replies = self.own_call(holder, &queue, call, now);
        self.deliver(&self.own_site(), replies, now);
    }

    /// Lets others own the queues; what waits or runs here moves with them.
    fn hand_over(&mut self, now: Timestamp) {
        self.stopping = true;
        let me = self.holder.members().me().clone();
        let outputs = self.holder.leaving(&me, now);
        self.carry_out(outputs, now);
        self.links.to_all_holders(&Message::OwnerLeaving);
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

fn unknown_deployment(deployment: &DeploymentName) -> Refusal {
    let message = format!("there is no deployment {deployment}");
    Refusal::not_run(RefusalReason::UnknownModel, message)
}
