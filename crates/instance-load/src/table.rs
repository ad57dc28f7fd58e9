//! The complete list of what a leader has sent of the load and speed of instances. A controller
//! keeps it for routers that subscribe later, since each message names only what has changed.
//!
//! Invariant: the age of a report includes the time since it was received here.

use crate::InstanceLoad;
use courseshunt_types::{RunnerId, Timestamp};
use std::collections::BTreeMap;

/// Load and speed of all instances, as last sent by the leader.
#[derive(Debug, Default)]
pub struct LoadTable {
    entries: BTreeMap<RunnerId, (InstanceLoad, Timestamp)>,
}

impl LoadTable {
    /// Applies a message of the leader.
    pub fn apply(&mut self, loads: &[InstanceLoad], now: Timestamp) {
        for load in loads {
            self.entries
                .insert(load.instance.clone(), (load.clone(), now));
        }
    }

    /// Removes the instances that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&RunnerId) -> bool) {
        self.entries.retain(|instance, _| exists(instance));
    }

    /// Removes all instances: a new leader sends its own values.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Whether there is nothing to send.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The complete list, with the present ages of the reports.
    #[must_use]
    pub fn all(&self, now: Timestamp) -> Vec<InstanceLoad> {
        let entries = self.entries.values();
        let loads = entries.map(|(load, received_at)| {
            let passed = now.since(*received_at);
            InstanceLoad {
                report: load.report.map(|(report, age)| (report, age + passed)),
                ..load.clone()
            }
        });
        loads.collect()
    }
}
