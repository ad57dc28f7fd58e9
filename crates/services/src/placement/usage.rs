//! Requests and prompt tokens in flight at instances, summed over all routers.

use crate::feed::InstanceUsage;
use courseshunt_types::RunnerId;
use std::collections::BTreeMap;

/// Requests and unprocessed prompt tokens at one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Total {
    in_flight: u32,
    prompt_tokens: u32,
}

/// Usage by router with the sums; see the module. The time of an update is proportional to the
/// report, not to the number of instances.
#[derive(Debug, Default)]
pub(super) struct UsageTable {
    routers: BTreeMap<String, Vec<InstanceUsage>>,
    totals: BTreeMap<RunnerId, Total>,
}

impl UsageTable {
    pub(super) fn record(&mut self, router: &str, usage: Vec<InstanceUsage>) {
        self.remove(router);
        for one in &usage {
            let total = self.totals.entry(one.instance.clone()).or_default();
            total.in_flight += one.in_flight;
            total.prompt_tokens += one.prompt_tokens;
        }
        self.routers.insert(router.to_owned(), usage);
    }

    pub(super) fn remove(&mut self, router: &str) {
        for one in self.routers.remove(router).into_iter().flatten() {
            let Some(total) = self.totals.get_mut(&one.instance) else {
                continue;
            };
            total.in_flight -= one.in_flight;
            total.prompt_tokens -= one.prompt_tokens;
            if *total == Total::default() {
                self.totals.remove(&one.instance);
            }
        }
    }

    /// Usage at each instance in use, summed over all routers.
    pub(super) fn totals(&self) -> Vec<InstanceUsage> {
        let totals = self.totals.iter();
        let totals = totals.map(|(instance, total)| InstanceUsage {
            instance: instance.clone(),
            in_flight: total.in_flight,
            prompt_tokens: total.prompt_tokens,
        });
        totals.collect()
    }

    /// Requests in flight at an instance, summed over all routers.
    pub(super) fn in_flight(&self, instance: &RunnerId) -> u32 {
        let total = self.totals.get(instance);
        total.map_or(0, |total| total.in_flight)
    }

    /// Prompt tokens at an instance that are not processed yet, summed over all routers.
    pub(super) fn prompt_tokens(&self, instance: &RunnerId) -> u32 {
        let total = self.totals.get(instance);
        total.map_or(0, |total| total.prompt_tokens)
    }
}
