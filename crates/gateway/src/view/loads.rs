//! Load and speed of instances, in the router's view.

use super::View;
use crate::ended_streams::StreamEnd;
use courseshunt_instance_load::{InstanceCondition, InstanceLoad, LoadReport};
use courseshunt_services::{Candidate, PromptShape, ReportMessage};
use courseshunt_types::{Millis, RunnerId};

impl View {
    /// Records the load in a response of an instance.
    pub(crate) fn record_load(&self, instance: &RunnerId, report: LoadReport) {
        let now = self.clock.now();
        self.lock().selector.record_load(instance, report, now);
    }

    /// Measures the slowness of an instance: the first event of a stream came `waited` after the
    /// request was sent.
    pub(crate) fn measure_slowness(&self, candidate: &Candidate, waited: Millis) {
        let now = self.clock.now();
        self.lock()
            .selector
            .measure_slowness(candidate, waited, now);
    }

    /// Present condition of an instance that reports its load.
    pub(crate) fn condition(&self, instance: &RunnerId) -> Option<InstanceCondition> {
        let now = self.clock.now();
        self.lock().selector.condition(instance, now)
    }

    /// Number of instances that report their load.
    pub(crate) fn instances_with_load(&self) -> usize {
        let now = self.clock.now();
        self.lock().selector.loads().count(now)
    }

    /// Applies the leader's message about load and speed of instances.
    pub(crate) fn apply_loads(&self, loads: &[InstanceLoad]) {
        let now = self.clock.now();
        self.lock().selector.apply_loads(loads, now);
    }

    /// Records that there is no leader.
    pub(crate) fn lose_load_feed(&self) {
        let now = self.clock.now();
        self.lock().selector.lose_load_feed(now);
    }

    /// Counts a stream that ended.
    pub(crate) fn count_stream(&self, service: &str, shape: &PromptShape, stream: StreamEnd) {
        self.lock().demand.count_stream(service, shape, stream);
    }

    /// The report of load, speed and pauses to send, if there is anything new.
    pub(crate) fn take_load_report(&self) -> Option<ReportMessage> {
        let now = self.clock.now();
        let mut state = self.lock();
        let samples = state.selector.take_load_samples(now);
        let pauses = state.demand.take_pauses();
        let has_news = !samples.is_empty() || !pauses.is_empty();
        has_news.then_some(ReportMessage::InstanceLoads { samples, pauses })
    }
}
