//! What an instance said it does not have: it turned a request away as meant for another
//! instance, or for a model or adapter that is not there.
//!
//! Invariant: it is not asked for the same again until it is told anew what it holds, or a
//! while has passed, twice as long each time that it says so again.

use super::PromptShape;
use courseshunt_types::{Millis, Timestamp};
use std::collections::HashMap;

/// First time for which it is not asked again: what routers are told of its models comes
/// within this.
const FIRST: Millis = Millis(200);
/// It grows no longer than this: the time after which a silent instance is taken for gone.
const LONGEST: Millis = Millis(3_200);
/// Models and adapters that are remembered for one instance at the most.
const MAX_KEPT: usize = 256;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Asked {
    model: String,
    adapter: Option<String>,
}

impl Asked {
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

/// See the module.
#[derive(Debug, Default)]
pub(super) struct Absences {
    absent: HashMap<Asked, Absence>,
}

impl Absences {
    /// Notes that it does not have what a request asks for.
    pub(super) fn lacks(&mut self, shape: &PromptShape, now: Timestamp) {
        if self.absent.len() >= MAX_KEPT {
            self.absent.retain(|_, absence| now < absence.until);
        }
        let asked = Asked::of(shape);
        let before = self.absent.get(&asked).map(|absence| absence.length);
        let length = before.map_or(FIRST, |length| Millis(length.0 * 2).min(LONGEST));
        let until = now + length;
        self.absent.insert(asked, Absence { until, length });
    }

    /// Forgets what it said: it is told anew what it holds, or it has answered.
    pub(super) fn forget(&mut self) {
        self.absent.clear();
    }

    /// For how long it is not to be asked for this; none: it may be asked.
    pub(super) fn lacks_for(&self, shape: &PromptShape, now: Timestamp) -> Option<Millis> {
        if self.absent.is_empty() {
            return None;
        }
        let absence = self.absent.get(&Asked::of(shape))?;
        (now < absence.until).then(|| absence.until.since(now))
    }
}
