//! The service configuration in force, and the instances that accept no new work.
//!
//! Invariant: the number of the stored document never decreases, and the
//! document stored under a number never changes.

use courseshunt_services::{InstanceView, QuarantinedContent};
use courseshunt_types::{ControllerId, RunnerId};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of leaving instances that are kept; the oldest are dropped first.
const MAX_LEAVING: usize = 1024;

/// An instance that accepts no new work.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LeavingInstance {
    /// The instance.
    pub instance: RunnerId,
    /// Whether it has reported that it terminates.
    pub ended: bool,
}

/// The service configuration, and what is recorded about instances and requests.
#[derive(Debug, Clone, PartialEq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Services {
    /// The operator's number of the document; 0 before the first one.
    pub number: u64,
    /// The document as the operator sent it.
    pub document: Vec<u8>,
    /// Instances that accept no new work, in the order of their notices.
    pub leaving: VecDeque<LeavingInstance>,
    /// Increases with each recorded notice of a leaving instance.
    pub leaving_version: u64,
    /// Instances as last recorded by a leader; a hint for its successor.
    pub instances: BTreeMap<RunnerId, InstanceView>,
    /// The only member that may have sent orders to instances since this was
    /// recorded; `None` before the very first order.
    pub orders_holder: Option<ControllerId>,
    /// Quarantined request contents, which are not sent to any instance.
    pub quarantined: Vec<QuarantinedContent>,
}

impl Services {
    /// Stores a document if its number is higher than that of the stored one.
    pub fn put(&mut self, number: u64, document: &[u8]) {
        if number > self.number {
            self.number = number;
            self.document = document.to_vec();
        }
    }

    /// Records that an instance accepts no new work.
    pub fn record_leaving(&mut self, instance: &RunnerId, ended: bool) {
        self.leaving_version += 1;
        let mut recorded = self.leaving.iter_mut();
        if let Some(found) = recorded.find(|one| one.instance == *instance) {
            found.ended |= ended;
            return;
        }
        if self.leaving.len() >= MAX_LEAVING {
            self.leaving.pop_front();
        }
        self.leaving.push_back(LeavingInstance {
            instance: instance.clone(),
            ended,
        });
    }

    /// Records the leader's view of instances: new or changed ones, and those gone.
    pub fn record_instances(&mut self, changed: &[InstanceView], gone: &[RunnerId]) {
        for view in changed {
            self.instances.insert(view.id.clone(), view.clone());
        }
        for id in gone {
            self.instances.remove(id);
        }
    }

    /// Whether it is recorded that an instance accepts no new work or, with
    /// `ended`, that it terminates.
    #[must_use]
    pub fn is_recorded(&self, instance: &RunnerId, ended: bool) -> bool {
        let mut recorded = self.leaving.iter();
        recorded.any(|one| one.instance == *instance && (one.ended || !ended))
    }
}
