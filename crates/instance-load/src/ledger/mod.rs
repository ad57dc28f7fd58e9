//! Load and speed of instances at the leader, combined over all routers.
//!
//! Invariant: the tokens of a router's requests count until the router is removed, or until it has
//! not repeated them for [`HELD_TOKENS_LIFETIME`].
//!
//! Memory: one entry for each instance that reports its load, with one number for each router that
//! has requests there.

mod entry;

use crate::{InstanceLoad, LoadSample};
use courseshunt_types::{Millis, RunnerId, Timestamp};
use entry::Entry;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

/// Time after which the tokens of a router's requests no longer count unless the router repeats
/// them: three times the interval in which routers do. A controller that is overloaded may drop
/// reports.
pub const HELD_TOKENS_LIFETIME: Millis = Millis(90_000);
/// Largest number of instances that routers are sent per second, on average. An instance takes
/// about 70 bytes, so that a router receives at most 23 KB/s; control traffic may take 24 KB/s of a
/// node. Up to 76 instances can be sent with each message at an interval of 240 ms, and the changes
/// of a larger fleet take turns.
pub const MAX_ENTRIES_PER_S: f64 = 320.0;
/// Longest time whose unused entries can be sent with one message.
const MAX_MESSAGE_INTERVAL: Millis = Millis(1_000);

/// Load and speed of all instances at the leader. See the module documentation.
#[derive(Debug, Default)]
pub struct LoadLedger {
    entries: BTreeMap<RunnerId, Entry>,
    /// Numbers of the routers, by name.
    routers: HashMap<String, u32>,
    last_number: u32,
    /// The instance with which the last message ended, if it was full.
    cursor: Option<RunnerId>,
    last_taken_at: Timestamp,
}

impl LoadLedger {
    /// Records a router's report, from which samples with impossible values are left out.
    pub fn record(&mut self, router: &str, samples: &[LoadSample], now: Timestamp) {
        let router = self.number_of(router);
        for sample in samples.iter().filter(|sample| is_plausible(sample)) {
            let entry = self.entries.entry(sample.instance.clone()).or_default();
            entry.record(router, sample, now);
        }
    }

    /// Removes the tokens of the requests of a router that is lost, or that starts to report anew.
    pub fn remove_router(&mut self, router: &str) {
        let Some(number) = self.routers.remove(router) else {
            return;
        };
        for entry in self.entries.values_mut() {
            entry.remove_router(number);
        }
    }

    /// Removes the instances that no longer exist, and what has expired.
    pub fn retain(&mut self, exists: impl Fn(&RunnerId) -> bool, now: Timestamp) {
        self.entries.retain(|instance, entry| {
            entry.expire(now);
            exists(instance)
        });
    }

    /// The instances that have changed noticeably since they were last taken, in the order of
    /// identities, starting after the last one of a full message; at most as many as
    /// [`MAX_ENTRIES_PER_S`] allows since the last call.
    pub fn take_changes(&mut self, now: Timestamp) -> Vec<InstanceLoad> {
        let room = self.take_room(now);
        if room == 0 {
            return Vec::new();
        }
        let Some(cursor) = self.cursor.take() else {
            return self.take_range(Bound::Unbounded, Bound::Unbounded, room, now);
        };
        let after = Bound::Excluded(cursor.clone());
        let mut changes = self.take_range(after, Bound::Unbounded, room, now);
        let room = room - changes.len();
        let until = Bound::Included(cursor);
        changes.extend(self.take_range(Bound::Unbounded, until, room, now));
        changes
    }

    /// Number of instances that may be sent now.
    fn take_room(&mut self, now: Timestamp) -> usize {
        let elapsed = now.since(self.last_taken_at).min(MAX_MESSAGE_INTERVAL);
        self.last_taken_at = now;
        (elapsed.as_secs_f64() * MAX_ENTRIES_PER_S) as usize
    }

    fn take_range(
        &mut self,
        from: Bound<RunnerId>,
        until: Bound<RunnerId>,
        room: usize,
        now: Timestamp,
    ) -> Vec<InstanceLoad> {
        let entries = self.entries.range_mut((from, until));
        let changes = entries.filter_map(|(instance, entry)| entry.take_change(instance, now));
        let changes: Vec<InstanceLoad> = changes.take(room).collect();
        if changes.len() == room && room > 0 {
            self.cursor = changes.last().map(|load| load.instance.clone());
        }
        changes
    }

    /// Present load and speed of all instances, in the order of identities.
    #[must_use]
    pub fn all(&self, now: Timestamp) -> Vec<InstanceLoad> {
        let entries = self.entries.iter();
        let loads = entries.map(|(instance, entry)| entry.load(instance, now));
        loads.collect()
    }

    /// Whether no instance reports its load.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn number_of(&mut self, router: &str) -> u32 {
        if let Some(number) = self.routers.get(router) {
            return *number;
        }
        self.last_number += 1;
        self.routers.insert(router.to_owned(), self.last_number);
        self.last_number
    }
}

fn is_plausible(sample: &LoadSample) -> bool {
    let report = sample.report.as_ref();
    report.is_none_or(|(report, _)| report.is_plausible())
}
