//! Handle of the dispatcher actor, and grants.

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

/// Permission to make one attempt. Dropping it returns the slot.
///
/// The user calls [`Self::started`] before the request is sent and
/// [`Self::report`] with the outcome of the attempt. A grant that is dropped
/// before its start counts as unused; one that is dropped later without a report
/// counts as cancelled.
#[derive(Debug)]
pub struct GrantedRequest {
    /// The grant, with the runner and the number of the slot.
    pub grant: Grant,
    /// `ip:port` of the runner; empty if the runner is unknown.
    pub address: String,
    /// Time before which the request must be started.
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

    /// Reports that the request is being sent to the runner.
    pub fn started(&mut self) {
        self.outcome = AttemptOutcome::Cancelled;
        self.dispatcher.cast(DispatcherMessage::Started {
            grant: self.grant.grant,
        });
    }

    /// Sets the outcome that is reported when the grant is dropped.
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

/// Removes a waiting ticket when the caller drops its future.
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
    /// Waits for a grant. Dropping the future removes the ticket.
    ///
    /// # Errors
    /// The refusal for the caller, with the outcome not-run.
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

    /// Values of the last tick, for the metrics page.
    #[must_use]
    pub fn snapshot(&self) -> DispatchSnapshot {
        self.snapshot.get()
    }

    /// Parameters for the connections that other routers open.
    #[must_use]
    pub fn peer_context(&self, key: ClusterKey, identity: PeerIdentity) -> PeerContext {
        PeerContext {
            key,
            identity,
            source: None,
            dispatcher: self.actor.clone(),
        }
    }

    /// Notifies the dispatcher that replicas, documents or live routers changed.
    pub fn view_changed(&self) {
        self.cast(DispatcherMessage::ViewChanged);
    }

    /// Waits until demand has changed in a way that is reported without delay.
    pub async fn demand_changed(&self) {
        self.demand_changed.notified().await;
    }

    /// Returns the demand since the last call, for deployments whose demand changed.
    pub async fn demand(&self) -> Vec<DemandReport> {
        let (reply, received) = oneshot::channel();
        self.cast(DispatcherMessage::Report { reply });
        received.await.unwrap_or_default()
    }

    pub(super) fn cast(&self, message: DispatcherMessage) {
        if self.actor.cast(message).is_err() {
            log::debug!("dispatch: message dropped, the dispatcher has stopped");
        }
    }
}

/// Channel for the result of an offered ticket.
pub(super) type OfferReply = oneshot::Sender<Result<GrantedRequest, Refusal>>;
