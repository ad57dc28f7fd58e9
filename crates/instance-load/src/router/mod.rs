//! What a router knows of the load and speed of instances: from their responses to its own
//! requests, and from the leader.
//!
//! Invariant: instances that have never reported a complete load have no condition, and nothing is
//! sent about them.
//!
//! Memory: one entry for each instance that the leader names or that this router has sent requests
//! to; below 400 bytes each, with its identity.

mod entry;

use crate::{InstanceCondition, InstanceLoad, LoadReport, LoadSample};
use courseshunt_types::{RunnerId, Timestamp};
use entry::Entry;
use std::collections::HashMap;

/// Load and speed of instances at one router. See the module documentation.
#[derive(Debug)]
pub struct RouterLoads {
    entries: HashMap<RunnerId, Entry>,
    /// Since when there is no leader; [`Timestamp::NEVER`] while its feed is received.
    leader_lost_at: Timestamp,
}

impl Default for RouterLoads {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            leader_lost_at: Timestamp::NEVER,
        }
    }
}

impl RouterLoads {
    /// Present condition of an instance; `None` unless it has sent a complete report that is still
    /// usable.
    #[must_use]
    pub fn condition(&self, instance: &RunnerId, now: Timestamp) -> Option<InstanceCondition> {
        let entry = self.entries.get(instance)?;
        entry.condition(self.leader_lost_at, now)
    }

    /// Present duration of work at an instance relative to the usual one; 1 without a condition.
    #[must_use]
    pub fn work_factor(&self, instance: &RunnerId, now: Timestamp) -> f64 {
        let entry = self.entries.get(instance);
        entry.map_or(1.0, |entry| entry.work_factor(now))
    }

    /// Number of instances with a condition.
    #[must_use]
    pub fn count(&self, now: Timestamp) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.has_usable_report(now)).count()
    }

    /// Records the report in a response that has just arrived.
    pub fn record_report(&mut self, instance: &RunnerId, report: LoadReport, now: Timestamp) {
        if report.is_plausible() {
            self.entry(instance).record_report(report, now);
        }
    }

    /// Records the ratio of a measured time to the first event to the time predicted at usual
    /// speed and with the usual duration of work. Ignored for an instance without a condition.
    pub fn record_slowness(&mut self, instance: &RunnerId, ratio: f64, now: Timestamp) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.record_slowness(ratio, now);
        }
    }

    /// Counts the prompt and output tokens of a request that is in flight from now on.
    pub fn add_held_tokens(&mut self, instance: &RunnerId, tokens: u32) {
        self.entry(instance).add_held_tokens(tokens);
    }

    /// Removes the tokens of a request that is no longer in flight.
    pub fn remove_held_tokens(&mut self, instance: &RunnerId, tokens: u32) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.remove_held_tokens(tokens);
        }
    }

    /// Applies a message of the leader; an instance that is left out is unchanged.
    pub fn apply(&mut self, loads: &[InstanceLoad], now: Timestamp) {
        for load in loads {
            self.entry(&load.instance).apply(load, now);
        }
    }

    /// Records that there is no leader: from now on, what the last one sent loses weight.
    pub fn lose_leader(&mut self, now: Timestamp) {
        self.leader_lost_at = self.leader_lost_at.min(now);
    }

    /// Records that the feed of a leader starts, to which nothing has been reported. What an
    /// earlier leader sent loses weight until this one sends its own values.
    pub fn start_leader_feed(&mut self, now: Timestamp) {
        let outdated_since = self.leader_lost_at.min(now);
        self.leader_lost_at = Timestamp::NEVER;
        for entry in self.entries.values_mut() {
            entry.start_leader_feed(outdated_since);
        }
    }

    /// The samples that are not sent to the leader yet, in the order of identities; empty if nothing has
    /// changed noticeably.
    pub fn take_samples(&mut self, now: Timestamp) -> Vec<LoadSample> {
        let entries = self.entries.iter_mut();
        let samples = entries.filter_map(|(instance, entry)| entry.take_sample(instance, now));
        let mut samples: Vec<LoadSample> = samples.collect();
        samples.sort_by(|left, right| left.instance.cmp(&right.instance));
        samples
    }

    /// Removes the instances that no longer exist, unless requests are in flight there.
    pub fn retain(&mut self, exists: impl Fn(&RunnerId) -> bool) {
        self.entries
            .retain(|instance, entry| entry.has_requests() || exists(instance));
    }

    fn entry(&mut self, instance: &RunnerId) -> &mut Entry {
        self.entries.entry(instance.clone()).or_default()
    }
}
