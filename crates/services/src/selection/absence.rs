//! Models and adapters that an instance reported as missing: it rejected a request as intended
//! for another instance, or for a model or adapter that it does not hold.
//!
//! Invariant: the instance is not sent a request for the same model and adapter until an update
//! of its models arrives, or a backoff has passed, which doubles with each further rejection.

use super::PromptShape;
use courseshunt_types::{Millis, Timestamp};
use std::collections::HashMap;

/// First backoff: an update of the instance's models reaches routers within this time.
const INITIAL_BACKOFF: Millis = Millis(200);
/// Longest backoff: the time after which an instance without heartbeats is considered lost.
const MAX_BACKOFF: Millis = Millis(3_200);
/// Number of entries for one instance from which expired ones are removed.
const CLEANUP_THRESHOLD: usize = 256;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelKey {
    model: String,
    adapter: Option<String>,
}

impl ModelKey {
    fn of(shape: &PromptShape) -> Self {
        Self {
            model: shape.model.clone(),
            adapter: shape.adapter.clone(),
        }
    }
}

#[derive(Debug)]
struct Absence {
    until: Timestamp,
    length: Millis,
}

/// Missing models and adapters of one instance. See the module documentation.
#[derive(Debug, Default)]
pub(super) struct Absences {
    absent: HashMap<ModelKey, Absence>,
}

impl Absences {
    /// Records that the instance does not have the requested model or adapter.
    pub(super) fn insert(&mut self, shape: &PromptShape, now: Timestamp) {
        if self.absent.len() >= CLEANUP_THRESHOLD {
            self.absent.retain(|_, absence| now < absence.until);
        }
        let key = ModelKey::of(shape);
        let previous = self.absent.get(&key).map(|absence| absence.length);
        let length = previous.map_or(INITIAL_BACKOFF, |length| {
            Millis(length.0 * 2).min(MAX_BACKOFF)
        });
        let until = now + length;
        self.absent.insert(key, Absence { until, length });
    }

    /// Removes all entries, after an update of the models that the instance holds.
    pub(super) fn clear(&mut self) {
        self.absent.clear();
    }

    /// Remaining backoff for the model and adapter of `shape`; `None` if a request may be sent.
    pub(super) fn remaining(&self, shape: &PromptShape, now: Timestamp) -> Option<Millis> {
        if self.absent.is_empty() {
            return None;
        }
        let absence = self.absent.get(&ModelKey::of(shape))?;
        (now < absence.until).then(|| absence.until.since(now))
    }
}
