//! The instances of the leader, indexed by id, by address, and by the time at which an adapter of
//! theirs becomes ready.
//!
//! Invariant: both secondary indexes follow each change of an address or of adapters; such changes
//! go through [`InstanceTable::update`]. An entry of the index by time may be outdated; it is
//! dropped when its time comes.
//!
//! Cost: logarithmic in the number of instances for a look-up, a change, and the next ready
//! adapter, so that a new leader takes over 10,000 recorded instances in linear time.

use super::instance::Instance;
use courseshunt_types::{RunnerId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Table of instances; see the module.
#[derive(Debug, Default)]
pub(super) struct InstanceTable {
    by_id: BTreeMap<RunnerId, Instance>,
    by_address: BTreeMap<String, BTreeSet<RunnerId>>,
    becoming_ready: BTreeSet<(Timestamp, RunnerId)>,
}

impl InstanceTable {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = &RunnerId> {
        self.by_id.keys()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Instance> {
        self.by_id.values()
    }

    /// Must not change addresses or adapters.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Instance> {
        self.by_id.values_mut()
    }

    pub(super) fn contains(&self, id: &RunnerId) -> bool {
        self.by_id.contains_key(id)
    }

    pub(super) fn get(&self, id: &RunnerId) -> Option<&Instance> {
        self.by_id.get(id)
    }

    /// Must not change the address or adapters.
    pub(super) fn get_mut(&mut self, id: &RunnerId) -> Option<&mut Instance> {
        self.by_id.get_mut(id)
    }

    /// Instances that registered at this address.
    pub(super) fn at_address<'a>(&'a self, address: &str) -> impl Iterator<Item = &'a Instance> {
        let ids = self.by_address.get(address).into_iter().flatten();
        ids.filter_map(|id| self.by_id.get(id))
    }

    pub(super) fn insert(&mut self, instance: Instance, now: Timestamp) {
        let id = instance.id().clone();
        self.remove(&id);
        self.index_address(instance.address().to_owned(), id.clone());
        self.index_ready(&instance, now);
        self.by_id.insert(id, instance);
    }

    pub(super) fn remove(&mut self, id: &RunnerId) {
        if let Some(instance) = self.by_id.remove(id) {
            self.unindex_address(instance.address(), id);
        }
    }

    /// Applies any change to an instance and updates the indexes; `None` if there is no such
    /// instance.
    pub(super) fn update<T>(
        &mut self,
        id: &RunnerId,
        now: Timestamp,
        change: impl FnOnce(&mut Instance) -> T,
    ) -> Option<T> {
        let instance = self.by_id.get_mut(id)?;
        let before = instance.address().to_owned();
        let changed = change(instance);
        let address_changed = instance.address() != before;
        let after = instance.address().to_owned();
        let ready_at = instance.next_adapter_ready(now);
        if address_changed {
            self.unindex_address(&before, id);
            self.index_address(after, id.clone());
        }
        if let Some(at) = ready_at {
            self.becoming_ready.insert((at, id.clone()));
        }
        Some(changed)
    }

    /// Earliest time at which an adapter may become ready.
    pub(super) fn next_ready(&self) -> Option<Timestamp> {
        self.becoming_ready.first().map(|(at, _)| *at)
    }

    /// Instances of which an adapter has become ready since the last call.
    pub(super) fn take_ready(&mut self, now: Timestamp) -> Vec<RunnerId> {
        let mut ready = Vec::new();
        while let Some((at, id)) = self.becoming_ready.pop_first() {
            if at > now {
                self.becoming_ready.insert((at, id));
                break;
            }
            if let Some(next) = self
                .by_id
                .get(&id)
                .and_then(|one| one.next_adapter_ready(now))
            {
                self.becoming_ready.insert((next, id.clone()));
            }
            ready.push(id);
        }
        ready.retain(|id| self.by_id.contains_key(id));
        ready
    }

    fn index_ready(&mut self, instance: &Instance, now: Timestamp) {
        if let Some(at) = instance.next_adapter_ready(now) {
            self.becoming_ready.insert((at, instance.id().clone()));
        }
    }

    fn index_address(&mut self, address: String, id: RunnerId) {
        self.by_address.entry(address).or_default().insert(id);
    }

    fn unindex_address(&mut self, address: &str, id: &RunnerId) {
        if let Some(ids) = self.by_address.get_mut(address) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_address.remove(address);
            }
        }
    }
}
