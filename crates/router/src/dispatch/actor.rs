//! The actor that owns the waiting queues.

use super::handle::{DispatcherHandle, GrantNumber, GrantedRequest, OfferReply};
use crate::configuration::ConfigurationView;
use crate::error::RouterError;
use courseshunt_queue::{AttemptOutcome, DemandReport, QueueLimits, Ticket, WaitingQueue};
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{DeploymentName, Refusal, RefusalReason, RequestId, RouterId, RunnerId};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Time between looks for deadlines that have passed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

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
        /// Its deployment.
        deployment: DeploymentName,
        /// Its request.
        request: RequestId,
    },
    /// A granted request was sent.
    Started {
        /// Its deployment.
        deployment: DeploymentName,
        /// Its grant.
        grant: GrantNumber,
    },
    /// A slot is free again.
    Returned {
        /// Its deployment.
        deployment: DeploymentName,
        /// Its grant.
        grant: GrantNumber,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// Replicas or documents changed.
    ViewChanged,
    /// Report the demand.
    Report {
        /// Receives the reports.
        reply: oneshot::Sender<Vec<DemandReport>>,
    },
    /// Time passed.
    Tick,
}

/// What the actor works on.
pub struct DispatcherState {
    myself: DispatcherHandle,
    view: Arc<ConfigurationView>,
    clock: MonotonicClock,
    queues: BTreeMap<DeploymentName, WaitingQueue>,
    replies: BTreeMap<RequestId, OfferReply>,
}

struct Dispatcher;

/// Arguments of the actor.
pub struct Arguments {
    view: Arc<ConfigurationView>,
    clock: MonotonicClock,
    demand_changed: Arc<Notify>,
}

impl Actor for Dispatcher {
    type Msg = DispatcherMessage;
    type State = DispatcherState;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.send_interval(EXPIRY_INTERVAL, || DispatcherMessage::Tick);
        Ok(DispatcherState {
            myself: DispatcherHandle {
                actor: myself,
                demand_changed: arguments.demand_changed,
            },
            view: arguments.view,
            clock: arguments.clock,
            queues: BTreeMap::new(),
            replies: BTreeMap::new(),
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
pub async fn spawn(
    router: RouterId,
    view: Arc<ConfigurationView>,
    clock: MonotonicClock,
) -> Result<DispatcherHandle, RouterError> {
    let demand_changed = Arc::new(Notify::new());
    let arguments = Arguments {
        view,
        clock,
        demand_changed: demand_changed.clone(),
    };
    let spawned = Actor::spawn(None, Dispatcher, arguments).await;
    let (actor, _) = spawned.map_err(|error| RouterError::Actor {
        part: "dispatcher",
        message: format!("{router}: {error}"),
    })?;
    Ok(DispatcherHandle {
        actor,
        demand_changed,
    })
}

impl DispatcherState {
    fn receive(&mut self, message: DispatcherMessage) {
        match message {
            DispatcherMessage::Offer { ticket, reply } => self.offer(ticket, reply),
            DispatcherMessage::Cancel {
                deployment,
                request,
            } => {
                self.replies.remove(&request);
                if let Some(queue) = self.queues.get_mut(&deployment) {
                    queue.cancel(&request);
                }
            }
            DispatcherMessage::Started { deployment, grant } => {
                if let Some(queue) = self.queues.get_mut(&deployment) {
                    queue.slots_mut().started(grant);
                }
            }
            DispatcherMessage::Returned {
                deployment,
                grant,
                outcome,
            } => {
                log::debug!("dispatch: grant {grant:?} of {deployment} ended: {outcome:?}");
                if let Some(queue) = self.queues.get_mut(&deployment) {
                    queue.slots_mut().release(grant);
                }
                self.grant(&deployment);
            }
            DispatcherMessage::ViewChanged => self.refresh_all(),
            DispatcherMessage::Report { reply } => {
                let _ = reply.send(self.report());
            }
            DispatcherMessage::Tick => self.expire(),
        }
    }

    fn offer(&mut self, ticket: Ticket, reply: OfferReply) {
        let deployment = ticket.deployment.clone();
        let request = ticket.request.clone();
        if !self.refresh(&deployment) {
            let message = format!("there is no deployment {deployment}");
            let _ = reply.send(Err(Refusal::not_run(RefusalReason::UnknownModel, message)));
            return;
        }
        let now = self.clock.now();
        let Some(queue) = self.queues.get_mut(&deployment) else {
            return;
        };
        match queue.offer(ticket, now) {
            Ok(()) => {
                self.replies.insert(request, reply);
                self.grant(&deployment);
                self.myself.demand_changed.notify_one();
            }
            Err(refusal) => {
                let _ = reply.send(Err(refusal));
            }
        }
    }

    /// Brings a queue's limits and replicas up to date. Returns whether the
    /// deployment is configured.
    fn refresh(&mut self, deployment: &DeploymentName) -> bool {
        let Some(document) = self.view.deployment(deployment) else {
            return false;
        };
        let limits = QueueLimits {
            classes: document.limits,
            ..QueueLimits::default()
        };
        let queue = self.queues.entry(deployment.clone());
        let queue = queue.or_insert_with(|| WaitingQueue::new(deployment.clone(), limits));
        queue.set_limits(limits);
        let ready = self
            .view
            .replicas(deployment)
            .map(|replicas| replicas.ready);
        let usable = |runner: &RunnerId| {
            let known = self.view.runner(runner);
            known.is_some_and(|known| known.state == MachineState::Live)
        };
        let ready = ready.unwrap_or_default().into_iter().filter(usable);
        let slots = document.slots_per_replica;
        queue
            .slots_mut()
            .set_replicas(ready.map(|runner| (runner, slots)));
        true
    }

    fn refresh_all(&mut self) {
        let names: Vec<DeploymentName> = self.queues.keys().cloned().collect();
        for name in names {
            self.refresh(&name);
            self.grant(&name);
        }
    }

    fn grant(&mut self, deployment: &DeploymentName) {
        let now = self.clock.now();
        let Some(queue) = self.queues.get_mut(deployment) else {
            return;
        };
        for grant in queue.grant(now) {
            let Some(reply) = self.replies.remove(&grant.request) else {
                queue.slots_mut().release(grant.grant);
                continue;
            };
            let endpoint = self.view.runner(&grant.runner);
            let granted = GrantedRequest::new(
                endpoint
                    .map(|endpoint| endpoint.address)
                    .unwrap_or_default(),
                now + grant.valid_for,
                grant,
                deployment.clone(),
                self.myself.clone(),
            );
            // A caller that has left drops the grant, which returns the slot.
            let _ = reply.send(Ok(granted));
        }
    }

    fn expire(&mut self) {
        let now = self.clock.now();
        let names: Vec<DeploymentName> = self.queues.keys().cloned().collect();
        for name in names {
            let Some(queue) = self.queues.get_mut(&name) else {
                continue;
            };
            for refused in queue.expire(now) {
                if let Some(reply) = self.replies.remove(&refused.request) {
                    let _ = reply.send(Err(refused.refusal));
                }
            }
            self.grant(&name);
        }
    }

    fn report(&mut self) -> Vec<DemandReport> {
        let now = self.clock.now();
        self.queues
            .values_mut()
            .map(|queue| queue.report(now))
            .collect()
    }
}
