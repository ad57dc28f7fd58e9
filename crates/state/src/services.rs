//! The service configuration in force, and instances that take no more work.
//!
//! Invariant: the held number never falls, and the content under a number
//! never changes once it is held.

use courseshunt_services::{InstanceView, QuarantinedContent};
use courseshunt_types::{ControllerId, RunnerId};
use std::collections::{BTreeMap, VecDeque};

/// Leaving instances remembered at the most; the oldest are forgotten first.
const MAX_LEAVING: usize = 1024;

/// An instance that takes no more work.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LeavingInstance {
    /// The instance.
    pub instance: RunnerId,
    /// Whether it has said that it ends.
    pub ended: bool,
}

/// See the module.
#[derive(Debug, Clone, PartialEq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Services {
    /// The operator's number; 0 before the first document.
    pub number: u64,
    /// The document, in the operator's form.
    pub document: Vec<u8>,
    /// Instances that take no more work, in the order in which they said so.
    pub leaving: VecDeque<LeavingInstance>,
    /// Grows with each change of `leaving`.
    pub leaving_version: u64,
    /// Instances as the leader saw them last; a hint for its successor.
    pub instances: BTreeMap<RunnerId, InstanceView>,
    /// The only member that may have given orders to instances since this was
    /// recorded; `None` before the first order of all.
    pub orders_holder: Option<ControllerId>,
    /// Contents of requests that are sent to no instance.
    pub quarantined: Vec<QuarantinedContent>,
}

impl Services {
    /// Takes a document over if its number is above the held one's.
    pub fn put(&mut self, number: u64, document: &[u8]) {
        if number > self.number {
            self.number = number;
            self.document = document.to_vec();
        }
    }

    /// Records that an instance takes no more work.
    pub fn record_leaving(&mut self, instance: &RunnerId, ended: bool) {
        self.leaving_version += 1;
        let mut known = self.leaving.iter_mut();
        if let Some(found) = known.find(|one| one.instance == *instance) {
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

    /// Records instances as the leader sees them.
    pub fn record_instances(&mut self, changed: &[InstanceView], gone: &[RunnerId]) {
        for view in changed {
            self.instances.insert(view.id.clone(), view.clone());
        }
        for id in gone {
            self.instances.remove(id);
        }
    }

    /// Whether an instance has said that it takes no more work, or ends.
    #[must_use]
    pub fn is_recorded(&self, instance: &RunnerId, ended: bool) -> bool {
        let mut known = self.leaving.iter();
        known.any(|one| one.instance == *instance && (one.ended || !ended))
    }
}
