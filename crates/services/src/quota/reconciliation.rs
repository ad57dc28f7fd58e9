//! Detects use that a router reported and the leader did not receive.
//!
//! Reports are lost when a controller that relays them loses its link to the leader. Each report
//! therefore carries the units that the router has reported so far in the epoch, and the leader
//! compares them with the units that it has received.
//!
//! Invariant: the units received from a process in an epoch plus the missing units returned for it
//! are at least the units that the process has reported.

use super::UseReport;
use std::collections::BTreeMap;

/// Units that one router has reported in this epoch, as far as the leader knows.
#[derive(Debug, Default)]
struct KnownTotals {
    /// Identifies the router's process, whose totals start at 0.
    process: u64,
    /// Units by tenant.
    units: BTreeMap<String, i64>,
}

/// Units that the leader has received, by router; see the module documentation.
#[derive(Debug, Default)]
pub(super) struct ReceivedTotals {
    routers: BTreeMap<String, KnownTotals>,
}

impl ReceivedTotals {
    /// Notes a router's report; returns the units that earlier reports contained and that were not
    /// received, by tenant. Lost refunds are not returned: without them, an account counts more than
    /// was used, which keeps its bound.
    pub(super) fn note(&mut self, router: &str, report: &UseReport) -> Vec<(String, i64)> {
        let known = self.routers.entry(router.to_owned()).or_default();
        if known.process != report.process {
            *known = KnownTotals {
                process: report.process,
                units: BTreeMap::new(),
            };
        }
        for one in &report.uses {
            *known.units.entry(one.tenant.clone()).or_default() += one.units;
        }
        let mut missing = Vec::new();
        for total in &report.totals {
            let known = known.units.entry(total.tenant.clone()).or_default();
            let lost = total.units - std::mem::replace(known, total.units);
            if lost > 0 {
                missing.push((total.tenant.clone(), lost));
            }
        }
        missing
    }
}
