//! What is asked for, by model and adapter, since the last report to the leader.

use courseshunt_services::PromptShape;
use courseshunt_services::feed::ModelDemand;
use courseshunt_types::Millis;
use std::collections::HashMap;

/// What is asked for.
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

/// See the module. Requests of plain services ask for no model and are not counted.
#[derive(Debug, Default)]
pub(crate) struct DemandBook {
    demand: HashMap<DemandKey, Demand>,
}

impl DemandBook {
    fn entry(&mut self, service: &str, shape: &PromptShape) -> Option<&mut Demand> {
        let asks = !shape.model.is_empty();
        asks.then(|| {
            self.demand
                .entry(DemandKey::of(service, shape))
                .or_default()
        })
    }

    /// Counts a client's request.
    pub(crate) fn arrived(&mut self, service: &str, shape: &PromptShape, objective: Millis) {
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

    /// Counts prompt tokens that are sent to be read.
    pub(crate) fn sent(&mut self, service: &str, shape: &PromptShape, tokens: u32) {
        if let Some(demand) = self.entry(service, shape) {
            demand.tokens += tokens;
        }
    }

    /// Takes tokens back that were not read.
    pub(crate) fn turned_away(&mut self, service: &str, shape: &PromptShape, tokens: u32) {
        if let Some(demand) = self.entry(service, shape) {
            demand.tokens = demand.tokens.saturating_sub(tokens);
        }
    }

    /// Counts an answer that an instance gave later than the objective.
    pub(crate) fn late(&mut self, service: &str, shape: &PromptShape) {
        if let Some(demand) = self.entry(service, shape) {
            demand.late += 1;
        }
    }

    /// Counts a request that waits, until [`Self::waits_no_more`].
    pub(crate) fn waits(&mut self, key: &DemandKey) {
        self.demand.entry(key.clone()).or_default().waiting += 1;
    }

    pub(crate) fn waits_no_more(&mut self, key: &DemandKey) {
        if let Some(demand) = self.demand.get_mut(key) {
            demand.waiting = demand.waiting.saturating_sub(1);
        }
    }

    /// What to report; counts start anew, but for what waits.
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
