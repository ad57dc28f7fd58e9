//! Retry budgets of one router, one for each service. All routers together keep to a common
//! budget for each service, without a message for each retry.
//!
//! A router's share has two parts. The part that its own requests give is safe whatever other
//! routers do. The part of the common slack depends on the other routers, and on what earlier
//! processes of this router sent: a router has it only after a whole window of contact with
//! leaders, and loses it a window after the contact is lost.
//!
//! Invariant: in no window do the shares of the slack that routers use exceed the slack; each
//! decision names the state that it was based on.

mod account;

pub use account::RetryBudget;

use crate::fleet_size::FleetSize;
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

impl RetryBudgetSettings {
    /// State of a router that has not had contact with a leader yet. The lease of its share is
    /// one window.
    #[must_use]
    pub fn fleet_size(&self) -> FleetSize {
        FleetSize::new(self.window)
    }

    /// Number of routers that divide the slack; `None` if this router has no share of it.
    #[must_use]
    pub fn slack_divisor(&self, fleet: &FleetSize, now: Timestamp) -> Option<u32> {
        let contact = fleet.contact(now)?;
        fleet.largest_recent(now).filter(|_| contact >= self.window)
    }
}

/// A decision on a retry and the state of the service's budget that it was based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry may be sent. If so, it is reserved.
    pub is_allowed: bool,
    /// Number of routers that divide the slack; `None` if this router has no share of it.
    pub slack_divisor: Option<u32>,
    /// Length of the uninterrupted contact with leaders; `None` without contact.
    pub contact: Option<Millis>,
    /// Requests of clients for the service at this router in the window before the decision.
    pub requests: usize,
    /// Retries sent in that window and reserved ones, without this one.
    pub retries: usize,
    /// Retries that this router may send in the window.
    pub share: f64,
}

/// Retry budgets of one router, by service.
#[derive(Debug)]
pub struct RetryBudgets {
    settings: RetryBudgetSettings,
    seed: u64,
    budgets: HashMap<String, RetryBudget>,
}

impl RetryBudgets {
    /// Creates the budgets of a router. `seed` makes its draws independent of those of other
    /// routers.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings, seed: u64) -> Self {
        Self {
            settings,
            seed,
            budgets: HashMap::new(),
        }
    }

    /// The common budget of each service.
    #[must_use]
    pub fn settings(&self) -> &RetryBudgetSettings {
        &self.settings
    }

    /// Records a request of a client for `service`.
    pub fn record_request(&mut self, service: &str, now: Timestamp) {
        self.budget(service).record_request(now);
    }

    /// Decides on a retry of a request for `service`. One that is allowed is reserved until
    /// [`Self::record_retry`] or [`Self::release`]: the common budget limits what instances
    /// receive, and a retry may wait for an instance longer than a window.
    pub fn decide(&mut self, service: &str, fleet: &FleetSize, now: Timestamp) -> RetryDecision {
        let slack_divisor = self.settings.slack_divisor(fleet, now);
        let budget = self.budget(service);
        let share = budget.share(slack_divisor, now);
        let (requests, retries) = budget.counts();
        RetryDecision {
            is_allowed: budget.reserve(slack_divisor, now),
            slack_divisor,
            contact: fleet.contact(now),
            requests,
            retries,
            share,
        }
    }

    /// Counts a reserved retry as sent.
    pub fn record_retry(&mut self, service: &str, now: Timestamp) {
        self.budget(service).record_retry(now);
    }

    /// Returns a reserved retry that is not sent.
    pub fn release(&mut self, service: &str) {
        self.budget(service).release();
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
