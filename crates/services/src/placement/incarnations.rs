//! Tracks the newest incarnation of each instance: an instance may restart under the same name,
//! with no models and with its sequence numbers starting anew.
//!
//! Invariant: whatever the order in which messages of two incarnations arrive, the later one stays
//! current, and messages of an earlier one change nothing from then on. Instances that report no
//! start time have a single incarnation per name.
//!
//! Controllers of the previous release pass registrations on without the start time. In a group of two
//! releases an instance is therefore named with and without it; both names are those of one
//! incarnation as long as the sequence numbers of its registrations increase in small steps: a
//! registration of an earlier incarnation may arrive late, with a far higher number.

use courseshunt_types::RunnerId;
use std::collections::BTreeMap;

/// Sequence number of an incarnation none of whose registrations is known.
const UNKNOWN: u64 = 0;
/// Registrations of one incarnation that may be missing between two that arrive: those of the longest
/// silence, and those that were repeated at other controllers.
const MAX_MISSING: u64 = 16;

/// Relation of a message to the incarnations seen so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Incarnation {
    /// The message is from the current incarnation, which has this identity.
    Current(RunnerId),
    /// The message is from an earlier incarnation.
    Earlier,
    /// The message is the first one that states the start time of the current incarnation.
    StartKnown {
        /// The identity of the incarnation until now, without a start time.
        previous: RunnerId,
    },
    /// The message is from a new incarnation; the previous one has ended.
    New {
        /// The previous incarnation, if there was one.
        previous: Option<RunnerId>,
    },
}

/// Newest incarnation of an instance.
#[derive(Debug)]
struct Newest {
    id: RunnerId,
    /// Highest sequence number of its registrations, or [`UNKNOWN`].
    sequence: u64,
    /// The identity that its last registration stated.
    stated: RunnerId,
}

impl Newest {
    /// Whether a registration under the instance's other name may be a later one of this incarnation.
    fn is_continued_by(&self, sequence: u64) -> bool {
        let is_near = self.sequence == UNKNOWN || sequence <= self.sequence + MAX_MISSING;
        sequence > self.sequence && is_near
    }
}

/// Newest incarnation by instance name; see the module.
#[derive(Debug, Default)]
pub(super) struct IncarnationTable {
    newest: BTreeMap<String, Newest>,
}

impl IncarnationTable {
    /// Records a registration of this incarnation.
    pub(super) fn observe(&mut self, id: &RunnerId, sequence: u64) -> Incarnation {
        let observed = Newest {
            id: id.clone(),
            sequence,
            stated: id.clone(),
        };
        let Some(current) = self.newest.get_mut(id.name()) else {
            self.newest.insert(id.name().to_owned(), observed);
            return Incarnation::New { previous: None };
        };
        let is_continued = current.is_continued_by(sequence);
        match (current.id.started(), id.started()) {
            (known, stated) if known == stated => {
                if sequence > current.sequence {
                    current.sequence = sequence;
                    current.stated = id.clone();
                }
                Incarnation::Current(id.clone())
            }
            (Some(_), None) if is_continued => {
                current.sequence = sequence;
                current.stated = id.clone();
                Incarnation::Current(current.id.clone())
            }
            (None, Some(_)) if is_continued => Incarnation::StartKnown {
                previous: std::mem::replace(current, observed).id,
            },
            (known, stated) if stated > known => Incarnation::New {
                previous: Some(std::mem::replace(current, observed).id),
            },
            _ => Incarnation::Earlier,
        }
    }

    /// Whether an incarnation of the instance is known.
    pub(super) fn contains(&self, id: &RunnerId) -> bool {
        self.newest.contains_key(id.name())
    }

    /// Whether a registration is from an earlier incarnation.
    pub(super) fn is_earlier(&self, id: &RunnerId, sequence: u64) -> bool {
        let Some(current) = self.newest.get(id.name()) else {
            return false;
        };
        match (current.id.started(), id.started()) {
            (Some(_), None) => !current.is_continued_by(sequence),
            (known, stated) => stated < known,
        }
    }

    /// Whether the last registration of the instance stated this identity. Under the other one it may
    /// have been a late registration of another incarnation, which has its own sequence numbers.
    pub(super) fn was_stated_last(&self, id: &RunnerId) -> bool {
        let newest = self.newest.get(id.name());
        newest.is_some_and(|newest| newest.stated == *id)
    }

    /// Notes that an incarnation was silent for too long: the next registration without a start time may
    /// be one of a later incarnation, whose sequence numbers began anew.
    pub(super) fn note_silence(&mut self, id: &RunnerId) {
        if let Some(current) = self.newest.get_mut(id.name())
            && current.id == *id
        {
            current.sequence = UNKNOWN;
        }
    }

    /// The newest incarnation of an instance if `id` carries only the name, otherwise `id` itself.
    pub(super) fn newest<'a>(&'a self, id: &'a RunnerId) -> &'a RunnerId {
        match id.started() {
            Some(_) => id,
            None => self.newest.get(id.name()).map_or(id, |newest| &newest.id),
        }
    }

    /// Notes the start time of the current incarnation, from a notice about it; returns its identity until
    /// now if that had no start time.
    pub(super) fn learn_start(&mut self, id: &RunnerId) -> Option<RunnerId> {
        let current = self.newest.get_mut(id.name())?;
        if id.started().is_none() || current.id.started().is_some() {
            return None;
        }
        Some(std::mem::replace(&mut current.id, id.clone()))
    }

    /// Removes the incarnations for which `kept` is false.
    pub(super) fn retain(&mut self, kept: impl Fn(&RunnerId) -> bool) {
        self.newest.retain(|_, newest| kept(&newest.id));
    }
}
