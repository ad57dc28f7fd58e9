//! The streams that a router relayed, and which of them it has reported to the present leader.
//!
//! Invariant: the log holds at most [`MAX_STREAMS`] streams; the oldest one leaves first, and none
//! is used for longer than [`ORIGIN_RETENTION`].

use super::{ORIGIN_RETENTION, StreamId, StreamOrigin};
use courseshunt_types::{RunnerId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum number of streams in the log.
pub const MAX_STREAMS: usize = 16_384;

/// The instance that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggedOrigin {
    /// Name of the service of the instance.
    pub service: String,
    /// The instance.
    pub instance: RunnerId,
    /// The instance that this entry replaced: two streams began under the same id, and the client
    /// does not state which one it resumes.
    pub replaced: Option<Box<StreamOrigin>>,
    recorded_at: Timestamp,
    /// Position in the order of the records.
    serial: u64,
}

impl LoggedOrigin {
    /// Whether exactly one instance began a stream under this id.
    #[must_use]
    pub fn is_certain(&self) -> bool {
        self.replaced.is_none()
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        now.since(self.recorded_at) > ORIGIN_RETENTION
    }
}

/// Origins of the streams that a router relayed. See the module documentation.
#[derive(Debug, Default)]
pub struct OriginLog {
    origins: HashMap<StreamId, LoggedOrigin>,
    /// All streams by their serial, the oldest one first.
    order: BTreeMap<u64, StreamId>,
    /// Serials of the streams that were not reported to the present leader, by service.
    unreported: BTreeMap<String, BTreeSet<u64>>,
    last_serial: u64,
}

impl OriginLog {
    /// Records that an instance of a service began a stream. A stream that is recorded again is
    /// reported again.
    pub fn record(&mut self, stream: StreamId, service: &str, instance: &RunnerId, now: Timestamp) {
        self.remove_expired(now);
        let earlier = self.remove(stream);
        let replaced = earlier.and_then(|earlier| replaced_by(instance, stream, earlier));
        if self.origins.len() >= MAX_STREAMS {
            self.remove_oldest();
        }
        self.last_serial += 1;
        let serial = self.last_serial;
        let origin = LoggedOrigin {
            service: service.to_owned(),
            instance: instance.clone(),
            replaced,
            recorded_at: now,
            serial,
        };
        self.origins.insert(stream, origin);
        self.order.insert(serial, stream);
        self.mark_unreported(service, serial);
    }

    /// The origin of a stream that began within [`ORIGIN_RETENTION`].
    #[must_use]
    pub fn lookup(&self, stream: StreamId, now: Timestamp) -> Option<&LoggedOrigin> {
        let origin = self.origins.get(&stream)?;
        (!origin.is_expired(now)).then_some(origin)
    }

    /// Takes the streams to report, up to about `max`: those of services for which it matters which
    /// instance began a stream. The streams of other services stay in the log and become due once
    /// `is_ambiguous` holds for their service.
    pub fn take_unreported(
        &mut self,
        max: usize,
        is_ambiguous: impl Fn(&str) -> bool,
        now: Timestamp,
    ) -> Vec<StreamOrigin> {
        self.remove_expired(now);
        let mut taken = Vec::new();
        for (service, serials) in &mut self.unreported {
            if !is_ambiguous(service) {
                continue;
            }
            while taken.len() < max
                && let Some(serial) = serials.pop_first()
            {
                let stream = self.order.get(&serial);
                let origin = stream.and_then(|stream| Some((stream, self.origins.get(stream)?)));
                if let Some((stream, origin)) = origin {
                    taken.extend(origin.replaced.as_deref().cloned());
                    taken.push(StreamOrigin {
                        stream: *stream,
                        service: origin.service.clone(),
                        instance: origin.instance.clone(),
                    });
                }
            }
        }
        self.unreported.retain(|_, serials| !serials.is_empty());
        taken
    }

    /// Makes all streams due again, because a new leader has no reports of this router.
    pub fn mark_all_unreported(&mut self) {
        let origins = self.origins.values();
        let all = origins.map(|origin| (origin.service.clone(), origin.serial));
        let all: Vec<(String, u64)> = all.collect();
        for (service, serial) in all {
            self.mark_unreported(&service, serial);
        }
    }

    /// Number of streams in the log.
    #[must_use]
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether the log holds no stream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn mark_unreported(&mut self, service: &str, serial: u64) {
        match self.unreported.get_mut(service) {
            Some(serials) => drop(serials.insert(serial)),
            None => drop(
                self.unreported
                    .insert(service.to_owned(), BTreeSet::from([serial])),
            ),
        }
    }

    fn remove(&mut self, stream: StreamId) -> Option<LoggedOrigin> {
        let origin = self.origins.remove(&stream)?;
        self.order.remove(&origin.serial);
        if let Some(serials) = self.unreported.get_mut(&origin.service) {
            serials.remove(&origin.serial);
            if serials.is_empty() {
                self.unreported.remove(&origin.service);
            }
        }
        Some(origin)
    }

    fn oldest(&self) -> Option<StreamId> {
        self.order.first_key_value().map(|(_, stream)| *stream)
    }

    fn remove_oldest(&mut self) {
        if let Some(stream) = self.oldest() {
            self.remove(stream);
        }
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some(stream) = self.oldest()
            && self
                .origins
                .get(&stream)
                .is_some_and(|origin| origin.is_expired(now))
        {
            self.remove(stream);
        }
    }
}

/// The earlier origin of a stream that another instance began now under the same id. A stream that
/// had two origins before keeps the one that differs from the present one.
fn replaced_by(
    instance: &RunnerId,
    stream: StreamId,
    earlier: LoggedOrigin,
) -> Option<Box<StreamOrigin>> {
    if earlier.instance == *instance {
        return earlier.replaced;
    }
    Some(Box::new(StreamOrigin {
        stream,
        service: earlier.service,
        instance: earlier.instance,
    }))
}
