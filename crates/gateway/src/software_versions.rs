//! What a router knows of the software versions of instances.
//!
//! Invariant: the versions of a service count as mixed unless a leader's list excludes it. An
//! instance that appears before the present leader has sent its list is in no list.

use courseshunt_services::ServiceVersions;
use courseshunt_services::stream_origins::ORIGIN_RETENTION;
use courseshunt_types::{RunnerId, SoftwareVersion, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Which instances may continue a stream: those of the service and the software version that began
/// it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequiredWriter {
    /// Name of the service.
    pub service: String,
    /// Software version; `None` if it is not known.
    pub version: Option<SoftwareVersion>,
    /// The instance that began the stream, if it is known.
    pub began_at: Option<RunnerId>,
}

impl RequiredWriter {
    /// Any instance of a service, as long as all of them run one version.
    #[must_use]
    pub fn any_of(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            version: None,
            began_at: None,
        }
    }
}

#[derive(Debug, Clone)]
struct KnownVersion {
    version: SoftwareVersion,
    /// When a list left out the instance for the first time; `None` if the latest list names it.
    unlisted_since: Option<Timestamp>,
}

/// The leaders' lists of software versions, as one router received them.
#[derive(Debug, Default)]
pub struct SoftwareVersions {
    /// Whether any list was received.
    has_list: bool,
    /// Whether the present leader has sent its list.
    has_present_list: bool,
    /// Services in the latest list.
    listed: BTreeSet<String>,
    /// Services that an earlier list named, and since when the lists leave them out.
    unlisted_since: BTreeMap<String, Timestamp>,
    /// Services with an instance that appeared before the present leader had sent its list.
    awaiting_list: BTreeSet<String>,
    versions: HashMap<RunnerId, KnownVersion>,
}

impl SoftwareVersions {
    /// Applies a leader's list, which replaces the one before.
    pub fn apply(&mut self, list: Vec<ServiceVersions>, now: Timestamp) {
        self.forget_expired(now);
        self.has_list = true;
        self.has_present_list = true;
        self.awaiting_list.clear();
        for service in std::mem::take(&mut self.listed) {
            self.unlisted_since.insert(service, now);
        }
        for known in self.versions.values_mut() {
            known.unlisted_since.get_or_insert(now);
        }
        for ServiceVersions { service, instances } in list {
            self.unlisted_since.remove(&service);
            self.listed.insert(service);
            for listed in instances {
                let known = KnownVersion {
                    version: listed.version,
                    unlisted_since: None,
                };
                self.versions.insert(listed.instance, known);
            }
        }
    }

    /// Records that the feed of a new leader starts, whose list is still due.
    pub fn start_leader_feed(&mut self) {
        self.has_present_list = false;
    }

    /// Records that an instance of a service appeared.
    pub fn add_instance(&mut self, service: &str) {
        if !self.has_present_list && !self.awaiting_list.contains(service) {
            self.awaiting_list.insert(service.to_owned());
        }
    }

    /// The software version of an instance that a list names, or named within
    /// [`ORIGIN_RETENTION`].
    #[must_use]
    pub fn version_of(&self, instance: &RunnerId, now: Timestamp) -> Option<&SoftwareVersion> {
        let known = self.versions.get(instance)?;
        let is_recent = known
            .unlisted_since
            .is_none_or(|since| is_recent(since, now));
        is_recent.then_some(&known.version)
    }

    /// Whether instances of a service may run several versions, or may have done so when streams
    /// began that can still be resumed.
    #[must_use]
    pub fn may_be_mixed(&self, service: &str, now: Timestamp) -> bool {
        let unlisted_since = self.unlisted_since.get(service);
        !self.has_list
            || self.awaiting_list.contains(service)
            || self.listed.contains(service)
            || unlisted_since.is_some_and(|since| is_recent(*since, now))
    }

    /// Whether an instance of `service` may continue a stream of this writer. An instance of
    /// unknown version may do so if it began the stream itself, or if all instances of the service
    /// certainly run one version: the lists exclude others, and the feed is recent.
    #[must_use]
    pub fn may_continue(
        &self,
        writer: &RequiredWriter,
        service: &str,
        instance: &RunnerId,
        is_feed_recent: bool,
        now: Timestamp,
    ) -> bool {
        if service != writer.service {
            return false;
        }
        match (&writer.version, self.version_of(instance, now)) {
            (Some(required), Some(version)) => required == version,
            _ if writer.began_at.as_ref() == Some(instance) => true,
            _ => is_feed_recent && !self.may_be_mixed(service, now),
        }
    }

    fn forget_expired(&mut self, now: Timestamp) {
        self.unlisted_since
            .retain(|_, since| is_recent(*since, now));
        self.versions.retain(|_, known| {
            let since = known.unlisted_since;
            since.is_none_or(|since| is_recent(since, now))
        });
    }
}

/// Whether a stream that began at `since` can still be resumed.
fn is_recent(since: Timestamp, now: Timestamp) -> bool {
    now.since(since) <= ORIGIN_RETENTION
}
