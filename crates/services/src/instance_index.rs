//! Index of instances by service and model, so that selection visits only the instances that a
//! request can be sent to.
//!
//! Invariant: the index holds the same views as the [`crate::InstanceDirectory`] that it belongs to,
//! each list sorted by identity.
//!
//! Cost: a binary search in a sorted list for each model of a view that changes.

use crate::instance::InstanceView;
use std::collections::HashMap;
use std::sync::Arc;

/// Views sorted by identity.
type Sorted = Vec<Arc<InstanceView>>;

#[derive(Debug, Clone, Default)]
struct ServiceIndex {
    all: Sorted,
    holders: HashMap<String, Sorted>,
    loaders: HashMap<String, Sorted>,
}

/// Views by service and model. See the module documentation.
#[derive(Debug, Clone, Default)]
pub(crate) struct InstanceIndex {
    services: HashMap<String, ServiceIndex>,
}

impl InstanceIndex {
    pub(crate) fn insert(&mut self, view: &Arc<InstanceView>) {
        let service = self.services.entry(view.service.clone()).or_default();
        insert(&mut service.all, view);
        for model in &view.models {
            insert(
                service.holders.entry(model.name.0.clone()).or_default(),
                view,
            );
        }
        for (model, _) in &view.loading {
            insert(service.loaders.entry(model.0.clone()).or_default(), view);
        }
    }

    /// Removes a view that was inserted before.
    pub(crate) fn remove(&mut self, view: &InstanceView) {
        let Some(service) = self.services.get_mut(&view.service) else {
            return;
        };
        remove(&mut service.all, view);
        for model in &view.models {
            remove_from(&mut service.holders, model.name.as_str(), view);
        }
        for (model, _) in &view.loading {
            remove_from(&mut service.loaders, model.as_str(), view);
        }
        if service.all.is_empty() {
            self.services.remove(&view.service);
        }
    }

    /// All instances of a service.
    pub(crate) fn of_service(&self, service: &str) -> &[Arc<InstanceView>] {
        let service = self.services.get(service);
        service.map_or(&[], |service| &service.all)
    }

    /// Instances of a service that hold a model.
    pub(crate) fn holders(&self, service: &str, model: &str) -> &[Arc<InstanceView>] {
        let service = self.services.get(service);
        let holders = service.and_then(|service| service.holders.get(model));
        holders.map_or(&[], |holders| holders)
    }

    /// Instances of a service that are loading a model.
    pub(crate) fn loaders(&self, service: &str, model: &str) -> &[Arc<InstanceView>] {
        let service = self.services.get(service);
        let loaders = service.and_then(|service| service.loaders.get(model));
        loaders.map_or(&[], |loaders| loaders)
    }
}

fn insert(list: &mut Sorted, view: &Arc<InstanceView>) {
    match list.binary_search_by(|one| one.id.cmp(&view.id)) {
        Ok(position) => list[position] = view.clone(),
        Err(position) => list.insert(position, view.clone()),
    }
}

fn remove(list: &mut Sorted, view: &InstanceView) {
    if let Ok(position) = list.binary_search_by(|one| one.id.cmp(&view.id)) {
        list.remove(position);
    }
}

fn remove_from(lists: &mut HashMap<String, Sorted>, model: &str, view: &InstanceView) {
    let Some(list) = lists.get_mut(model) else {
        return;
    };
    remove(list, view);
    if list.is_empty() {
        lists.remove(model);
    }
}
