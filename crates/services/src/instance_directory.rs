//! The instances as a process knows them from its feed, in the parts in which feeds are
//! compared.
//!
//! Invariant: the digests are those of the views that are held. A process that takes over
//! what [`InstanceDirectory::change`] returns holds the same views.
//!
//! Cost: proportional to what changes; the digests of 10,000 instances are never computed
//! anew.

use crate::digest::{BUCKET_COUNT, InstanceDigests, bucket_of};
use crate::instance::InstanceView;
use crate::instance_index::InstanceIndex;
use courseshunt_types::RunnerId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// See the module.
#[derive(Debug, Clone)]
pub struct InstanceDirectory {
    views: BTreeMap<RunnerId, Arc<InstanceView>>,
    index: InstanceIndex,
    parts: Vec<BTreeSet<RunnerId>>,
    digests: InstanceDigests,
}

impl Default for InstanceDirectory {
    fn default() -> Self {
        Self {
            views: BTreeMap::new(),
            index: InstanceIndex::default(),
            parts: vec![BTreeSet::new(); BUCKET_COUNT],
            digests: InstanceDigests::default(),
        }
    }
}

/// What a follower has to be told.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InstanceChanges {
    /// New or changed.
    pub changed: Vec<InstanceView>,
    /// No longer there.
    pub gone: Vec<RunnerId>,
}

impl InstanceChanges {
    /// Whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.gone.is_empty()
    }
}

impl InstanceDirectory {
    /// Takes changes over; returns what followers lack. An instance that is gone is told
    /// also where it is not known here: a follower may know it from an earlier feed.
    pub fn change(&mut self, changed: Vec<InstanceView>, gone: Vec<RunnerId>) -> InstanceChanges {
        let mut news = Vec::with_capacity(changed.len());
        for view in changed {
            if self.put(&view) {
                news.push(view);
            }
        }
        for id in &gone {
            self.remove(id);
        }
        InstanceChanges {
            changed: news,
            gone,
        }
    }

    /// Takes the instances of a part over; where that is `complete`, others of it are gone.
    pub fn set_bucket(
        &mut self,
        part: usize,
        instances: Vec<InstanceView>,
        complete: bool,
    ) -> InstanceChanges {
        let gone = match self.parts.get(part) {
            Some(known) if complete => {
                let present: BTreeSet<&RunnerId> = instances.iter().map(|one| &one.id).collect();
                let gone = known.iter().filter(|id| !present.contains(id));
                gone.cloned().collect()
            }
            _ => Vec::new(),
        };
        self.change(instances, gone)
    }

    /// Takes over which instances are there; returns those that are no more.
    pub fn keep(&mut self, live: &[RunnerId]) -> Vec<RunnerId> {
        let live: BTreeSet<&RunnerId> = live.iter().collect();
        let known = self.views.keys();
        let gone: Vec<RunnerId> = known.filter(|id| !live.contains(id)).cloned().collect();
        for id in &gone {
            self.remove(id);
        }
        gone
    }

    /// Puts a view in; returns whether followers have to be told. The time that a load
    /// still takes differs each time that it is told.
    fn put(&mut self, view: &InstanceView) -> bool {
        if let Some(known) = self.views.get(&view.id) {
            if known.as_ref() == view && view.loading.is_empty() {
                return false;
            }
            self.digests.toggle(known);
            self.index.remove(known);
        } else {
            self.parts[bucket_of(&view.id)].insert(view.id.clone());
        }
        self.digests.toggle(view);
        let view = Arc::new(view.clone());
        self.index.insert(&view);
        self.views.insert(view.id.clone(), view);
        true
    }

    /// Drops an instance; returns whether it was known.
    pub fn remove(&mut self, id: &RunnerId) -> bool {
        let Some(view) = self.views.remove(id) else {
            return false;
        };
        self.digests.toggle(&view);
        self.index.remove(&view);
        self.parts[bucket_of(id)].remove(id);
        true
    }

    /// Digests of the views.
    #[must_use]
    pub fn digests(&self) -> &InstanceDigests {
        &self.digests
    }

    /// The views of one part.
    pub fn bucket(&self, part: usize) -> impl Iterator<Item = &InstanceView> {
        let ids = self.parts.get(part).into_iter().flatten();
        ids.filter_map(|id| self.get(id))
    }

    /// All instances of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &InstanceView> {
        self.index.of_service(service).iter().map(Arc::as_ref)
    }

    /// Instances of a service that a request for this model can go to, as far as the model
    /// goes; empty for a service without models.
    pub fn holders(&self, service: &str, model: &str) -> impl Iterator<Item = &InstanceView> {
        let views = match model.is_empty() {
            true => self.index.of_service(service),
            false => self.index.holders(service, model),
        };
        views.iter().map(Arc::as_ref)
    }

    /// Instances of a service that load a model.
    pub fn loaders(&self, service: &str, model: &str) -> impl Iterator<Item = &InstanceView> {
        self.index.loaders(service, model).iter().map(Arc::as_ref)
    }

    /// All views.
    pub fn values(&self) -> impl Iterator<Item = &InstanceView> {
        self.views.values().map(Arc::as_ref)
    }

    /// Identities of all instances.
    pub fn ids(&self) -> impl Iterator<Item = &RunnerId> {
        self.views.keys()
    }

    /// The view of an instance.
    #[must_use]
    pub fn get(&self, id: &RunnerId) -> Option<&InstanceView> {
        self.views.get(id).map(Arc::as_ref)
    }

    /// Whether an instance is known.
    #[must_use]
    pub fn contains(&self, id: &RunnerId) -> bool {
        self.views.contains_key(id)
    }

    /// Instances that are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.views.len()
    }

    /// Whether none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.views.is_empty()
    }
}
