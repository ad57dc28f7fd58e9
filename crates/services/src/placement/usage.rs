//! What the routers use, in sum.

use crate::feed::InstanceUsage;
use courseshunt_types::RunnerId;
use std::collections::BTreeMap;

/// Requests and unread prompt tokens at one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Total {
    in_flight: u32,
    prompt_tokens: u32,
}

/// See the module. Costs are proportional to a report, not to the fleet.
#[derive(Debug, Default)]
pub(super) struct UsageTable {
    routers: BTreeMap<String, Vec<InstanceUsage>>,
    totals: BTreeMap<RunnerId, Total>,
}

impl UsageTable {
    pub(super) fn record(&mut self, router: &str, usage: Vec<InstanceUsage>) {
        self.forget(router);
        for one in &usage {
            let total = self.totals.entry(one.instance.clone()).or_default();
            total.in_flight += one.in_flight;
            total.prompt_tokens += one.prompt_tokens;
        }
        self.routers.insert(router.to_owned(), usage);
    }

    pub(super) fn forget(&mut self, router: &str) {
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

    /// Usage at every instance in use, over all routers.
    pub(super) fn all(&self) -> Vec<InstanceUsage> {
        let totals = self.totals.iter();
        let totals = totals.map(|(instance, total)| InstanceUsage {
            instance: instance.clone(),
            in_flight: total.in_flight,
            prompt_tokens: total.prompt_tokens,
        });
        totals.collect()
    }

    /// Requests under way at an instance, over all routers.
    pub(super) fn in_flight(&self, instance: &RunnerId) -> u32 {
        let total = self.totals.get(instance);
        total.map_or(0, |total| total.in_flight)
    }
}
