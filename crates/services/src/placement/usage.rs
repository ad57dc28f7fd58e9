//! What each router uses, summed for the others.

use crate::feed::InstanceUsage;
use courseshunt_types::RunnerId;
use std::collections::BTreeMap;

/// See the module.
#[derive(Debug, Default)]
pub(super) struct UsageTable {
    routers: BTreeMap<String, Vec<InstanceUsage>>,
}

impl UsageTable {
    pub(super) fn record(&mut self, router: &str, usage: Vec<InstanceUsage>) {
        self.routers.insert(router.to_owned(), usage);
    }

    pub(super) fn forget(&mut self, router: &str) {
        self.routers.remove(router);
    }

    pub(super) fn of_others(&self, router: &str) -> Vec<InstanceUsage> {
        let others = self.routers.iter().filter(|(name, _)| *name != router);
        sum(others.flat_map(|(_, usage)| usage))
    }

    /// Requests under way at an instance, over all routers.
    pub(super) fn in_flight(&self, instance: &RunnerId) -> u32 {
        let all = self.routers.values().flatten();
        let there = all.filter(|one| one.instance == *instance);
        there.map(|one| one.in_flight).sum()
    }
}

fn sum<'a>(usage: impl Iterator<Item = &'a InstanceUsage>) -> Vec<InstanceUsage> {
    let mut sums: BTreeMap<&RunnerId, (u32, u32)> = BTreeMap::new();
    for one in usage {
        let entry = sums.entry(&one.instance).or_default();
        entry.0 += one.in_flight;
        entry.1 += one.prompt_tokens;
    }
    let sums = sums.into_iter();
    let sums = sums.map(|(instance, (in_flight, prompt_tokens))| InstanceUsage {
        instance: instance.clone(),
        in_flight,
        prompt_tokens,
    });
    sums.collect()
}
