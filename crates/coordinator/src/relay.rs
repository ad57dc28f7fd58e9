//! Passes registrations that this controller took on to the leader.
//!
//! Invariant: an instance is told that its registration was taken only while
//! the leader answers here, or did so lately (see [`crate::taking`]); what was taken
//! and lost with a leader or a connection is sent whole to the next one.

use crate::Shared;
use crate::leader_link::{self, timed_out};
use crate::records::ControllerRecord;
use courseshunt_records::emit;
use courseshunt_services::{Registration, RegistrationOutbox, RelayedRegistration};
use courseshunt_types::{ControllerId, Millis, RunnerId, Timestamp};
use courseshunt_wire::{Connection, Message, Receiver, WireError};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Longest wait for the leader's answer to a batch.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);
/// Registrations that repeat the one before are gathered for so long.
const GATHERING: Duration = Duration::from_millis(100);

/// See the module.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    state: Mutex<State>,
    wake: Notify,
}

#[derive(Debug, Default)]
struct State {
    outbox: RegistrationOutbox,
    linked: bool,
    /// When the leader was last reached; the start of the process before that.
    reached_at: Timestamp,
}

impl Relay {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a registration for the leader, which is sent it now or once it is reached.
    pub(crate) fn offer(&self, registration: Registration, now: Timestamp) {
        let mut state = self.lock();
        state.outbox.offer(registration, now);
        if !state.linked {
            state.outbox.pause();
            return;
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Time since the leader was last reached; none while it is reached.
    pub(crate) fn out_of_reach_for(&self, now: Timestamp) -> Option<Millis> {
        let state = self.lock();
        (!state.linked).then(|| now.since(state.reached_at))
    }

    fn link(&self, now: Timestamp) {
        let mut state = self.lock();
        state.outbox.restart(now);
        state.linked = true;
    }

    /// Ends the link; returns whether there was one.
    fn unlink(&self, now: Timestamp) -> bool {
        let mut state = self.lock();
        state.outbox.pause();
        if state.linked {
            state.reached_at = now;
        }
        std::mem::take(&mut state.linked)
    }

    /// Waits until there is something to send; news and full batches go at once.
    async fn gather(&self) {
        while self.lock().outbox.is_empty() {
            self.wake.notified().await;
        }
        let _ = tokio::time::timeout(GATHERING, self.due()).await;
    }

    async fn due(&self) {
        while !self.lock().outbox.is_due() {
            self.wake.notified().await;
        }
    }
}

/// Runs until the process stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let ended = |address: SocketAddr, problem: Option<WireError>| {
        if shared.relay.unlink(shared.clock.now()) {
            emit(&ControllerRecord::RelayEnded {
                leader: &address.to_string(),
                problem: problem.as_ref().map(ToString::to_string).as_deref(),
            });
        }
    };
    leader_link::keep(&shared, |address| relay_to(address, &shared), ended).await;
}

/// Sends batches, one at a time, until something fails or the other doesn't lead.
async fn relay_to(address: SocketAddr, shared: &Shared) -> Result<(), WireError> {
    let Connection {
        mut sender,
        mut receiver,
        ..
    } = leader_link::connect(address, shared).await?;
    shared.relay.link(shared.clock.now());
    emit(&ControllerRecord::RelayBegan {
        leader: &address.to_string(),
    });
    loop {
        shared.relay.gather().await;
        let batch = shared.relay.lock().outbox.take(shared.clock.now());
        let exchange = async {
            sender.send(&Message::Registrations(batch)).await?;
            receive_answer(&mut receiver).await
        };
        let answer = tokio::time::timeout(ANSWER_LIMIT, exchange).await;
        let answer = answer.unwrap_or(Err(timed_out("registrations", address)))?;
        let Some(lacked) = answer else {
            return Ok(());
        };
        let mut state = shared.relay.lock();
        for id in &lacked {
            state.outbox.resend(id);
        }
    }
}

/// Instances whose earlier registration the leader lacks; `None` when the other
/// doesn't lead, or hangs up.
async fn receive_answer(receiver: &mut Receiver) -> Result<Option<Vec<RunnerId>>, WireError> {
    while let Some(message) = receiver.receive().await? {
        match message {
            Message::PeerAlive => {}
            Message::RegistrationsReply {
                leads: true,
                missing: lacked,
            } => return Ok(Some(lacked)),
            _ => return Ok(None),
        }
    }
    Ok(None)
}

/// Takes another controller's batch over, if this one leads.
pub(crate) fn take(
    batch: Vec<RelayedRegistration>,
    from: ControllerId,
    shared: &Shared,
) -> Message {
    let leads = shared.replica.leads();
    let mut lacked = Vec::new();
    if leads {
        let now = shared.clock.now();
        let mut engine = shared.engine();
        let mut news = false;
        for one in batch {
            match engine.register_relayed(one, now) {
                Ok(is_news) => news |= is_news,
                Err(id) => lacked.push(id),
            }
        }
        drop(engine);
        if news {
            shared.wake.notify_one();
        }
    }
    if !lacked.is_empty() {
        log::debug!("relay: {} registrations of {from} are lacked", lacked.len());
    }
    Message::RegistrationsReply {
        leads,
        missing: lacked,
    }
}
