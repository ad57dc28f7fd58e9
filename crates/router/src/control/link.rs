//! Maintains a connection to one controller and fails over to the others.
//!
//! Invariant: the link disconnects within seconds from a controller whose feed is
//! not confirmed by a quorum, also from one that sends nothing.

use super::client::{LinkClient, LinkSettings};
use super::freshness::{FeedFreshness, STALE_LIMIT};
use super::ledger::LedgerCalls;
use super::pending::PendingCalls;
use super::relay;
use courseshunt_types::{Millis, Revision};
use courseshunt_wire::message::Subscribe;
use courseshunt_wire::{
    Connection, Message, PeerIdentity, Receiver, Sender, WireError, connect_from,
};
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Range of the pause before the next connection attempt, in milliseconds. It is
/// random, so that routers don't all reconnect at once.
const RECONNECT_PAUSE_MILLIS: std::ops::Range<u64> = 100..300;
/// Interval of demand reports without an event that triggers one. The revision
/// that is sent with each also serves as a heartbeat of this router.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of checks for ledger calls that have to be sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of checks of the confirmation's age.
const FRESHNESS_INTERVAL: Duration = Duration::from_millis(100);

/// Why a connection ended.
#[derive(Debug, snafu::Snafu)]
enum LinkError {
    /// The connection failed.
    #[snafu(display("{source}"), context(false))]
    Wire {
        /// The error of the connection.
        source: WireError,
    },
    /// The last confirmation by a quorum is older than [`STALE_LIMIT`].
    #[snafu(display(
        "follow the feed of {controller}: no quorum has confirmed it for {} ms, more than {} ms",
        age.0,
        STALE_LIMIT.0
    ))]
    Stale {
        /// Address of the controller.
        controller: SocketAddr,
        /// Age of the last confirmation.
        age: Millis,
    },
}

