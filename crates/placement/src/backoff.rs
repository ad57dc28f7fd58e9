//! Runners that failed to load a model are avoided for a while.

use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};
use std::collections::BTreeMap;

/// Pause after the first failure.
const FIRST_PAUSE: Millis = Millis::from_secs(5);
/// Longest pause.
const LONGEST_PAUSE: Millis = Millis::from_secs(600);

/// Failures by runner and model.
#[derive(Debug, Clone, Default)]
pub struct LoadBackoff {
    failures: BTreeMap<(RunnerId, ModelName), Failure>,
}

#[derive(Debug, Clone, Copy)]
struct Failure {
    pause: Millis,
    until: Timestamp,
}

impl LoadBackoff {
    /// Notes a failed load; each failure in a row doubles the pause.
    pub fn failed(&mut self, runner: &RunnerId, model: &ModelName, now: Timestamp) {
        let key = (runner.clone(), model.clone());
        let pause = match self.failures.get(&key) {
            Some(earlier) => Millis((earlier.pause.0 * 2).min(LONGEST_PAUSE.0)),
            None => FIRST_PAUSE,
        };
        let until = now + pause;
        self.failures.insert(key, Failure { pause, until });
    }

    /// Notes a load that worked; earlier failures are forgotten.
    pub fn succeeded(&mut self, runner: &RunnerId, model: &ModelName) {
        self.failures.remove(&(runner.clone(), model.clone()));
    }

    /// Models that a runner should not be given now.
    #[must_use]
    pub fn avoided(&self, runner: &RunnerId, now: Timestamp) -> Vec<ModelName> {
        let first = (runner.clone(), ModelName::default());
        let here = self.failures.range(first..);
        let here = here.take_while(|((one, _), _)| one == runner);
        here.filter(|(_, failure)| now < failure.until)
            .map(|((_, model), _)| model.clone())
            .collect()
    }
}
