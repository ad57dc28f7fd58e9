//! Software versions of the instances of each service, as heartbeats contain them.
//!
//! Invariant: a service that [`SoftwareVersions::mixed_services`] leaves out is known to have run a
//! single version for [`ORIGIN_RETENTION`], as far as instances and streams of that time have been
//! reported here. An instance whose version is not known counts as one of another version.
//!
//! Cost: a heartbeat is logarithmic in the instances; a list of services is linear in them and is
//! needed only after [`SoftwareVersions::take_changed`].

use super::{InstanceVersion, ORIGIN_RETENTION, ServiceVersions, StreamWriter};
use courseshunt_types::{RunnerId, SoftwareVersion, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of instances; beyond it, those that were heard longest ago are removed.
const MAX_INSTANCES: usize = 32_768;

/// The versions of the instances that were heard within [`ORIGIN_RETENTION`].
#[derive(Debug, Default)]
pub struct SoftwareVersions {
    instances: BTreeMap<RunnerId, Entry>,
    by_age: BTreeSet<(Timestamp, RunnerId)>,
    /// Instances with [`Entry::replaced_at`], by that time.
    replaced: BTreeSet<(Timestamp, RunnerId)>,
    /// Services that may have run versions that were not heard here: from the leader's list (`None`), or
    /// counted as mixed by this member, which leads, since this time.
    listed: BTreeMap<String, Option<Timestamp>>,
    /// Services whose routes were altered, and when: another service may have begun their streams.
    altered: BTreeMap<String, Timestamp>,
    /// Whether `listed` names all services that may have run versions that were not heard here.
    knows_past: bool,
    is_changed: bool,
}

#[derive(Debug)]
struct Entry {
    service: String,
    /// `None` while no heartbeat with a version has arrived here.
    version: Option<SoftwareVersion>,
    noted_at: Timestamp,
    /// When a heartbeat last replaced another version, or service, of the same identity.
    replaced_at: Option<Timestamp>,
}

impl SoftwareVersions {
    /// Notes an instance's heartbeat: the newest one replaces the version of an earlier one. A
    /// heartbeat without a version replaces it too.
    pub fn note(
        &mut self,
        service: &str,
        instance: &RunnerId,
        version: Option<&SoftwareVersion>,
        now: Timestamp,
    ) {
        self.expire(now);
        let Some(entry) = self.instances.get(instance) else {
            self.insert(service, instance, version, now);
            return;
        };
        if entry.service != service || entry.version.as_ref() != version {
            self.replace(service, instance, version, now);
        }
        self.refresh(instance, now);
    }

    /// Notes that an instance registered without a change; its version is the last one noted.
    pub fn refresh(&mut self, instance: &RunnerId, now: Timestamp) {
        if let Some(entry) = self.instances.get_mut(instance) {
            self.by_age.remove(&(entry.noted_at, instance.clone()));
            self.by_age.insert((now, instance.clone()));
            entry.noted_at = now;
        }
    }

    /// Notes that an instance exists, or existed when a stream began; changes nothing if it has
    /// been noted within the retention. Its version is not known until its heartbeat is noted.
    pub fn note_unknown_version(&mut self, service: &str, instance: &RunnerId, now: Timestamp) {
        if !self.instances.contains_key(instance) {
            self.note(service, instance, None, now);
        }
    }

    /// Notes the versions that another controller received in heartbeats.
    pub fn note_all(&mut self, services: &[ServiceVersions], now: Timestamp) {
        for (service, one) in all_instances(services) {
            self.note(service, &one.instance, Some(&one.version), now);
        }
    }

    /// Notes the list that the leader feeds; it replaces the one before. Of instances it changes
    /// only what is not known here: the list also names some that were heard some time ago.
    pub fn note_list(&mut self, services: &[ServiceVersions], now: Timestamp) {
        let listed = services.iter().map(|one| (one.service.clone(), None));
        self.listed = listed.collect();
        self.knows_past = true;
        for (service, one) in all_instances(services) {
            if self.version_of(&one.instance).is_none() {
                self.note(service, &one.instance, Some(&one.version), now);
            }
        }
    }

    /// Notes that this member leads from now on: the services in the list of the previous leader
    /// count as mixed for the retention.
    pub fn lead(&mut self, now: Timestamp) {
        for since in self.listed.values_mut() {
            *since = Some(now);
        }
        self.is_changed = true;
    }

    /// Notes that a route was moved to or from a service, or that its split ended.
    pub fn note_altered(&mut self, service: &str, at: Timestamp) {
        self.is_changed |= self.altered.insert(service.to_owned(), at).is_none();
    }

    /// Notes that another member leads, whose list is still due: what it knows is not known here.
    pub fn note_new_leader(&mut self) {
        self.knows_past = false;
    }

    /// Notes that no stream began before this member led.
    pub fn note_no_earlier_streams(&mut self) {
        self.knows_past = true;
    }

    /// Whether this member can name the services that may have run versions that it did not hear.
    #[must_use]
    pub fn knows_past(&self) -> bool {
        self.knows_past
    }

    /// Counts these services as mixed for the retention: all that may have run versions that this
    /// member, which leads, did not hear.
    pub fn count_as_mixed(&mut self, services: Vec<String>, now: Timestamp) {
        let suspected = services.into_iter().map(|service| (service, Some(now)));
        self.listed.extend(suspected);
        self.knows_past = true;
        self.is_changed = true;
    }

    /// Removes what is older than [`ORIGIN_RETENTION`].
    pub fn expire(&mut self, now: Timestamp) {
        let listed = self.listed.len();
        self.listed
            .retain(|_, since| since.is_none_or(|since| now.since(since) < ORIGIN_RETENTION));
        self.is_changed |= self.listed.len() != listed;
        let altered = self.altered.len();
        self.altered
            .retain(|_, at| now.since(*at) < ORIGIN_RETENTION);
        self.is_changed |= self.altered.len() != altered;
        while let Some((at, instance)) = self.replaced.first()
            && now.since(*at) >= ORIGIN_RETENTION
        {
            if let Some(entry) = self.instances.get_mut(instance) {
                entry.replaced_at = None;
            }
            self.replaced.pop_first();
            self.is_changed = true;
        }
        while let Some((at, _)) = self.by_age.first()
            && now.since(*at) >= ORIGIN_RETENTION
        {
            self.remove_oldest();
        }
    }

    /// Whether the list of [`Self::mixed_services`] may have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// Services whose instances within the retention are not known to run a single version, or whose
    /// routes were altered within it, in the order of their names, with the instances whose versions are
    /// known.
    #[must_use]
    pub fn mixed_services(&self) -> Vec<ServiceVersions> {
        let listed = self.listed.keys().chain(self.altered.keys());
        let listed = listed.map(|name| (name.as_str(), Vec::new()));
        let mut services: BTreeMap<&str, Vec<(&RunnerId, &Entry)>> = listed.collect();
        for (instance, entry) in &self.instances {
            let instances = services.entry(&entry.service).or_default();
            instances.push((instance, entry));
        }
        let mixed = services.into_iter();
        let is_listed =
            |name: &str| self.listed.contains_key(name) || self.altered.contains_key(name);
        let mixed = mixed.filter(|(name, instances)| is_listed(name) || is_mixed(instances));
        let mixed = mixed.map(|(service, instances)| ServiceVersions {
            service: service.to_owned(),
            instances: instances.into_iter().filter_map(with_version).collect(),
        });
        mixed.collect()
    }

    /// The service and version of an instance, if they are known and were the same throughout the
    /// retention: a stream may have begun under each version of that time.
    #[must_use]
    pub fn writer(&self, instance: &RunnerId) -> Option<StreamWriter> {
        let entry = self.instances.get(instance)?;
        if entry.replaced_at.is_some() {
            return None;
        }
        Some(StreamWriter {
            service: entry.service.clone(),
            version: entry.version.clone()?,
        })
    }

    /// Whether an instance is kept whose version is not known.
    #[must_use]
    pub fn has_unknown_version(&self, instance: &RunnerId) -> bool {
        let entry = self.instances.get(instance);
        entry.is_some_and(|entry| entry.version.is_none())
    }

    /// Number of instances that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether no instance is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    fn version_of(&self, instance: &RunnerId) -> Option<&SoftwareVersion> {
        self.instances.get(instance)?.version.as_ref()
    }

    fn insert(
        &mut self,
        service: &str,
        instance: &RunnerId,
        version: Option<&SoftwareVersion>,
        now: Timestamp,
    ) {
        let entry = Entry {
            service: service.to_owned(),
            version: version.cloned(),
            noted_at: now,
            replaced_at: None,
        };
        self.instances.insert(instance.clone(), entry);
        self.by_age.insert((now, instance.clone()));
        self.is_changed = true;
        if self.instances.len() > MAX_INSTANCES {
            self.remove_oldest();
        }
    }

    /// Replaces the service and version of a known instance. The first version that is heard
    /// replaces no other one.
    fn replace(
        &mut self,
        service: &str,
        instance: &RunnerId,
        version: Option<&SoftwareVersion>,
        now: Timestamp,
    ) {
        let Some(entry) = self.instances.get_mut(instance) else {
            return;
        };
        let is_first = entry.version.is_none() && entry.service == service;
        if !is_first {
            if let Some(at) = entry.replaced_at.replace(now) {
                self.replaced.remove(&(at, instance.clone()));
            }
            self.replaced.insert((now, instance.clone()));
        }
        service.clone_into(&mut entry.service);
        entry.version = version.cloned();
        self.is_changed = true;
    }

    fn remove_oldest(&mut self) {
        let Some((_, instance)) = self.by_age.pop_first() else {
            return;
        };
        let entry = self.instances.remove(&instance);
        if let Some(at) = entry.and_then(|entry| entry.replaced_at) {
            self.replaced.remove(&(at, instance));
        }
        self.is_changed = true;
    }
}

fn all_instances(services: &[ServiceVersions]) -> impl Iterator<Item = (&str, &InstanceVersion)> {
    let services = services.iter();
    services.flat_map(|one| {
        let instances = one.instances.iter();
        instances.map(|instance| (one.service.as_str(), instance))
    })
}

/// Whether instances of a service are not known to have run a single version.
fn is_mixed(instances: &[(&RunnerId, &Entry)]) -> bool {
    let mut versions = instances.iter().map(|(_, entry)| entry.version.as_ref());
    let first = versions.next().flatten();
    let differs = versions.any(|version| version.is_none() || version != first);
    differs
        || instances
            .iter()
            .any(|(_, entry)| entry.replaced_at.is_some())
}

fn with_version((instance, entry): (&RunnerId, &Entry)) -> Option<InstanceVersion> {
    let version = entry.version.clone()?;
    Some(InstanceVersion {
        instance: instance.clone(),
        version,
    })
}
