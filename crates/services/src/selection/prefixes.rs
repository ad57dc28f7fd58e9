//! Prompt prefixes that an instance is assumed to have cached: those that requests of this
//! router have processed there, or are processing.
//!
//! Invariant: a request that the instance rejected adds no prefix.

use courseshunt_types::{Millis, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Time for which a prefix counts as cached after its last use.
const CACHED_TIME: Millis = Millis(60_000);
/// Number of prefixes for one instance from which those not used recently are removed.
const CLEANUP_THRESHOLD: usize = 4096;

/// A prompt prefix: its key, and its length in tokens.
pub(super) type PrefixKey = (u64, u32);

#[derive(Debug, Default)]
struct Prefix {
    /// When the newest request that processed it was sent.
    used_at: Option<Timestamp>,
    /// Requests in flight that contain it.
    in_flight_requests: u32,
}

impl Prefix {
    fn is_cached(&self, now: Timestamp) -> bool {
        self.in_flight_requests > 0 || self.used_at.is_some_and(|at| now.since(at) < CACHED_TIME)
    }
}

/// A request in flight.
#[derive(Debug)]
struct InFlightRequest {
    sent_at: Timestamp,
    keys: Vec<u64>,
}

/// Cached prefixes of one instance. See the module documentation.
#[derive(Debug, Default)]
pub(super) struct CachedPrefixes {
    prefixes: HashMap<u64, Prefix>,
    /// Requests in flight by ticket.
    in_flight: BTreeMap<u64, InFlightRequest>,
}

impl CachedPrefixes {
    /// Tokens of the longest prefix that is cached.
    pub(super) fn tokens(&self, keys: &[PrefixKey], now: Timestamp) -> u32 {
        let cached = keys.iter().take_while(|(key, _)| {
            let prefix = self.prefixes.get(key);
            prefix.is_some_and(|prefix| prefix.is_cached(now))
        });
        cached.last().map_or(0, |(_, tokens)| *tokens)
    }

    /// Records that a request is sent.
    pub(super) fn begin(&mut self, ticket: u64, keys: &[PrefixKey], now: Timestamp) {
        let keys: Vec<u64> = keys.iter().map(|(key, _)| *key).collect();
        for key in &keys {
            self.prefixes.entry(*key).or_default().in_flight_requests += 1;
        }
        let request = InFlightRequest { sent_at: now, keys };
        self.in_flight.insert(ticket, request);
        if self.prefixes.len() > CLEANUP_THRESHOLD {
            let oldest = now - Millis(CACHED_TIME.0 / 4);
            self.prefixes.retain(|_, prefix| {
                prefix.in_flight_requests > 0 || prefix.used_at.is_some_and(|at| at >= oldest)
            });
        }
    }

    /// Records that a request's prompt was processed, or may have been.
    pub(super) fn processed(&mut self, ticket: u64) {
        self.finish(ticket, true);
    }

    /// Records that a request was rejected.
    pub(super) fn rejected(&mut self, ticket: u64) {
        self.finish(ticket, false);
    }

    fn finish(&mut self, ticket: u64, was_processed: bool) {
        let Some(request) = self.in_flight.remove(&ticket) else {
            return;
        };
        for key in request.keys {
            let Some(prefix) = self.prefixes.get_mut(&key) else {
                continue;
            };
            prefix.in_flight_requests = prefix.in_flight_requests.saturating_sub(1);
            if was_processed {
                prefix.used_at = prefix.used_at.max(Some(request.sent_at));
            }
            if prefix.in_flight_requests == 0 && prefix.used_at.is_none() {
                self.prefixes.remove(&key);
            }
        }
    }
}
