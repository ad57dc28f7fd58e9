//! Keeps a connection to one controller.

use super::ledger::{LedgerCall, LedgerCalls};
use crate::RouterContext;
use courseshunt_types::ClientSequence;
use courseshunt_wire::message::{CallId, LedgerResult, Subscribe};
use courseshunt_wire::{
    ClusterKey, Connection, Message, PeerIdentity, Receiver, Sender, WireError, connect_from,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Pause before the next controller is tried.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Time between demand reports when no event asks for one.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Addresses under which this router serves.
#[derive(Debug, Clone, Copy)]
pub struct Endpoints {
    /// For callers.
    pub http_address: SocketAddr,
    /// For other processes.
    pub wire_address: SocketAddr,
}

type PendingCalls = Arc<Mutex<BTreeMap<CallId, oneshot::Sender<LedgerResult>>>>;

/// Connects to one controller after the other until cancelled.
pub async fn run(
    context: RouterContext,
    key: ClusterKey,
    endpoints: Endpoints,
    mut calls: LedgerCalls,
) {
    let identity = PeerIdentity::Router(context.settings.id.clone(), context.incarnation);
    let source = context.settings.source_address;
    let mut sequence = 0;
    for address in context.settings.controllers.iter().cycle() {
        match connect_from(source, *address, &key, &identity).await {
            Ok(connection) => {
                let link = Link {
                    context: &context,
                    endpoints,
                    pending: PendingCalls::default(),
                };
                let ended = link.serve(connection, &mut calls, &mut sequence).await;
                match ended {
                    Ok(()) => log::info!("control: the controller at {address} closed"),
                    Err(error) => log::warn!("control: {error}"),
                }
            }
            Err(error) => log::warn!("control: {error}"),
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

struct Link<'a> {
    context: &'a RouterContext,
    endpoints: Endpoints,
    pending: PendingCalls,
}

impl Link<'_> {
    async fn serve(
        self,
        connection: Connection,
        calls: &mut LedgerCalls,
        sequence: &mut u64,
    ) -> Result<(), WireError> {
        let Connection {
            mut sender,
            receiver,
            ..
        } = connection;
        sender.send(&Message::Subscribe(self.subscribe())).await?;
        tokio::select! {
            ended = self.receive(receiver) => ended,
            ended = self.send(sender, calls, sequence) => ended,
        }
    }

    fn subscribe(&self) -> Subscribe {
        Subscribe {
            router: self.context.settings.id.clone(),
            incarnation: self.context.incarnation,
            wire_address: self.endpoints.wire_address.to_string(),
            http_address: self.endpoints.http_address.to_string(),
            zone: self.context.settings.zone.clone(),
            revision: self.context.view.revision(),
        }
    }

    async fn receive(&self, mut receiver: Receiver) -> Result<(), WireError> {
        while let Some(message) = receiver.receive().await? {
            self.take(message);
        }
        Ok(())
    }

    fn take(&self, message: Message) {
        let view = &self.context.view;
        match message {
            Message::Configuration(update) => {
                let revision = view.apply_configuration(update);
                log::info!("router: revision {revision} is in force");
                self.context.dispatcher.view_changed();
            }
            Message::Placement(update) => {
                view.apply_placement(update);
                self.context.dispatcher.view_changed();
            }
            Message::Fleet(update) => view.apply_fleet(update),
            Message::FeedConfirmation { .. } => view.confirm(self.context.clock.now()),
            Message::LedgerReply { call, result } => {
                let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(reply) = pending.remove(&call) {
                    let _ = reply.send(result);
                }
            }
            other => log::warn!("control: unexpected message {other:?}"),
        }
    }

    async fn send(
        &self,
        mut sender: Sender,
        calls: &mut LedgerCalls,
        sequence: &mut u64,
    ) -> Result<(), WireError> {
        let mut interval = tokio::time::interval(REPORT_INTERVAL);
        loop {
            tokio::select! {
                call = calls.recv() => {
                    let Some(call) = call else { return Ok(()) };
                    *sequence += 1;
                    sender.send(&self.ledger_message(call, *sequence)).await?;
                }
                () = self.context.dispatcher.demand_changed() => self.report(&mut sender).await?,
                _ = interval.tick() => self.report(&mut sender).await?,
            }
        }
    }

    fn ledger_message(&self, call: LedgerCall, sequence: u64) -> Message {
        let id = CallId(sequence);
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.insert(id, call.reply);
        let lowest = pending.keys().next().map_or(sequence, |call| call.0);
        Message::Ledger {
            call: id,
            group: call.group,
            sequence: ClientSequence(sequence),
            acknowledged: ClientSequence(lowest),
            command: call.command,
        }
    }

    async fn report(&self, sender: &mut Sender) -> Result<(), WireError> {
        let revision = self.context.view.revision();
        sender.send(&Message::Confirmed { revision }).await?;
        let reports = self.context.dispatcher.demand().await;
        if reports.is_empty() {
            return Ok(());
        }
        sender.send(&Message::Demand { reports }).await
    }
}
