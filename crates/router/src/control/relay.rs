//! Relays revisions between routers, for a router that reaches no controller with a
//! confirmed feed.
//!
//! Invariant: only state received from a controller, and thus committed by a
//! quorum, is relayed; a relayed confirmation carries the age that it has at the
//! relaying router. The receiver handles both like a controller's feed: it never
//! applies a lower revision, and only a fresh confirmation makes it synced.

use super::client::LinkSettings;
use super::freshness::STALE_LIMIT;
use crate::configuration::ConfigurationView;
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Millis, Revision};
use courseshunt_wire::message::Subscribe;
use courseshunt_wire::{Connection, Message, PeerIdentity, WireError, connect};
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of routers that are contacted in one round.
const PEERS_PER_ROUND: usize = 3;
/// Timeout of the exchange with one router.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers subscriptions of other routers from this router's view; cheap to clone.
#[derive(Debug, Clone)]
pub struct RelaySource {
    /// State that this router received from the feed.
    pub view: Arc<ConfigurationView>,
    /// Clock of this process.
    pub clock: MonotonicClock,
}

impl RelaySource {
    /// Messages for a router that has `revision`: the configuration if this router's
    /// is newer, then the confirmation.
    #[must_use]
    pub fn answer(&self, revision: Revision) -> Vec<Message> {
        let mut messages = Vec::new();
        if let Some(update) = self.view.update_after(revision) {
            messages.extend(update.into_parts());
        }
        messages.push(self.confirmation());
        messages
    }

    fn confirmation(&self) -> Message {
        let now = self.clock.now();
        let confirmed = self.view.confirmation();
        let (age, revision) = match confirmed {
            Some(confirmed) => (now.since(confirmed.at), confirmed.revision),
            None => (Millis(u64::MAX), self.view.revision()),
        };
        Message::FeedConfirmation { age, revision }
    }
}

/// Requests a newer revision from up to `PEERS_PER_ROUND` other routers. Returns
/// the new revision if one was applied.
pub async fn fetch(view: &ConfigurationView, settings: &LinkSettings) -> Option<Revision> {
    let before = view.revision();
    for address in choose_peers(view, settings) {
        let exchange = fetch_from(view, settings, address);
        match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
            Ok(Ok(())) => break,
            Ok(Err(error)) => log::warn!("relay: fetching from {address} failed: {error}"),
            Err(_) => log::warn!(
                "relay: {address} did not answer within {} ms",
                EXCHANGE_TIMEOUT.as_millis()
            ),
        }
    }
    let after = view.revision();
    (after > before).then_some(after)
}

fn choose_peers(view: &ConfigurationView, settings: &LinkSettings) -> Vec<SocketAddr> {
    let routers = view.routers();
    let others = routers
        .iter()
        .filter(|endpoint| endpoint.router != settings.router);
    let addresses: Vec<SocketAddr> = others
        .filter_map(|endpoint| endpoint.wire_address.parse().ok())
        .collect();
    let chosen = addresses.sample(&mut rand::rng(), PEERS_PER_ROUND);
    chosen.copied().collect()
}

async fn fetch_from(
    view: &ConfigurationView,
    settings: &LinkSettings,
    address: SocketAddr,
) -> Result<(), WireError> {
    let identity = PeerIdentity::Router(settings.router.clone(), settings.incarnation);
    let connection = connect(address, &settings.key, &identity).await?;
    let Connection {
        mut sender,
        mut receiver,
        ..
    } = connection;
    view.begin_feed();
    let subscribe = Subscribe {
        router: settings.router.clone(),
        incarnation: settings.incarnation,
        wire_address: settings.endpoints.wire_address.to_string(),
        http_address: settings.endpoints.http_address.to_string(),
        zone: settings.zone.clone(),
        revision: view.revision(),
        placement: view.placement(),
    };
    sender.send(&Message::Subscribe(subscribe)).await?;
    while let Some(message) = receiver.receive().await? {
        match message {
            Message::Configuration(update) => drop(view.apply_configuration(update)),
            Message::FeedConfirmation { age, revision } => {
                let now = settings.clock.now();
                if age <= STALE_LIMIT {
                    view.confirm(now, revision);
                }
                return Ok(());
            }
            _ => {}
        }
    }
    Ok(())
}
