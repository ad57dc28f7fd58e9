//! Tracks the newest incarnation of each instance: an instance may restart under the same name,
//! with no models and with its sequence numbers starting anew.
//!
//! Invariant: whatever the order in which messages of two incarnations arrive, the later one stays
//! current, and messages of an earlier one change nothing from then on. Instances that report no
//! start time have a single incarnation per name.

use courseshunt_types::RunnerId;
use std::collections::BTreeMap;

/// Relation of a message to the incarnations seen so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Incarnation {
    /// The message is from the current incarnation.
    Current,
    /// The message is from an earlier incarnation.
    Earlier,
    /// The message is from a new incarnation; the previous one has ended.
    New {
        /// The previous incarnation, if there was one.
        previous: Option<RunnerId>,
    },
}

/// Newest incarnation by instance name; see the module.
#[derive(Debug, Default)]
pub(super) struct IncarnationTable {
    newest: BTreeMap<String, RunnerId>,
}

impl IncarnationTable {
    /// Records a message of this incarnation.
    pub(super) fn observe(&mut self, id: &RunnerId) -> Incarnation {
        let Some(current) = self.newest.get_mut(id.name()) else {
            self.newest.insert(id.name().to_owned(), id.clone());
            return Incarnation::New { previous: None };
        };
        match id.started().cmp(&current.started()) {
            std::cmp::Ordering::Equal => Incarnation::Current,
            std::cmp::Ordering::Less => Incarnation::Earlier,
            std::cmp::Ordering::Greater => Incarnation::New {
                previous: Some(std::mem::replace(current, id.clone())),
            },
        }
    }

    /// The newest incarnation of an instance if `id` carries only the name, otherwise `id` itself.
    pub(super) fn newest<'a>(&'a self, id: &'a RunnerId) -> &'a RunnerId {
        match id.started() {
            Some(_) => id,
            None => self.newest.get(id.name()).unwrap_or(id),
        }
    }

    /// Removes the incarnations for which `kept` is false.
    pub(super) fn retain(&mut self, kept: impl Fn(&RunnerId) -> bool) {
        self.newest.retain(|_, id| kept(id));
    }
}
