//! The instances that the feed lists.
//!
//! Invariant: state derived from the instances is updated under the same lock as they are.

use super::{ProbeTarget, View};
use crate::software_versions::RequiredWriter;
use courseshunt_services::instance_directory::InstanceChanges;
use courseshunt_services::{InstanceDigests, InstanceState, InstanceView, Service};
use courseshunt_types::RunnerId;

impl View {
    /// Applies changed and removed instances; returns the removed ones that were known.
    pub(crate) fn set_instances(
        &self,
        changed: Vec<InstanceView>,
        mut gone: Vec<RunnerId>,
    ) -> Vec<RunnerId> {
        let mut state = self.lock();
        gone.retain(|id| state.instances.contains(id));
        state.note_new_instances(&changed);
        let changes = state.instances.change(changed, gone);
        state.apply_changes(&changes);
        drop(state);
        self.notify_change();
        changes.gone
    }

    /// Replaces the instances of one bucket of the instance set; returns those that no longer
    /// exist.
    pub(crate) fn set_bucket(
        &self,
        bucket: u32,
        instances: Vec<InstanceView>,
        complete: bool,
    ) -> Vec<RunnerId> {
        let bucket = usize::try_from(bucket).unwrap_or(usize::MAX);
        let mut state = self.lock();
        state.note_new_instances(&instances);
        let changes = state.instances.set_bucket(bucket, instances, complete);
        state.apply_changes(&changes);
        drop(state);
        self.notify_change();
        changes.gone
    }

    /// Removes all instances except for `live`; returns the removed ones.
    pub(crate) fn retain_instances(&self, live: &[RunnerId]) -> Vec<RunnerId> {
        let mut state = self.lock();
        let changes = InstanceChanges {
            changed: Vec::new(),
            gone: state.instances.keep(live),
        };
        state.apply_changes(&changes);
        drop(state);
        self.notify_change();
        changes.gone
    }

    /// Digests of the known instances, by bucket.
    pub(crate) fn digests(&self) -> InstanceDigests {
        self.lock().instances.digests().clone()
    }

    /// Whether the service has any instance that may serve a request which needs this writer.
    pub(crate) fn has_instances(&self, service: &Service, writer: Option<&RequiredWriter>) -> bool {
        let eligibility = self.eligibility(writer, self.clock.now());
        let state = self.lock();
        let mut instances = state.instances.of_service(&service.name);
        instances.any(|view| state.is_eligible(view, &eligibility))
    }

    /// Whether the feed lists the instance.
    pub(crate) fn has_instance(&self, instance: &RunnerId) -> bool {
        self.lock().instances.listed(instance).is_some()
    }

    /// An instance that the feed lists.
    pub(crate) fn instance(&self, instance: &RunnerId) -> Option<InstanceView> {
        self.lock().instances.listed(instance).cloned()
    }

    /// Whether the feed lists this instance as one that takes requests.
    pub(crate) fn is_ready_instance(&self, instance: &RunnerId) -> bool {
        let state = self.lock();
        let listed = state.instances.listed(instance);
        listed.is_some_and(|listed| listed.state == InstanceState::Ready)
    }

    /// Some instance of a service that the feed lists; `draw` varies which.
    pub(crate) fn any_instance(&self, service: &str, draw: u64) -> Option<RunnerId> {
        let state = self.lock();
        let count = state.instances.of_service(service).count();
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        let position = usize::try_from(draw.checked_rem(count)?).ok()?;
        let instance = state.instances.of_service(service).nth(position)?;
        Some(instance.id.clone())
    }

    /// Address and health path of an instance that the feed lists.
    pub(crate) fn probe_target(&self, instance: &RunnerId) -> Option<ProbeTarget> {
        let state = self.lock();
        let view = state.instances.listed(instance)?;
        let table = state.table.as_ref();
        let service = table.and_then(|table| table.service(&view.service));
        Some(ProbeTarget {
            view: view.clone(),
            health_path: service.and_then(|service| service.health_path.clone()),
        })
    }
}
