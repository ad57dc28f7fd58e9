//! Relays registrations that this controller accepted to the leader.
//!
//! Invariant: a registration is acknowledged only while the leader answers this controller, or
//! did so recently (see [`crate::registration_admission`]). Registrations that are lost with a
//! leader or a connection are sent in full to the next one. The software version of an instance is
//! sent before its registration.

use crate::Shared;
use crate::leader_link::{self, timed_out};
use crate::records::ControllerRecord;
use crate::software_versions;
use courseshunt_records::emit;
use courseshunt_services::{Registration, RegistrationOutbox, RelayedRegistration, VersionOutbox};
use courseshunt_types::{ControllerId, Millis, RunnerId, SoftwareVersion, Timestamp};
use courseshunt_wire::{Connection, Message, Receiver, Sender, WireError};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Time limit for sending a batch and receiving the leader's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
/// Registrations that repeat the previous one are batched for this time.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// The outbox of registrations for the leader, and the state of the link to it.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    state: Mutex<State>,
    wake: Notify,
}

#[derive(Debug, Default)]
struct State {
    outbox: RegistrationOutbox,
    versions: VersionOutbox,
    linked: bool,
    /// When the last link to the leader ended; the start of the process if there was none.
    unlinked_at: Timestamp,
}

impl Relay {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a registration for the leader; it is sent at once if the link is up, otherwise with
    /// the next link.
    pub(crate) fn enqueue(&self, registration: Registration, now: Timestamp) {
        let mut state = self.lock();
        state.outbox.offer(registration, now);
        if !state.linked {
            state.outbox.pause();
            return;
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Notes the software version in a heartbeat; it is sent before the next registrations.
    pub(crate) fn note_version(
        &self,
        service: &str,
        instance: &RunnerId,
        version: &SoftwareVersion,
        now: Timestamp,
    ) {
        let mut state = self.lock();
        state.versions.note(service, instance, version, now);
    }

    /// Time since the link to the leader ended; `None` while it is up.
    pub(crate) fn leader_unreachable_for(&self, now: Timestamp) -> Option<Millis> {
        let state = self.lock();
        (!state.linked).then(|| now.since(state.unlinked_at))
    }

    fn link(&self, now: Timestamp) {
        let mut state = self.lock();
        state.outbox.restart(now);
        state.versions.restart(now);
        state.linked = true;
    }

    /// Ends the link; returns whether there was one.
    fn unlink(&self, now: Timestamp) -> bool {
        let mut state = self.lock();
        state.outbox.pause();
        if state.linked {
            state.unlinked_at = now;
        }
        std::mem::take(&mut state.linked)
    }

    /// Waits until a batch is to be sent; changes and full batches are sent without delay.
    async fn wait_for_batch(&self) {
        while self.lock().outbox.is_empty() {
            self.wake.notified().await;
        }
        let _ = tokio::time::timeout(BATCH_DELAY, self.wait_until_due()).await;
    }

    async fn wait_until_due(&self) {
        while !self.lock().outbox.is_due() {
            self.wake.notified().await;
        }
    }
}

/// Relays registrations to each leader in turn until the process stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let ended = |address: SocketAddr, problem: Option<WireError>| {
        if shared.relay.unlink(shared.clock.now()) {
            emit(&ControllerRecord::RelayEnded {
                leader: &address.to_string(),
                problem: problem.as_ref().map(ToString::to_string).as_deref(),
            });
        }
    };
    leader_link::run_with_leader(&shared, |address| relay_to(address, &shared), ended).await;
}

/// Sends batches, one at a time, until an error occurs or the peer does not lead.
async fn relay_to(address: SocketAddr, shared: &Shared) -> Result<(), WireError> {
    let Connection {
        mut sender,
        mut receiver,
        version,
        ..
    } = leader_link::connect(address, shared).await?;
    shared.relay.link(shared.clock.now());
    emit(&ControllerRecord::RelayBegan {
        leader: &address.to_string(),
        protocol: version,
    });
    send_versions(&mut sender, shared).await?;
    loop {
        shared.relay.wait_for_batch().await;
        let batch = shared.relay.lock().outbox.take(shared.clock.now());
        let exchange = async {
            send_versions(&mut sender, shared).await?;
            sender.send(&Message::Registrations(batch)).await?;
            receive_reply(&mut receiver).await
        };
        let reply = tokio::time::timeout(REPLY_TIMEOUT, exchange).await;
        let reply = reply.unwrap_or(Err(timed_out("registrations", address)))?;
        let Some(lacked) = reply else {
            return Ok(());
        };
        let mut state = shared.relay.lock();
        for id in &lacked {
            state.outbox.resend(id);
        }
    }
}

/// Sends the software versions that the leader lacks; a leader of the previous release is sent none.
async fn send_versions(sender: &mut Sender, shared: &Shared) -> Result<(), WireError> {
    loop {
        let versions = shared.relay.lock().versions.take(shared.clock.now());
        if versions.is_empty() {
            return Ok(());
        }
        sender.send(&Message::SoftwareVersions(versions)).await?;
    }
}

/// Receives the reply to a batch: the instances whose earlier registration the leader lacks.
/// `None` when the peer does not lead, or closes the connection.
async fn receive_reply(receiver: &mut Receiver) -> Result<Option<Vec<RunnerId>>, WireError> {
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

/// Applies another controller's batch if this one leads, and returns the reply.
pub(crate) fn handle_batch(
    batch: Vec<RelayedRegistration>,
    from: ControllerId,
    shared: &Shared,
) -> Message {
    let leads = shared.replica.leads();
    let mut lacked = Vec::new();
    if leads {
        let now = shared.clock.now();
        software_versions::note_relayed(&batch, now, shared);
        let mut engine = shared.engine();
        let mut changed = false;
        for one in batch {
            match engine.register_relayed(one, now) {
                Ok(is_change) => changed |= is_change,
                Err(id) => lacked.push(id),
            }
        }
        drop(engine);
        if changed {
            shared.wake.notify_one();
        }
    }
    if !lacked.is_empty() {
        log::debug!(
            "relay: {} registrations of controller {from} have to be sent in full",
            lacked.len()
        );
    }
    Message::RegistrationsReply {
        leads,
        missing: lacked,
    }
}
