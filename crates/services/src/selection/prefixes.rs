//! Which beginnings of prompts an instance keeps, as far as one router knows: those that
//! requests of its own have read there, or are reading.
//!
//! Invariant: a request that was turned away leaves nothing behind.

use courseshunt_types::{Millis, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// How long a prefix counts as kept after its last use.
const KEPT: Millis = Millis(60_000);
/// Prefixes remembered for one instance at the most.
const MAX_PREFIXES: usize = 4096;

/// A beginning of a prompt: its key, and its tokens up to there.
pub(super) type PrefixKey = (u64, u32);

#[derive(Debug, Default)]
struct Prefix {
    /// When a request that read it was sent last.
    used_at: Option<Timestamp>,
    /// Requests under way that read it.
    reading: u32,
}

impl Prefix {
    fn is_kept(&self, now: Timestamp) -> bool {
        self.reading > 0 || self.used_at.is_some_and(|at| now.since(at) < KEPT)
    }
}

/// A request under way.
#[derive(Debug)]
struct Reading {
    sent_at: Timestamp,
    keys: Vec<u64>,
}

/// See the module.
#[derive(Debug, Default)]
pub(super) struct KeptPrefixes {
    prefixes: HashMap<u64, Prefix>,
    /// By ticket.
    under_way: BTreeMap<u64, Reading>,
}

impl KeptPrefixes {
    /// Tokens of the longest beginning that is kept.
    pub(super) fn tokens(&self, keys: &[PrefixKey], now: Timestamp) -> u32 {
        let kept = keys.iter().take_while(|(key, _)| {
            let prefix = self.prefixes.get(key);
            prefix.is_some_and(|prefix| prefix.is_kept(now))
        });
        kept.last().map_or(0, |(_, tokens)| *tokens)
    }

    /// Notes that a request is sent.
    pub(super) fn begin(&mut self, ticket: u64, keys: &[PrefixKey], now: Timestamp) {
        let keys: Vec<u64> = keys.iter().map(|(key, _)| *key).collect();
        for key in &keys {
            self.prefixes.entry(*key).or_default().reading += 1;
        }
        let reading = Reading { sent_at: now, keys };
        self.under_way.insert(ticket, reading);
        if self.prefixes.len() > MAX_PREFIXES {
            let oldest = now - Millis(KEPT.0 / 4);
            self.prefixes.retain(|_, prefix| {
                prefix.reading > 0 || prefix.used_at.is_some_and(|at| at >= oldest)
            });
        }
    }

    /// Notes that a request's prompt was read, or may have been.
    pub(super) fn read(&mut self, ticket: u64) {
        self.settle(ticket, true);
    }

    /// Notes that a request was turned away.
    pub(super) fn turned_away(&mut self, ticket: u64) {
        self.settle(ticket, false);
    }

    fn settle(&mut self, ticket: u64, was_read: bool) {
        let Some(reading) = self.under_way.remove(&ticket) else {
            return;
        };
        for key in reading.keys {
            let Some(prefix) = self.prefixes.get_mut(&key) else {
                continue;
            };
            prefix.reading = prefix.reading.saturating_sub(1);
            if was_read {
                prefix.used_at = prefix.used_at.max(Some(reading.sent_at));
            }
            if prefix.reading == 0 && prefix.used_at.is_none() {
                self.prefixes.remove(&key);
            }
        }
    }
}
