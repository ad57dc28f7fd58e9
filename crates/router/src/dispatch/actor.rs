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

/// Time between looks for deadlines that have passed.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

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
    Tick {
        /// When this was sent.
        sent: Timestamp,
    },
}

struct Dispatcher;

/// Arguments of the actor.
#[derive(Debug)]
pub struct Arguments {
    /// Name of this router.
    pub router: RouterId,
    /// Who this router is to others.
    pub identity: PeerIdentity,
    /// IP number that dialled connections come from.
    pub source: Option<IpAddr>,
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
            owned: OwnedQueues::new(view.clone(), SlotShare::Whole),
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
