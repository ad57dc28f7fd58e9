//! The actor that holds the tickets of this router's callers and serves the
//! queues that this router owns.

use super::handle::{DispatcherHandle, OfferReply};
use super::owned::{OwnedQueues, SlotShare};
use super::snapshot::SharedSnapshot;
use super::state::DispatcherState;
use crate::configuration::ConfigurationView;
use crate::error::RouterError;
use crate::peers::{Links, PeerContext, PeerEvent};
use courseshunt_queue::{AdaptiveLimit, AttemptOutcome, DemandReport, GrantId, Holder, Ticket};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{RequestId, RouterId, Timestamp};
use courseshunt_wire::{ClusterKey, PeerIdentity};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Interval of checks for expired tickets and grants.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Messages to the dispatcher.
#[derive(Debug)]
pub enum DispatcherMessage {
    /// Queue a ticket until it is granted or refused.
    Offer {
        /// Ticket of the request.
        ticket: Ticket,
        /// Receives the grant or refusal.
        reply: OfferReply,
    },
    /// Remove a waiting ticket.
    Cancel {
        /// Id of the request.
        request: RequestId,
    },
    /// The request of a grant is being sent.
    Started {
        /// Id of the grant.
        grant: GrantId,
    },
    /// The slot of a grant is returned.
    Returned {
        /// Id of the grant.
        grant: GrantId,
        /// Result of the attempt.
        outcome: AttemptOutcome,
    },
    /// Replicas, documents or the list of live routers changed.
    ViewChanged,
    /// An event on a connection to another router.
    Peer(PeerEvent),
    /// Report the demand since the last report.
    Report {
        /// Receives the reports.
        reply: oneshot::Sender<Vec<DemandReport>>,
    },
    /// Hand the owned queues over, since this router is stopping.
    Stop,
    /// Periodic check; its delivery delay measures the processing lag.
    Tick {
        /// Time at which the message was sent.
        sent: Timestamp,
    },
}

struct Dispatcher;

/// Arguments of the actor.
#[derive(Debug)]
pub struct Arguments {
    /// Id of this router.
    pub router: RouterId,
    /// Identity of this router on connections.
    pub identity: PeerIdentity,
    /// Local IP address for outgoing connections; `None` lets the system choose.
    pub source: Option<IpAddr>,
    /// Key that authenticates members of the cluster.
    pub key: ClusterKey,
    /// State received from the feed.
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
        let clock = arguments.clock;
        myself.send_interval(TICK_INTERVAL, move || DispatcherMessage::Tick {
            sent: clock.now(),
        });
        let links = Links::new(PeerContext {
            key: arguments.key,
            identity: arguments.identity,
            source: arguments.source,
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
            owned: OwnedQueues::new(view.clone(), SlotShare::Full),
            fallback: OwnedQueues::new(view.clone(), SlotShare::Bounded),
            view,
            links,
            routers: Vec::new(),
            replies: BTreeMap::new(),
            reported: BTreeMap::new(),
            snapshot,
            limit: AdaptiveLimit::default(),
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

/// Starts the actor and returns its handle.
pub async fn spawn(arguments: Arguments) -> Result<DispatcherHandle, RouterError> {
    let demand_changed = Arc::new(Notify::new());
    let snapshot = SharedSnapshot::default();
    let router = arguments.router.clone();
    let arguments = (arguments, demand_changed.clone(), snapshot.clone());
    let spawned = Actor::spawn(None, Dispatcher, arguments).await;
    let (actor, _) = spawned.map_err(|error| RouterError::Actor {
        component: "dispatcher",
        message: format!("{router}: {error}"),
    })?;
    Ok(DispatcherHandle {
        actor,
        demand_changed,
        snapshot,
    })
}
