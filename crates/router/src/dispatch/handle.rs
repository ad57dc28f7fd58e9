//! The handle of the dispatcher.

use super::actor::DispatcherMessage;
use super::snapshot::{DispatchSnapshot, SharedSnapshot};
use crate::peers::PeerContext;
use courseshunt_queue::{AttemptOutcome, DemandReport, Grant, Ticket};
use courseshunt_types::{Refusal, RefusalReason, RequestId, Timestamp};
use courseshunt_wire::{ClusterKey, PeerIdentity};
use ractor::ActorRef;
use std::sync::Arc;
use tokio::sync::{Notify, oneshot};

/// Handle of the dispatcher; cheap to clone.
#[derive(Debug, Clone)]
pub struct DispatcherHandle {
    pub(super) actor: ActorRef<DispatcherMessage>,
    pub(super) demand_changed: Arc<Notify>,
    pub(super) snapshot: SharedSnapshot,
}

/// Leave to make one attempt. Dropping it gives the slot back.
///
/// The attempt's code calls [`Self::started`] when the request is about to be
/// sent and [`Self::report`] when it knows how the attempt ended. A grant that
/// is dropped before its start counts as unused; one that is dropped after it
/// without a report counts as cancelled.
#[derive(Debug)]
pub struct GrantedRequest {
    /// The grant, with the runner and the slot's number.
    pub grant: Grant,
    /// `ip:port` of the runner.
    pub address: String,
    /// The request must be started before this moment.
    pub expires: Timestamp,
    dispatcher: DispatcherHandle,
    outcome: AttemptOutcome,
}

impl GrantedRequest {
    pub(super) fn new(
        address: String,
        expires: Timestamp,
        grant: Grant,
        dispatcher: DispatcherHandle,
    ) -> Self {
        Self {
            grant,
            address,
            expires,
            dispatcher,
            outcome: AttemptOutcome::Unused,
        }
    }

    /// Notes that the request is being sent to the runner.
    pub fn started(&mut self) {
        self.outcome = AttemptOutcome::Cancelled;
        self.dispatcher.cast(DispatcherMessage::Started {
            grant: self.grant.grant,
        });
    }

    /// Notes how the attempt ended.
    pub fn report(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for GrantedRequest {
    fn drop(&mut self) {
        self.dispatcher.cast(DispatcherMessage::Returned {
            grant: self.grant.grant,
            outcome: self.outcome,
        });
    }
}

/// Takes a waiting ticket out when the caller leaves.
struct CancelOnDrop<'a> {
    dispatcher: &'a DispatcherHandle,
    request: RequestId,
    answered: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.dispatcher.cast(DispatcherMessage::Cancel {
                request: self.request.clone(),
            });
        }
    }
}

impl DispatcherHandle {
    /// Waits for a grant. Dropping the future takes the ticket out.
    ///
    /// # Errors
    /// The refusal for the caller; the request did not run.
    pub async fn acquire(&self, ticket: Ticket) -> Result<GrantedRequest, Refusal> {
        let (reply, received) = oneshot::channel();
        let mut cancel = CancelOnDrop {
            dispatcher: self,
            request: ticket.request.clone(),
            answered: false,
        };
        self.cast(DispatcherMessage::Offer { ticket, reply });
        let stopped = || Refusal::not_run(RefusalReason::ShuttingDown, "the router is stopping");
        let answer = received.await;
        cancel.answered = true;
        answer.unwrap_or_else(|_| Err(stopped()))
    }

    /// Hands the owned queues over to other routers.
    pub fn stop(&self) {
        self.cast(DispatcherMessage::Stop);
    }

    /// Numbers for the metrics page.
    #[must_use]
    pub fn snapshot(&self) -> DispatchSnapshot {
        self.snapshot.get()
    }

    /// What the connections of other routers need.
    #[must_use]
    pub fn peer_context(&self, key: ClusterKey, identity: PeerIdentity) -> PeerContext {
        PeerContext {
            key,
            identity,
            source: None,
            dispatcher: self.actor.clone(),
        }
    }

    /// Tells that replicas, documents or the fleet changed.
    pub fn view_changed(&self) {
        self.cast(DispatcherMessage::ViewChanged);
    }

    /// Waits until demand changed in a way that controllers must know at once.
    pub async fn demand_changed(&self) {
        self.demand_changed.notified().await;
    }

    /// Demand since the last call, for the queues whose demand changed.
    pub async fn demand(&self) -> Vec<DemandReport> {
        let (reply, received) = oneshot::channel();
        self.cast(DispatcherMessage::Report { reply });
        received.await.unwrap_or_default()
    }

    pub(super) fn cast(&self, message: DispatcherMessage) {
        if self.actor.cast(message).is_err() {
            log::debug!("dispatch: stopped");
        }
    }
}

/// Answer to an offer.
pub(super) type OfferReply = oneshot::Sender<Result<GrantedRequest, Refusal>>;
