//! Keeps a connection to one controller.

use super::ledger::LedgerCalls;
use super::pending::PendingCalls;
use crate::RouterContext;
use courseshunt_wire::message::Subscribe;
use courseshunt_wire::{
    ClusterKey, Connection, Message, PeerIdentity, Receiver, Sender, WireError, connect,
};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Pause before the next controller is tried.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Time between demand reports when no event asks for one.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between looks for ledger calls that a controller did not commit.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Addresses under which this router serves.
#[derive(Debug, Clone, Copy)]
pub struct Endpoints {
    /// For callers.
    pub http_address: SocketAddr,
    /// For other processes.
    pub wire_address: SocketAddr,
}

/// Connects to one controller after the other until cancelled.
pub async fn run(
    context: RouterContext,
    key: ClusterKey,
    endpoints: Endpoints,
    mut calls: LedgerCalls,
) {
    let identity = PeerIdentity::Router(context.settings.id.clone(), context.incarnation);
    let pending = Mutex::new(PendingCalls::default());
    for address in context.settings.controllers.iter().cycle() {
        match connect(*address, &key, &identity).await {
            Ok(connection) => {
                let link = Link {
                    context: &context,
                    endpoints,
                    pending: &pending,
                };
                let ended = link.serve(connection, &mut calls).await;
                link.pending().connection_lost();
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
    pending: &'a Mutex<PendingCalls>,
}

impl Link<'_> {
    fn pending(&self) -> MutexGuard<'_, PendingCalls> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(
        &self,
        connection: Connection,
        calls: &mut LedgerCalls,
    ) -> Result<(), WireError> {
        let Connection {
            mut sender,
            receiver,
            ..
        } = connection;
        sender.send(&Message::Subscribe(self.subscribe())).await?;
        tokio::select! {
            ended = self.receive(receiver) => ended,
            ended = self.send(sender, calls) => ended,
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
            Message::Fleet(update) => {
                view.apply_fleet(update);
                self.context.dispatcher.view_changed();
            }
            Message::FeedConfirmation { .. } => view.confirm(self.context.clock.now()),
            Message::Jobs { jobs } => {
                self.context.jobs.set(jobs, self.context.clock.now());
            }
            Message::LedgerReply { call, result } => self.pending().answer(call, result),
            other => log::warn!("control: unexpected message {other:?}"),
        }
    }

    async fn send(&self, mut sender: Sender, calls: &mut LedgerCalls) -> Result<(), WireError> {
        let mut report = tokio::time::interval(REPORT_INTERVAL);
        let mut resend = tokio::time::interval(RESEND_INTERVAL);
        loop {
            tokio::select! {
                call = calls.recv() => {
                    let Some(call) = call else { return Ok(()) };
                    self.pending().add(call);
                    self.send_due(&mut sender).await?;
                }
                () = self.context.dispatcher.demand_changed() => self.report(&mut sender).await?,
                _ = report.tick() => self.report(&mut sender).await?,
                _ = resend.tick() => self.send_due(&mut sender).await?,
            }
        }
    }

    async fn send_due(&self, sender: &mut Sender) -> Result<(), WireError> {
        let due = self.pending().due();
        for message in &due {
            sender.send(message).await?;
        }
        Ok(())
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
