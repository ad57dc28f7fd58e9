//! Demand by model and adapter since the last report to the leader.
//!
//! Invariant: a report resets all counts except for that of waiting requests, which changes
//! only when one starts or stops to wait.

use crate::ended_streams::{EndedStreams, StreamEnd};
use courseshunt_instance_load::ModelPauses;
use courseshunt_services::PromptShape;
use courseshunt_services::feed::ModelDemand;
use courseshunt_types::Millis;
use std::collections::HashMap;

/// Model and adapter of a service that requests ask for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct DemandKey {
    service: String,
    model: String,
    adapter: Option<String>,
}

impl DemandKey {
    pub(crate) fn of(service: &str, shape: &PromptShape) -> Self {
        Self {
            service: service.to_owned(),
            model: shape.model.clone(),
            adapter: shape.adapter.clone(),
        }
    }
}

#[derive(Debug, Default)]
struct Demand {
    arrivals: u32,
    tokens: u32,
    objective_ms: u32,
    late: u32,
    waiting: u32,
}

/// Demand counters. Requests of services without models are not counted.
#[derive(Debug, Default)]
pub(crate) struct DemandTracker {
    demand: HashMap<DemandKey, Demand>,
    ended_streams: EndedStreams,
}

impl DemandTracker {
    fn entry(&mut self, service: &str, shape: &PromptShape) -> Option<&mut Demand> {
        let has_model = !shape.model.is_empty();
        has_model.then(|| {
            self.demand
                .entry(DemandKey::of(service, shape))
                .or_default()
        })
    }

    /// Counts a client's request.
    pub(crate) fn count_arrival(&mut self, service: &str, shape: &PromptShape, objective: Millis) {
        let Some(demand) = self.entry(service, shape) else {
            return;
        };
        let objective = u32::try_from(objective.0).unwrap_or(u32::MAX);
        demand.objective_ms = match demand.arrivals {
            0 => objective,
            _ => objective.min(demand.objective_ms),
        };
        demand.arrivals += 1;
    }

    /// Counts prompt tokens that an instance must process.
    pub(crate) fn count_tokens(&mut self, service: &str, shape: &PromptShape, tokens: u32) {
        if let Some(demand) = self.entry(service, shape) {
            demand.tokens += tokens;
        }
    }

    /// Subtracts tokens of a request that did not run.
    pub(crate) fn subtract_tokens(&mut self, service: &str, shape: &PromptShape, tokens: u32) {
        if let Some(demand) = self.entry(service, shape) {
            demand.tokens = demand.tokens.saturating_sub(tokens);
        }
    }

    /// Counts a response whose first byte came later than the objective.
    pub(crate) fn count_late(&mut self, service: &str, shape: &PromptShape) {
        if let Some(demand) = self.entry(service, shape) {
            demand.late += 1;
        }
    }

    /// Counts a stream that ended.
    pub(crate) fn count_stream(&mut self, service: &str, shape: &PromptShape, stream: StreamEnd) {
        self.ended_streams.count(service, &shape.model, stream);
    }

    /// Takes the ended streams to report.
    pub(crate) fn take_pauses(&mut self) -> Vec<ModelPauses> {
        self.ended_streams.take()
    }

    /// Counts a waiting request, until [`Self::remove_waiting`].
    pub(crate) fn add_waiting(&mut self, key: &DemandKey) {
        self.demand.entry(key.clone()).or_default().waiting += 1;
    }

    pub(crate) fn remove_waiting(&mut self, key: &DemandKey) {
        if let Some(demand) = self.demand.get_mut(key) {
            demand.waiting = demand.waiting.saturating_sub(1);
        }
    }

    /// Takes the demand to report; resets all counts except for that of waiting requests.
    pub(crate) fn take(&mut self) -> Vec<ModelDemand> {
        let demand = self.demand.iter().map(|(key, demand)| ModelDemand {
            service: key.service.clone(),
            model: key.model.clone(),
            adapter: key.adapter.clone(),
            arrivals: demand.arrivals,
            tokens: demand.tokens,
            objective_ms: demand.objective_ms,
            late: demand.late,
            waiting: demand.waiting,
        });
        let demand = demand.collect();
        self.demand.retain(|_, demand| {
            demand.arrivals = 0;
            demand.tokens = 0;
            demand.late = 0;
            demand.waiting > 0
        });
        demand
    }
}
