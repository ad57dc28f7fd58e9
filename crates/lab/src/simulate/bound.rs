//! Lower bound on idle accelerator time, for one that knows the arrivals.
//!
//! Take any schedule in which no critical or interactive request waits for a
//! load. Between two such arrivals of a deployment its replica either stays, or
//! goes and is loaded again; a load takes at least its time from host memory on
//! the fastest runner that holds the model. So each gap costs at least the
//! smaller of the gap (less the time in which the earlier request runs) and
//! that load time, times the share of the accelerators that the model takes on
//! the runner where that share is smallest. Deferred requests may run in gaps,
//! which makes them busy: their time is taken off. Memory limits and the weight
//! store can only add.

use super::site::{self, SiteDeployment};
use crate::callers::{Arrival, HOUR_MS};
use courseshunt_standin::model::RunnerModelSettings;
use courseshunt_standin::scenario::Scenario;
use courseshunt_types::PriorityClass;

/// The bound, in accelerator hours, for the requests of one seed.
#[must_use]
pub fn idle_hours(scenario: &Scenario, arrivals: &[Arrival]) -> f64 {
    let site = site::deployments(scenario);
    let runners = site::runners(scenario);
    let costs: Vec<Option<HoldingCost>> = site
        .iter()
        .map(|one| HoldingCost::of(one, &runners))
        .collect();
    let mut uses = vec![Use::default(); site.len()];
    for one in arrivals {
        if let Some(cost) = costs[one.deployment] {
            uses[one.deployment].add(one, &cost);
        }
    }
    let held = uses.iter().zip(&costs);
    held.filter_map(|(one, cost)| Some(one.idle_ms() * (*cost)?.accelerators / HOUR_MS))
        .sum()
}

/// Use of one deployment over the day, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Use {
    busy_until: Option<f64>,
    gaps: f64,
    deferred: f64,
}

impl Use {
    fn add(&mut self, one: &Arrival, cost: &HoldingCost) {
        let run = cost.longest_run_ms(one);
        if one.class == PriorityClass::Batch {
            self.deferred += run;
            return;
        }
        let at = one.at.0 as f64;
        let gap = self.busy_until.map_or(f64::INFINITY, |until| at - until);
        self.gaps += gap.max(0.0).min(cost.load_ms);
        let ends = at + run;
        self.busy_until = Some(self.busy_until.map_or(ends, |until| until.max(ends)));
    }

    fn idle_ms(&self) -> f64 {
        (self.gaps - self.deferred).max(0.0)
    }
}

/// What it costs to hold or load a model, where that is cheapest.
#[derive(Debug, Clone, Copy)]
struct HoldingCost {
    accelerators: f64,
    load_ms: f64,
    /// Longest time of a token, with a full batch.
    token_ms: f64,
    first_token_ms: f64,
    prompt_token_ms: f64,
}

impl HoldingCost {
    fn of(one: &SiteDeployment, runners: &[RunnerModelSettings]) -> Option<Self> {
        let memory = one.document.replica_memory_mib();
        let size = one.document.checkpoint_size_mib() as f64;
        let slots = f64::from(one.document.slots_per_replica);
        let fitting = runners.iter().filter(|runner| runner.memory_mib >= memory);
        let costs = fitting.map(|runner| {
            let share = memory as f64 / runner.memory_mib as f64;
            let copy_ms = size / runner.host_mib_per_second * 1000.0;
            let timing = &runner.timing;
            Self {
                accelerators: share * f64::from(runner.accelerators),
                load_ms: copy_ms + runner.engine_start_ms.0 as f64,
                token_ms: timing.token_ms + timing.token_per_request_ms * slots,
                first_token_ms: timing.first_token_ms,
                prompt_token_ms: timing.prompt_token_ms,
            }
        });
        costs.reduce(|one, other| Self {
            accelerators: one.accelerators.min(other.accelerators),
            load_ms: one.load_ms.min(other.load_ms),
            token_ms: one.token_ms.max(other.token_ms),
            first_token_ms: one.first_token_ms.max(other.first_token_ms),
            prompt_token_ms: one.prompt_token_ms.max(other.prompt_token_ms),
        })
    }

    /// Time that a request may keep its replica busy, generously, so that the
    /// bound stays below every schedule. Twice, for others' prompts in between.
    fn longest_run_ms(&self, one: &Arrival) -> f64 {
        let prompt = f64::from(one.prompt_tokens.max(one.shared_prefix_tokens));
        let first = self.first_token_ms + prompt * self.prompt_token_ms;
        2.0 * (first + f64::from(one.answer_tokens) * self.token_ms)
    }
}
