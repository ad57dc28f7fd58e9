//! Streams that ended and those that paused for too long, by model, since the last report to the
//! leader.
//!
//! Invariant: a stream counts once, and only if its route limits its pauses and its instance reports
//! its load: other streams say nothing about an instance that is selected by its load.

use courseshunt_instance_load::ModelPauses;
use std::collections::BTreeMap;
use std::time::Duration;

/// End of a stream whose pauses count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamEnd {
    /// Longest pause between two parts of the stream.
    pub longest_pause: Duration,
    /// Longest pause that the route allows.
    pub pause_objective: Duration,
}

impl StreamEnd {
    fn is_paused(self) -> bool {
        self.longest_pause > self.pause_objective
    }
}

#[derive(Debug, Default)]
struct Count {
    streams: u32,
    paused: u32,
}

/// Counters by service and model; see the module.
#[derive(Debug, Default)]
pub struct EndedStreams {
    models: BTreeMap<(String, String), Count>,
}

impl EndedStreams {
    /// Counts a stream. Streams of services without models are not counted.
    pub fn count(&mut self, service: &str, model: &str, stream: StreamEnd) {
        if model.is_empty() {
            return;
        }
        let key = (service.to_owned(), model.to_owned());
        let count = self.models.entry(key).or_default();
        count.streams = count.streams.saturating_add(1);
        count.paused = count.paused.saturating_add(u32::from(stream.is_paused()));
    }

    /// Takes the counts to report; they start at zero again.
    pub fn take(&mut self) -> Vec<ModelPauses> {
        let models = std::mem::take(&mut self.models).into_iter();
        let pauses = models.map(|((service, model), count)| ModelPauses {
            service,
            model,
            streams: count.streams,
            paused: count.paused,
        });
        pauses.collect()
    }
}
