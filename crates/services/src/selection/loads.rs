//! Load and speed of instances in the selector: measures the slowness of instances that report
//! their load, and counts the tokens that this router's requests hold there.

use super::{Candidate, Selector};
use crate::selection::prompt::PromptShape;
use courseshunt_instance_load::{
    InstanceCondition, InstanceLoad, LoadReport, LoadSample, RouterLoads,
};
use courseshunt_types::{Millis, RunnerId, Timestamp};

/// Shortest predicted time, at usual speed, from which slowness is measured, in milliseconds. In
/// shorter times the decoding of the first event outweighs the prompt.
const MIN_MEASURED_MS: f64 = 40.0;
/// Bounds of a measured ratio, relative to the present slowness. Prompts that this router had no
/// report of make a first event late; without bounds they would count as slowness of the instance.
const RELATIVE_RATIO_BOUNDS: (f64, f64) = (1.0 / 3.0, 1.5);
/// Fixed part of the time to the first event, in milliseconds: connection, scheduling and the
/// first step of the engine.
pub(super) const FIXED_FIRST_ANSWER_MS: f64 = 15.0;

/// Tokens that a request holds in an instance's memory while it is in flight, without those of
/// cached prefixes. Its output is counted with its largest length, since the real one is not
/// known before the end.
pub(super) fn held_tokens(shape: &PromptShape, uncached_work: u32) -> u32 {
    // The work of a long prompt is larger than its length.
    let uncached = uncached_work.min(shape.prompt_tokens);
    uncached.saturating_add(shape.output_tokens)
}

impl Selector {
    /// Load and speed of the instances.
    #[must_use]
    pub fn loads(&self) -> &RouterLoads {
        &self.loads
    }

    /// Present condition of an instance that reports its load; `None` for all others.
    #[must_use]
    pub fn condition(&self, instance: &RunnerId, now: Timestamp) -> Option<InstanceCondition> {
        self.loads.condition(instance, now)
    }

    /// Records the load that an instance reported in a response to this router.
    pub fn record_load(&mut self, instance: &RunnerId, report: LoadReport, now: Timestamp) {
        self.loads.record_report(instance, report, now);
    }

    /// Measures the slowness of an instance that reports its load: the first event of a response
    /// came `waited` after its request was sent. Short predictions are not measured, and neither
    /// are those without a condition, which do not contain the first event.
    pub fn measure_slowness(&mut self, candidate: &Candidate, waited: Millis, now: Timestamp) {
        let usual_ms = candidate.predicted_ms / candidate.duration_factor;
        if usual_ms < MIN_MEASURED_MS || candidate.predicted_pause_ms.is_none() {
            return;
        }
        let instance = &candidate.instance;
        let Some(condition) = self.condition(instance, now) else {
            return;
        };
        // The work factor may have changed while the request was processed.
        let work_factor = (candidate.work_factor + condition.work_factor) / 2.0;
        let expected_ms = (usual_ms + FIXED_FIRST_ANSWER_MS) * work_factor;
        let (least, largest) = RELATIVE_RATIO_BOUNDS;
        let (least, largest) = (least * condition.slowness, largest * condition.slowness);
        let ratio = (waited.0 as f64 / expected_ms).clamp(least, largest);
        self.loads.record_slowness(instance, ratio, now);
    }

    /// Applies the leader's message about load and speed of instances.
    pub fn apply_loads(&mut self, loads: &[InstanceLoad], now: Timestamp) {
        self.loads.apply(loads, now);
    }

    /// Observations of load and speed that the leader has not been sent yet.
    pub fn take_load_samples(&mut self, now: Timestamp) -> Vec<LoadSample> {
        self.loads.take_samples(now)
    }

    /// Records that the feed of a leader starts, to which no load has been reported.
    pub fn start_load_feed(&mut self, now: Timestamp) {
        self.loads.start_leader_feed(now);
    }

    /// Records that there is no leader, so that what the last one sent loses weight.
    pub fn lose_load_feed(&mut self, now: Timestamp) {
        self.loads.lose_leader(now);
    }
}
