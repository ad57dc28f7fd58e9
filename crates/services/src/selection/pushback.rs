//! Pushbacks that instances sent to this process in their answers: a backoff, during which they
//! are sent no requests, or a notice that they are leaving, after which they are sent none.
//!
//! Invariants: a pushback applies to one incarnation of an instance, and was sent to this process
//! alone. A backoff ends with its time; a notice of leaving holds for the rest of the incarnation,
//! whatever is reported of the instance later. Neither the feed nor a configuration changes it.
//!
//! After a backoff, for the same length of time, the number of concurrent requests to the
//! instance is bounded by a window: one at first, one more for each successful answer, and at
//! most this process's share of the instance's slots. Requests have queued for the instance
//! during the backoff, here and at other routers; sent all at once, they would cause the next
//! backoff.
//!
//! Memory: bounded by [`MAX_ENTRIES`].

use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::{BTreeSet, HashMap};

/// Largest number of instances with a pushback: several times those of the largest fleet that
/// leave or are in backoff at once. The oldest entry is evicted first.
const MAX_ENTRIES: usize = 16_384;
/// Concurrent requests that are sent to an instance right after its backoff.
const INITIAL_WINDOW: usize = 1;

/// Reason of an instance for not being sent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pushback {
    /// The instance is in backoff, for this remaining time.
    Backoff(Millis),
    /// The backoff is over, and the window of concurrent requests is full.
    Recovering,
    /// The rate limit of the instance is used up for this remaining time.
    Limited(Millis),
    /// The instance is leaving and is sent no more requests.
    Leaving,
}

impl Pushback {
    /// Label for logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Backoff(_) => "rest",
            Self::Recovering => "returns",
            Self::Limited(_) => "limited",
            Self::Leaving => "leaving",
        }
    }
}

#[derive(Debug)]
struct Entry {
    /// When the newest pushback was received.
    received_at: Timestamp,
    backoff_until: Timestamp,
    /// Until this time the concurrent requests are bounded by `window`.
    recovery_until: Timestamp,
    leaving: bool,
    /// Largest number of concurrent requests after the backoff.
    window: usize,
    /// Tickets of the requests in flight that were sent after the backoff.
    in_flight: BTreeSet<u64>,
}

impl Entry {
    fn is_expired(&self, now: Timestamp) -> bool {
        !self.leaving && now >= self.recovery_until
    }
}

/// Pushbacks of all instances. See the module documentation.
#[derive(Debug, Default)]
pub struct Pushbacks {
    entries: HashMap<RunnerId, Entry>,
}

impl Pushbacks {
    /// Records that an instance requested a backoff; a longer one that is in force stays.
    pub fn start_backoff(&mut self, instance: &RunnerId, backoff: Millis, now: Timestamp) {
        let entry = self.entry(instance, now);
        entry.backoff_until = entry.backoff_until.max(now.surely_after(backoff));
        entry.recovery_until = entry.recovery_until.max(entry.backoff_until + backoff);
        entry.window = INITIAL_WINDOW;
    }

    /// Records that an instance is leaving; returns whether this is new.
    pub fn note_leaving(&mut self, instance: &RunnerId, now: Timestamp) -> bool {
        let entry = self.entry(instance, now);
        !std::mem::replace(&mut entry.leaving, true)
    }

    /// The pushback of an instance that is in force now: a backoff, or that it is leaving.
    #[must_use]
    pub fn active_pushback(&self, instance: &RunnerId, now: Timestamp) -> Option<Pushback> {
        let entry = self.entries.get(instance)?;
        if entry.leaving {
            return Some(Pushback::Leaving);
        }
        let in_backoff = now < entry.backoff_until;
        in_backoff.then(|| Pushback::Backoff(entry.backoff_until.since(now)))
    }

    /// Reason for which an instance must not be sent a request now; `None` if it may be sent one.
    /// `share` is this process's share of the instance's slots.
    #[must_use]
    pub fn blocked_by(
        &self,
        instance: &RunnerId,
        share: usize,
        now: Timestamp,
    ) -> Option<Pushback> {
        if let Some(active) = self.active_pushback(instance, now) {
            return Some(active);
        }
        let entry = self.entries.get(instance)?;
        let window = entry.window.min(share.max(INITIAL_WINDOW));
        let is_full = !entry.is_expired(now) && entry.in_flight.len() >= window;
        is_full.then_some(Pushback::Recovering)
    }

    /// Instances that reported that they are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &RunnerId> {
        let leaving = self.entries.iter().filter(|(_, entry)| entry.leaving);
        leaving.map(|(id, _)| id)
    }

    /// Records that a request is sent.
    pub fn begin(&mut self, instance: &RunnerId, ticket: u64, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        match entry.is_expired(now) {
            true => drop(self.entries.remove(instance)),
            false => drop(entry.in_flight.insert(ticket)),
        }
    }

    /// Records a successful answer; returns whether the window of the instance has grown.
    pub fn answered(&mut self, instance: &RunnerId, ticket: u64) -> bool {
        let Some(entry) = self.entries.get_mut(instance) else {
            return false;
        };
        // A request that was sent before the backoff gives no evidence of the time after it.
        if !entry.in_flight.remove(&ticket) {
            return false;
        }
        entry.window += 1;
        true
    }

    /// Records that a request has ended in any way; returns whether the instance accepts another
    /// one in its place.
    pub fn ended(&mut self, instance: &RunnerId, ticket: u64) -> bool {
        let entry = self.entries.get_mut(instance);
        entry.is_some_and(|entry| entry.in_flight.remove(&ticket))
    }

    fn entry(&mut self, instance: &RunnerId, now: Timestamp) -> &mut Entry {
        if !self.entries.contains_key(instance) {
            self.evict(now);
        }
        let entry = self.entries.entry(instance.clone()).or_insert(Entry {
            received_at: now,
            backoff_until: now,
            recovery_until: now,
            leaving: false,
            window: INITIAL_WINDOW,
            in_flight: BTreeSet::new(),
        });
        entry.received_at = now;
        entry
    }

    /// Removes expired entries when the table is full, then the oldest one.
    fn evict(&mut self, now: Timestamp) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        self.entries.retain(|_, entry| !entry.is_expired(now));
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.received_at);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.entries.remove(&oldest);
        }
    }
}
