//! The software versions that a controller received in heartbeats and relays to the leader.
//!
//! Invariant: the leader is sent each version before a registration of its instance, and again at
//! least every [`REFRESH_INTERVAL`] while the instance registers here, so that the time at which
//! the leader last heard of it is too early by at most that interval.

use super::{InstanceVersion, ORIGIN_RETENTION, ServiceVersions};
use courseshunt_types::{Millis, RunnerId, SoftwareVersion, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Interval in which an unchanged version is sent again while its instance registers.
const REFRESH_INTERVAL: Millis = Millis(20_000);
/// Maximum number of instances; beyond it, those that were heard longest ago are removed.
const MAX_INSTANCES: usize = 32_768;
/// Maximum number of instances in one message.
const MAX_BATCH: usize = 1_024;

/// The versions that were received here, and those that the leader has yet to be sent.
#[derive(Debug, Default)]
pub struct VersionOutbox {
    instances: BTreeMap<RunnerId, Heard>,
    by_age: BTreeSet<(Timestamp, RunnerId)>,
    queue: BTreeSet<RunnerId>,
}

#[derive(Debug)]
struct Heard {
    service: String,
    version: SoftwareVersion,
    noted_at: Timestamp,
    /// When the current leader was last sent it.
    sent_at: Option<Timestamp>,
}

impl VersionOutbox {
    /// Notes the version in an instance's heartbeat, and queues it if it is new, has changed or is
    /// to be refreshed.
    pub fn note(
        &mut self,
        service: &str,
        instance: &RunnerId,
        version: &SoftwareVersion,
        now: Timestamp,
    ) {
        let earlier = self.instances.remove(instance);
        if let Some(earlier) = &earlier {
            self.by_age.remove(&(earlier.noted_at, instance.clone()));
        }
        let unchanged = earlier.filter(|one| one.service == service && one.version == *version);
        let sent_at = unchanged.and_then(|one| one.sent_at);
        if sent_at.is_none_or(|at| now.since(at) >= REFRESH_INTERVAL) {
            self.queue.insert(instance.clone());
        }
        let heard = Heard {
            service: service.to_owned(),
            version: version.clone(),
            noted_at: now,
            sent_at,
        };
        self.instances.insert(instance.clone(), heard);
        self.by_age.insert((now, instance.clone()));
        if self.instances.len() > MAX_INSTANCES {
            self.remove_oldest();
        }
    }

    /// Takes the next message's versions, in the order of services and instances; empty if there is
    /// nothing to send.
    pub fn take(&mut self, now: Timestamp) -> Vec<ServiceVersions> {
        self.expire(now);
        let mut services: BTreeMap<String, Vec<InstanceVersion>> = BTreeMap::new();
        for _ in 0..MAX_BATCH {
            let Some(instance) = self.queue.pop_first() else {
                break;
            };
            let Some(heard) = self.instances.get_mut(&instance) else {
                continue;
            };
            heard.sent_at = Some(now);
            let version = heard.version.clone();
            let instances = services.entry(heard.service.clone()).or_default();
            instances.push(InstanceVersion { instance, version });
        }
        let services = services.into_iter();
        let services = services.map(|(service, instances)| ServiceVersions { service, instances });
        services.collect()
    }

    /// Queues everything for a leader that has been sent nothing yet, also versions of instances
    /// that are gone: their streams may still be resumed. An instance without a start time is
    /// queued by its next heartbeat: since the last one, its name may have become that of another
    /// process, which registers with another controller.
    pub fn restart(&mut self, now: Timestamp) {
        self.expire(now);
        self.queue.clear();
        for (instance, heard) in &mut self.instances {
            heard.sent_at = None;
            if instance.started().is_some() {
                self.queue.insert(instance.clone());
            }
        }
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.by_age.first()
            && now.since(*at) >= ORIGIN_RETENTION
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, instance)) = self.by_age.pop_first() {
            self.instances.remove(&instance);
            self.queue.remove(&instance);
        }
    }
}
