//! Changes of instances that a leader has not yet recorded in the log for later leaders. Pure.
//!
//! Invariant: a change stays here until it was recorded, or until a newer change of the same instance
//! has taken its place.

use courseshunt_services::InstanceView;
use courseshunt_types::RunnerId;
use std::collections::BTreeMap;

/// Instances in one log entry: tens of kilobytes, which a follower applies between two
/// heartbeats.
const BATCH_INSTANCES: usize = 256;

/// Changes of instances that one log entry records.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct InstanceChanges {
    /// New or changed instances.
    pub changed: Vec<InstanceView>,
    /// Instances that are gone.
    pub gone: Vec<RunnerId>,
}

impl InstanceChanges {
    fn of(pending: &[(RunnerId, Option<InstanceView>)]) -> Self {
        let changed = pending.iter().filter_map(|(_, view)| view.clone());
        let gone = pending.iter().filter(|(_, view)| view.is_none());
        Self {
            changed: changed.collect(),
            gone: gone.map(|(id, _)| id.clone()).collect(),
        }
    }
}

/// See the module.
#[derive(Debug, Default)]
pub struct UnrecordedInstances {
    /// The newest view of each changed instance; `None` if it is gone.
    pending: BTreeMap<RunnerId, Option<InstanceView>>,
}

impl UnrecordedInstances {
    /// Adds changes; the newest one of an instance counts.
    pub fn note(&mut self, changed: &[InstanceView], gone: &[RunnerId]) {
        for view in changed {
            self.pending.insert(view.id.clone(), Some(view.clone()));
        }
        for id in gone {
            self.pending.insert(id.clone(), None);
        }
    }

    /// Whether there is nothing to record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes all changes, as those of one log entry each.
    pub fn take_batches(&mut self) -> Vec<InstanceChanges> {
        let pending: Vec<_> = std::mem::take(&mut self.pending).into_iter().collect();
        let batches = pending.chunks(BATCH_INSTANCES);
        batches.map(InstanceChanges::of).collect()
    }

    /// Puts changes back that were not recorded, or of which this is not certain.
    pub fn put_back(&mut self, batch: InstanceChanges) {
        for view in batch.changed {
            self.pending.entry(view.id.clone()).or_insert(Some(view));
        }
        for id in batch.gone {
            self.pending.entry(id).or_insert(None);
        }
    }
}
