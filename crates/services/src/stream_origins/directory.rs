//! The leader's directory of streams that clients may resume: which instances began them.
//!
//! Invariant: a verdict names a service and a version only if all instances that were reported as
//! the stream's origin are known to have run this version of this service. A stream of several origins
//! is in conflict unless a common version is known. A stream that is missing here, because no router has
//! reported it or because the directory was full, has no known origin.

use super::{
    ORIGIN_RETENTION, OriginVerdict, SoftwareVersions, StreamId, StreamOrigin, StreamWriter,
};
use courseshunt_types::{RunnerId, Timestamp};
use std::collections::{BTreeSet, HashMap};

/// Maximum number of streams; beyond it, those that were reported longest ago are removed.
const MAX_STREAMS: usize = 262_144;
/// Maximum number of origins of one stream; a stream with more of them is in conflict.
const MAX_ORIGINS: usize = 4;

/// The origins of the streams that routers reported within [`ORIGIN_RETENTION`].
#[derive(Debug, Default)]
pub struct OriginDirectory {
    streams: HashMap<StreamId, Entry>,
    by_age: BTreeSet<(Timestamp, StreamId)>,
}

#[derive(Debug)]
struct Entry {
    /// Services and instances that were reported as the origin: more than one if several requests
    /// with the same id began streams.
    origins: Vec<(String, RunnerId)>,
    has_too_many_origins: bool,
    reported_at: Timestamp,
}

impl OriginDirectory {
    /// Notes a router's report of a stream that began there.
    pub fn note(&mut self, origin: StreamOrigin, now: Timestamp) {
        self.expire(now);
        let stream = origin.stream;
        let entry = self.streams.entry(stream).or_insert_with(|| Entry {
            origins: Vec::with_capacity(1),
            has_too_many_origins: false,
            reported_at: now,
        });
        self.by_age.remove(&(entry.reported_at, stream));
        self.by_age.insert((now, stream));
        entry.reported_at = now;
        entry.add(origin);
        if self.streams.len() > MAX_STREAMS {
            self.remove_oldest();
        }
    }

    /// Which kind of instance may continue a stream.
    #[must_use]
    pub fn decide(
        &self,
        stream: StreamId,
        versions: &SoftwareVersions,
        now: Timestamp,
    ) -> OriginVerdict {
        let entry = self.streams.get(&stream);
        let entry = entry.filter(|entry| now.since(entry.reported_at) < ORIGIN_RETENTION);
        entry.map_or(OriginVerdict::Unknown, |entry| entry.verdict(versions))
    }

    /// Number of streams that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.by_age.first()
            && now.since(*at) >= ORIGIN_RETENTION
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, stream)) = self.by_age.pop_first() {
            self.streams.remove(&stream);
        }
    }
}

impl Entry {
    fn add(&mut self, origin: StreamOrigin) {
        let origin = (origin.service, origin.instance);
        if self.origins.contains(&origin) {
            return;
        }
        if self.origins.len() < MAX_ORIGINS {
            self.origins.push(origin);
        } else {
            self.has_too_many_origins = true;
        }
    }

    fn verdict(&self, versions: &SoftwareVersions) -> OriginVerdict {
        match self.common_writer(versions) {
            Some(writer) => OriginVerdict::Known(writer),
            None if self.origins.len() > 1 => OriginVerdict::conflict(),
            None => OriginVerdict::Unknown,
        }
    }

    /// The service and version that all origins have in common.
    fn common_writer(&self, versions: &SoftwareVersions) -> Option<StreamWriter> {
        if self.has_too_many_origins {
            return None;
        }
        let mut writers = self.origins.iter().map(|(service, instance)| {
            let writer = versions.writer(instance);
            writer.filter(|writer| writer.service == *service)
        });
        let first = writers.next()??;
        let is_common = writers.all(|writer| writer.as_ref() == Some(&first));
        is_common.then_some(first)
    }
}