/// Connects to the controllers in rotation until cancelled.
pub async fn run<C: LinkClient>(client: C, settings: LinkSettings, mut calls: LedgerCalls) {
    let identity = PeerIdentity::Router(settings.router.clone(), settings.incarnation);
    let pending = Mutex::new(PendingCalls::default());
    let first = first_controller(&settings);
    let mut unconfirmed_connections = 0;
    for address in settings.controllers.iter().cycle().skip(first) {
        match connect_from(settings.source, *address, &settings.key, &identity).await {
            Ok(connection) => {
                let link = Link {
                    client: &client,
                    settings: &settings,
                    controller: *address,
                    pending: &pending,
                    freshness: Mutex::new(FeedFreshness::connected(settings.clock.now())),
                    applied: Notify::new(),
                };
                let ended = link.serve(connection, &mut calls).await;
                link.pending().connection_lost();
                if link.freshness().was_confirmed() {
                    unconfirmed_connections = 0;
                }
                match ended {
                    Ok(()) => {
                        log::info!("control: the controller at {address} closed the connection")
                    }
                    Err(error) => log::warn!("control: connection to {address} ended: {error}"),
                }
            }
            Err(error) => log::warn!("control: connecting to {address} failed: {error}"),
        }
        unconfirmed_connections += 1;
        if unconfirmed_connections % settings.controllers.len() == 0 {
            fetch_from_routers(&client, &settings).await;
        }
        let pause = rand::rng().random_range(RECONNECT_PAUSE_MILLIS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Requests a newer revision from other routers, since no controller has provided a
/// confirmed feed.
async fn fetch_from_routers<C: LinkClient>(client: &C, settings: &LinkSettings) {
    if let Some(revision) = relay::fetch(client.view(), settings).await {
        log::info!("router: revision {revision} is in force, relayed by another router");
        client.view_changed();
    }
}

/// Index of the first controller to connect to. It depends on the router's id, so
/// that routers with the same list are spread over the controllers.
fn first_controller(settings: &LinkSettings) -> usize {
    let hash = xxhash_rust::xxh3::xxh3_64(settings.router.as_str().as_bytes());
    let count = settings.controllers.len().max(1) as u64;
    (hash % count) as usize
}

struct Link<'a, C> {
    client: &'a C,
    settings: &'a LinkSettings,
    controller: SocketAddr,
    pending: &'a Mutex<PendingCalls>,
    freshness: Mutex<FeedFreshness>,
    /// Notified when a new revision is in force.
    applied: Notify,
}

impl<C: LinkClient> Link<'_, C> {
    fn pending(&self) -> MutexGuard<'_, PendingCalls> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn freshness(&self) -> MutexGuard<'_, FeedFreshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(
        &self,
        connection: Connection,
        calls: &mut LedgerCalls,
    ) -> Result<(), LinkError> {
        let Connection {
            mut sender,
            receiver,
            ..
        } = connection;
        self.client.view().begin_feed();
        sender.send(&Message::Subscribe(self.subscribe())).await?;
        tokio::select! {
            ended = self.receive(receiver) => ended,
            ended = self.send(sender, calls) => ended,
            ended = self.watch_freshness() => ended,
        }
    }

    fn subscribe(&self) -> Subscribe {
        let settings = self.settings;
        Subscribe {
            router: settings.router.clone(),
            incarnation: settings.incarnation,
            wire_address: settings.endpoints.wire_address.to_string(),
            http_address: settings.endpoints.http_address.to_string(),
            zone: settings.zone.clone(),
            revision: self.client.view().revision(),
            placement: self.client.view().placement(),
        }
    }

    async fn receive(&self, mut receiver: Receiver) -> Result<(), LinkError> {
        while let Some(message) = receiver.receive().await? {
            self.handle(message);
        }
        Ok(())
    }

    fn handle(&self, message: Message) {
        let view = self.client.view();
        match message {
            Message::Configuration(update) => {
                if let Some(revision) = view.apply_configuration(update) {
                    log::info!("router: revision {revision} is in force");
                    self.applied.notify_one();
                    self.client.view_changed();
                }
            }
            Message::Placement(update) => {
                view.apply_placement(update);
                self.client.view_changed();
            }
            Message::Fleet(update) => {
                view.apply_fleet(update);
                self.client.view_changed();
            }
            Message::FeedConfirmation { age, revision } => self.confirmed(age, revision),
            Message::Jobs { jobs } => self.client.jobs_queued(jobs),
            Message::Drain => self.client.drain_requested(),
            Message::LedgerReply { call, result } => self.pending().answer(call, result),
            other => log::warn!(
                "control: {} sent an unexpected message: {other:?}",
                self.controller
            ),
        }
    }

    fn confirmed(&self, age: Millis, revision: Revision) {
        let now = self.settings.clock.now();
        if self.freshness().confirmed(age, now) {
            self.client.view().confirm(now, revision);
        }
    }

    async fn watch_freshness(&self) -> Result<(), LinkError> {
        let mut interval = tokio::time::interval(FRESHNESS_INTERVAL);
        loop {
            interval.tick().await;
            let now = self.settings.clock.now();
            let freshness = *self.freshness();
            if freshness.is_stale(now) {
                let (controller, age) = (self.controller, freshness.age(now));
                return Err(LinkError::Stale { controller, age });
            }
        }
    }

    async fn send(&self, mut sender: Sender, calls: &mut LedgerCalls) -> Result<(), LinkError> {
        let mut leaving_reported = false;
        let mut report = tokio::time::interval(REPORT_INTERVAL);
        let mut resend = tokio::time::interval(RESEND_INTERVAL);
        loop {
            tokio::select! {
                call = calls.recv() => {
                    let Some(call) = call else { return Ok(()) };
                    self.pending().add(call);
                    self.send_due(&mut sender).await?;
                }
                () = self.applied.notified() => self.send_revision(&mut sender).await?,
                () = self.client.demand_changed() => self.report(&mut sender).await?,
                _ = report.tick() => {
                    self.send_revision(&mut sender).await?;
                    self.report(&mut sender).await?;
                }
                _ = resend.tick() => self.send_due(&mut sender).await?,
                () = self.client.leaving(), if !leaving_reported => {
                    leaving_reported = true;
                    sender.send(&Message::Leaving).await?;
                    self.client.leaving_reported();
                }
            }
        }
    }

    async fn send_due(&self, sender: &mut Sender) -> Result<(), LinkError> {
        let due = self.pending().due();
        for message in &due {
            sender.send(message).await?;
        }
        Ok(())
    }

    async fn send_revision(&self, sender: &mut Sender) -> Result<(), LinkError> {
        let revision = self.client.view().revision();
        Ok(sender.send(&Message::Confirmed { revision }).await?)
    }

    async fn report(&self, sender: &mut Sender) -> Result<(), LinkError> {
        let reports = self.client.demand().await;
        if reports.is_empty() {
            return Ok(());
        }
        Ok(sender.send(&Message::Demand { reports }).await?)
    }
}
