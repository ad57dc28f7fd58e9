//! The routers through which this one may forward requests, as the leader named them.
//!
//! Invariant: a forwarder that could not be used is avoided for a while, also if the leader
//! names it again.

use courseshunt_services::Forwarder;
use courseshunt_types::{Millis, Timestamp, Zone};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Time for which a forwarder that could not be used is avoided.
const AVOIDANCE: Millis = Millis(1_000);
/// Interval of the reports with which a router asks for forwarders, and the interval while it
/// needs one or knows none. Nothing is forwarded before the first answer.
const REPORT_INTERVAL: Millis = Millis(15_000);
const URGENT_REPORT_INTERVAL: Millis = Millis(500);

/// How well this router can forward for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Whether it forwards at all.
    pub available: bool,
    /// Whether it has lost its own path to some instance, as far as it knows.
    pub has_lost_paths: bool,
}

/// The requests for which a forwarder is avoided.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Avoided {
    /// Those of all services: it can't be reached, or takes no requests.
    All,
    /// Those of this service: it has lost its paths there.
    Service(String),
}

/// A forwarder that the leader named.
#[derive(Debug)]
struct Known {
    address: SocketAddr,
    is_own_zone: bool,
}

#[derive(Debug, Default)]
struct State {
    known: Vec<Known>,
    /// Forwarders that could not be used, for requests of one service or of all.
    avoided_until: BTreeMap<(SocketAddr, Avoided), Timestamp>,
    /// Requests of this router in flight through each forwarder.
    in_flight: BTreeMap<SocketAddr, u32>,
    reported_at: Option<Timestamp>,
    /// What the last report offered.
    reported_offer: Option<Offer>,
    /// Whether the leader has answered the last report; one that has just been elected may drop
    /// it.
    is_answered: bool,
}

impl State {
    fn is_avoided(&self, address: SocketAddr, service: &str, now: Timestamp) -> bool {
        let requests = [Avoided::All, Avoided::Service(service.to_owned())];
        requests.into_iter().any(|requests| {
            let until = self.avoided_until.get(&(address, requests));
            until.is_some_and(|until| *until > now)
        })
    }
}

/// See the module documentation.
#[derive(Debug, Default)]
pub struct ForwarderList {
    state: Mutex<State>,
    /// Notified when a report is to be sent at once.
    pub report_due: Notify,
}

impl ForwarderList {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the feed of a leader starts, which has no report of this router.
    pub fn start_leader_feed(&self) {
        let mut state = self.lock();
        state.reported_at = None;
        state.reported_offer = None;
        drop(state);
        self.report_due.notify_one();
    }

    /// Replaces the forwarders by those that the leader named. Returns whether one of them was not
    /// known before.
    pub fn set(&self, forwarders: &[Forwarder], zone: &Zone) -> bool {
        let known = forwarders.iter().filter_map(|one| {
            Some(Known {
                address: one.address.parse().ok()?,
                is_own_zone: one.zone == *zone,
            })
        });
        let mut state = self.lock();
        let before = std::mem::replace(&mut state.known, known.collect());
        state.is_answered = true;
        let mut known = state.known.iter();
        known.any(|one| before.iter().all(|other| other.address != one.address))
    }

    /// The forwarder for a request of `service` that was not forwarded through any of `tried`: the
    /// one with the fewest requests of this router in flight, of those in the own zone if possible.
    #[must_use]
    pub fn choose(
        &self,
        service: &str,
        tried: &[SocketAddr],
        now: Timestamp,
    ) -> Option<SocketAddr> {
        let state = self.lock();
        let usable = state.known.iter();
        let usable = usable.filter(|one| !tried.contains(&one.address));
        let usable = usable.filter(|one| !state.is_avoided(one.address, service, now));
        let chosen = usable.min_by_key(|one| {
            let in_flight = state.in_flight.get(&one.address).copied().unwrap_or(0);
            (in_flight, !one.is_own_zone)
        });
        chosen.map(|one| one.address)
    }

    /// Records that a forwarder could not be used.
    pub fn avoid(&self, address: SocketAddr, requests: Avoided, now: Timestamp) {
        let mut state = self.lock();
        state.avoided_until.retain(|_, until| *until > now);
        let until = now + AVOIDANCE;
        state.avoided_until.insert((address, requests), until);
        drop(state);
        self.report_due.notify_one();
    }

    /// Counts a request in flight through a forwarder until the guard is dropped.
    #[must_use]
    pub fn begin(self: &Arc<Self>, address: SocketAddr) -> InFlightGuard {
        *self.lock().in_flight.entry(address).or_default() += 1;
        InFlightGuard {
            list: self.clone(),
            address,
        }
    }

    /// Whether a report is due: the offer has changed, or the interval has passed. It is short
    /// while the last report is not answered, a forwarder is needed or none is known.
    #[must_use]
    pub fn is_report_due(&self, offer: Offer, needs_forwarder: bool, now: Timestamp) -> bool {
        let state = self.lock();
        let is_urgent = needs_forwarder || state.known.is_empty() || !state.is_answered;
        let interval = match is_urgent {
            true => URGENT_REPORT_INTERVAL,
            false => REPORT_INTERVAL,
        };
        let Some(reported_at) = state.reported_at else {
            return true;
        };
        state.reported_offer != Some(offer) || now.since(reported_at) >= interval
    }

    /// Records that a report was sent.
    pub fn record_report(&self, offer: Offer, now: Timestamp) {
        let mut state = self.lock();
        state.reported_at = Some(now);
        state.reported_offer = Some(offer);
        state.is_answered = false;
    }
}

/// Guard returned by [`ForwarderList::begin`].
#[derive(Debug)]
pub struct InFlightGuard {
    list: Arc<ForwarderList>,
    address: SocketAddr,
}

impl InFlightGuard {
    /// Wire address of the forwarder.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.list.lock();
        if let Some(in_flight) = state.in_flight.get_mut(&self.address) {
            *in_flight -= 1;
            if *in_flight == 0 {
                state.in_flight.remove(&self.address);
            }
        }
    }
}
