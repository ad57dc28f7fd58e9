//! The instances that a process has received from its feed, divided into the buckets in which
//! directories are compared.
//!
//! Invariant: the digests are those of the held views. A follower that applies the result of
//! [`InstanceDirectory::change`] holds the same views. An instance is not held both with and without its
//! start time: leaders of two releases name it differently, and the name that came last replaces the
//! other.
//!
//! Cost: proportional to the number of changed views; the digests of 10,000 instances are never
//! recomputed as a whole.

use crate::digest::{BUCKET_COUNT, InstanceDigests, bucket_of};
use crate::instance::InstanceView;
use crate::instance_index::InstanceIndex;
use courseshunt_types::RunnerId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Instance views by identity, with their digests and indices.
#[derive(Debug, Clone)]
pub struct InstanceDirectory {
    views: BTreeMap<RunnerId, Arc<InstanceView>>,
    index: InstanceIndex,
    buckets: Vec<BTreeSet<RunnerId>>,
    digests: InstanceDigests,
}

impl Default for InstanceDirectory {
    fn default() -> Self {
        Self {
            views: BTreeMap::new(),
            index: InstanceIndex::default(),
            buckets: vec![BTreeSet::new(); BUCKET_COUNT],
            digests: InstanceDigests::default(),
        }
    }
}

/// Changes to send to a follower.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InstanceChanges {
    /// New or changed instances.
    pub changed: Vec<InstanceView>,
    /// Removed instances.
    pub gone: Vec<RunnerId>,
}

impl InstanceChanges {
    /// Whether there is nothing to send.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.gone.is_empty()
    }
}

impl InstanceDirectory {
    /// Applies changes; returns those that followers need. A removed instance is returned even
    /// if it is not held here, since a follower may hold it from an earlier feed. Of an instance's
    /// identities with and without a start time, the one that came last takes the place of the other:
    /// a leader of the previous release feeds instances by their names.
    pub fn change(
        &mut self,
        changed: Vec<InstanceView>,
        mut gone: Vec<RunnerId>,
    ) -> InstanceChanges {
        let mut updated = Vec::with_capacity(changed.len());
        for view in changed {
            if let Some(other) = self.other_identity(&view.id) {
                self.remove(&other);
                gone.push(other);
            }
            if self.put(&view) {
                updated.push(view);
            }
        }
        for id in &gone {
            self.remove(id);
        }
        InstanceChanges {
            changed: updated,
            gone,
        }
    }

    /// Applies the instances of a bucket; if they are `complete`, other instances of the bucket
    /// are removed. Returns the changes that followers need.
    pub fn set_bucket(
        &mut self,
        bucket: usize,
        instances: Vec<InstanceView>,
        complete: bool,
    ) -> InstanceChanges {
        let gone = match self.buckets.get(bucket) {
            Some(held) if complete => {
                let present: BTreeSet<&RunnerId> = instances.iter().map(|one| &one.id).collect();
                let gone = held.iter().filter(|id| !present.contains(id));
                gone.cloned().collect()
            }
            _ => Vec::new(),
        };
        self.change(instances, gone)
    }

    /// Removes all instances that are not in `live`; returns the removed ones.
    pub fn keep(&mut self, live: &[RunnerId]) -> Vec<RunnerId> {
        let live: BTreeSet<&RunnerId> = live.iter().collect();
        let held = self.views.keys();
        let gone: Vec<RunnerId> = held.filter(|id| !live.contains(id)).cloned().collect();
        for id in &gone {
            self.remove(id);
        }
        gone
    }

    /// Inserts a view; returns whether it has to be sent to followers. A view with a load in
    /// progress always is, since the remaining load time differs in each message.
    fn put(&mut self, view: &InstanceView) -> bool {
        if let Some(held) = self.views.get(&view.id) {
            if held.as_ref() == view && view.loading.is_empty() {
                return false;
            }
            self.digests.toggle(held);
            self.index.remove(held);
        } else {
            self.buckets[bucket_of(&view.id)].insert(view.id.clone());
        }
        self.digests.toggle(view);
        let view = Arc::new(view.clone());
        self.index.insert(&view);
        self.views.insert(view.id.clone(), view);
        true
    }

    /// Removes an instance; returns whether it was held.
    pub fn remove(&mut self, id: &RunnerId) -> bool {
        let Some(view) = self.views.remove(id) else {
            return false;
        };
        self.digests.toggle(&view);
        self.index.remove(&view);
        self.buckets[bucket_of(id)].remove(id);
        true
    }

    /// Digests of the held views.
    #[must_use]
    pub fn digests(&self) -> &InstanceDigests {
        &self.digests
    }

    /// Views of the instances in one bucket.
    pub fn bucket(&self, bucket: usize) -> impl Iterator<Item = &InstanceView> {
        let ids = self.buckets.get(bucket).into_iter().flatten();
        ids.filter_map(|id| self.get(id))
    }

    /// All instances of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &InstanceView> {
        self.index.of_service(service).iter().map(Arc::as_ref)
    }

    /// Instances of a service that accept requests for a model. An empty `model` means a service
    /// without models and gives all its instances.
    pub fn holders(&self, service: &str, model: &str) -> impl Iterator<Item = &InstanceView> {
        let views = match model.is_empty() {
            true => self.index.of_service(service),
            false => self.index.holders(service, model),
        };
        views.iter().map(Arc::as_ref)
    }

    /// Instances of a service that are loading a model.
    pub fn loaders(&self, service: &str, model: &str) -> impl Iterator<Item = &InstanceView> {
        self.index.loaders(service, model).iter().map(Arc::as_ref)
    }

    /// Views of all instances.
    pub fn values(&self) -> impl Iterator<Item = &InstanceView> {
        self.views.values().map(Arc::as_ref)
    }

    /// Identities of all instances.
    pub fn ids(&self) -> impl Iterator<Item = &RunnerId> {
        self.views.keys()
    }

    /// View of an instance.
    #[must_use]
    pub fn get(&self, id: &RunnerId) -> Option<&InstanceView> {
        self.views.get(id).map(Arc::as_ref)
    }

    /// View of an instance under its present identity. Leaders of the previous release feed it by its
    /// name, later ones with its start time.
    #[must_use]
    pub fn listed(&self, id: &RunnerId) -> Option<&InstanceView> {
        match id.started() {
            Some(_) => self.get(id),
            None => self.newest_incarnation(id),
        }
    }

    /// View of the incarnation that started last of the instance that `id` names, with or without a
    /// start time.
    #[must_use]
    pub fn newest_incarnation(&self, id: &RunnerId) -> Option<&InstanceView> {
        let from = RunnerId::from(id.name());
        let named = self.views.range(from..);
        let named = named.take_while(|(held, _)| held.name() == id.name());
        let newest = named.max_by_key(|(held, _)| held.started());
        newest.map(|(_, view)| view.as_ref())
    }

    /// The identity under which an instance is held that `id` names with its start time and this one
    /// without, or the other way round.
    fn other_identity(&self, id: &RunnerId) -> Option<RunnerId> {
        let other = match id.started() {
            Some(_) => self.get(&RunnerId::from(id.name())),
            None => self.newest_incarnation(id),
        };
        let other = other.map(|view| view.id.clone());
        other.filter(|other| other.started().is_some() != id.started().is_some())
    }

    /// Whether an instance is held.
    #[must_use]
    pub fn contains(&self, id: &RunnerId) -> bool {
        self.views.contains_key(id)
    }

    /// Number of instances.
    #[must_use]
    pub fn len(&self) -> usize {
        self.views.len()
    }

    /// Whether there are no instances.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.views.is_empty()
    }
}
