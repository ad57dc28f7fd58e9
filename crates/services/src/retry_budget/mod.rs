//! Retry budgets of one router, one for each service. All routers together keep to a common
//! budget for each service, without a message for each retry.
//!
//! Invariant: each decision on a retry names the state of the budget that it was based on.

mod account;

pub use account::RetryBudget;

use courseshunt_types::{Millis, Timestamp};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The common budget of a service: what all routers together may send in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries for each request of a client.
    pub ratio: f64,
    /// Retries beyond that in each window.
    pub slack: f64,
    /// Length of the window.
    pub window: Millis,
}

/// A decision on a retry and the state of the service's budget that it was based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry may be sent. If so, it is already counted.
    pub is_allowed: bool,
    /// Number of routers among which the slack is divided.
    pub routers: u32,
    /// Time since a leader reported a number of routers; `None` if none did.
    pub routers_age: Option<Millis>,
    /// Requests of clients for the service at this router in the window before the decision.
    pub requests: usize,
    /// Retries in that window, without this one.
    pub retries: usize,
    /// Retries that this router may send in the window.
    pub share: f64,
}

/// Retry budgets of one router, by service.
#[derive(Debug)]
pub struct RetryBudgets {
    settings: RetryBudgetSettings,
    seed: u64,
    routers: u32,
    routers_reported_at: Option<Timestamp>,
    budgets: HashMap<String, RetryBudget>,
}

impl RetryBudgets {
    /// Creates the budgets of a router. `routers` is assumed until a leader reports the number of
    /// routers; `seed` makes the draws independent of those of other routers.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings, routers: u32, seed: u64) -> Self {
        Self {
            settings,
            seed,
            routers,
            routers_reported_at: None,
            budgets: HashMap::new(),
        }
    }

    /// Records the number of routers that a leader reports.
    pub fn record_routers(&mut self, routers: u32, now: Timestamp) {
        self.routers = routers.max(1);
        self.routers_reported_at = Some(now);
    }

    /// Number of routers among which the slack is divided.
    #[must_use]
    pub fn routers(&self) -> u32 {
        self.routers
    }

    /// Records a request of a client for `service`.
    pub fn record_request(&mut self, service: &str, now: Timestamp) {
        self.budget(service).record_request(now);
    }

    /// Decides on a retry of a request for `service`, and counts it if it is allowed.
    pub fn decide(&mut self, service: &str, now: Timestamp) -> RetryDecision {
        let routers = self.routers;
        let routers_age = self.routers_reported_at.map(|at| now.since(at));
        let budget = self.budget(service);
        let share = budget.share(routers, now);
        let (requests, retries) = budget.counts();
        RetryDecision {
            is_allowed: budget.take(routers, now),
            routers,
            routers_age,
            requests,
            retries,
            share,
        }
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let (settings, seed) = (self.settings, self.seed);
        let budget = self.budgets.entry(service.to_owned());
        budget.or_insert_with(|| {
            let seed = xxh3_64_with_seed(service.as_bytes(), seed);
            RetryBudget::new(settings).seeded(seed)
        })
    }
}
