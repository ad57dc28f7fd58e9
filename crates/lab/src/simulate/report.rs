//! What a simulation reports.

use crate::simulate::checks::Violations;

/// Result of one run; the same seed gives the same bytes.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Simulated hours.
    pub hours: f64,
    /// Requests that reached a router, repeats included.
    pub requests: u64,
    /// Requests that got their whole answer.
    pub served: u64,
    /// Requests refused as proved not run.
    pub refused_not_run: u64,
    /// Requests that ended without it being known whether they ran.
    pub unknown: u64,
    /// Requests that were told that their first execution still runs.
    pub in_progress: u64,
    /// Requests whose router died; their callers asked again.
    pub interrupted: u64,
    /// Requests that never got any answer.
    pub dropped: u64,
    /// Once-only requests that ran more than once, and answers given twice.
    pub doubled: u64,
    /// First requests: critical or interactive, after a pause of the deployment.
    pub first_requests: u64,
    /// First requests that found no loaded replica.
    pub cold_requests: u64,
    /// Half of the first requests waited no longer for a grant.
    pub cold_start_p50_s: f64,
    /// 99 of 100 first requests waited no longer for a grant.
    pub cold_start_p99_s: f64,
    /// The longest such wait.
    pub cold_start_max_s: f64,
    /// Mean of these waits.
    pub cold_start_mean_s: f64,
    /// 99 of 100 critical or interactive requests waited no longer for a grant.
    pub wait_p99_s: f64,
    /// Requests not answered by their deadline.
    pub deadline_missed: u64,
    /// The same, by class: critical, interactive, batch.
    pub deadline_missed_by_class: [u64; 3],
    /// Accelerator hours of loaded or loading replicas that ran nothing.
    pub idle_accelerator_hours: f64,
    /// Accelerator hours of replicas that ran something.
    pub busy_accelerator_hours: f64,
    /// Loads ordered.
    pub loads: u64,
    /// Loads that came from the weight store.
    pub remote_loads: u64,
    /// Checkpoints staged in host memory or on disk.
    pub staged: u64,
    /// Delay by the weight store's limits and slowness that 99 of 100 transfers
    /// did not exceed.
    pub weight_store_wait_p99_s: f64,
    /// Broken promises.
    pub violations: Violations,
    /// Faults of the schedule that the simulation does not carry out.
    pub skipped_faults: Vec<String>,
}

impl Report {
    /// The report as JSON, ending in a line feed.
    #[must_use]
    pub fn to_json(&self) -> String {
        let mut text = serde_json::to_string_pretty(self).unwrap_or_default();
        text.push('\n');
        text
    }
}
