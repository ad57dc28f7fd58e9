//! Tracks the newest incarnation of each instance: an instance may restart under the same name,
//! with no models and with its sequence numbers starting anew.
//!
//! Invariant: whatever the order in which messages of two incarnations arrive, the later one stays
//! current, and messages of an earlier one change nothing from then on. Instances that report no
//! start time have a single incarnation per name.
//!
//! Controllers of the previous release pass registrations on without the start time. In a group of two
//! releases an instance is therefore named with and without it; both names are those of one
//! incarnation as long as the sequence numbers of its registrations increase.

use courseshunt_types::RunnerId;
use std::collections::BTreeMap;

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
    /// Highest sequence number of its registrations.
    sequence: u64,
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
        };
        let Some(current) = self.newest.get_mut(id.name()) else {
            self.newest.insert(id.name().to_owned(), observed);
            return Incarnation::New { previous: None };
        };
        let is_continued = sequence > current.sequence;
        match (current.id.started(), id.started()) {
            (known, stated) if known == stated => {
                current.sequence = current.sequence.max(sequence);
                Incarnation::Current(id.clone())
            }
            (Some(_), None) if is_continued => {
                current.sequence = sequence;
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

    /// The newest incarnation of an instance if `id` carries only the name, otherwise `id` itself.
    pub(super) fn newest<'a>(&'a self, id: &'a RunnerId) -> &'a RunnerId {
        match id.started() {
            Some(_) => id,
            None => self.newest.get(id.name()).map_or(id, |newest| &newest.id),
        }
    }

    /// Removes the incarnations for which `kept` is false.
    pub(super) fn retain(&mut self, kept: impl Fn(&RunnerId) -> bool) {
        self.newest.retain(|_, newest| kept(&newest.id));
    }
}
