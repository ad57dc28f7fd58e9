//! Tracks the queued jobs assigned to this router and decides when they start.

use courseshunt_types::{DeploymentName, JobId, Millis, Timestamp};
use courseshunt_wire::message::QueuedJob;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Margin before the latest possible start of a job.
const START_MARGIN: Millis = Millis::from_secs(10);
/// Backoff after the first failure of a job; doubles with each further failure.
const FIRST_BACKOFF: Millis = Millis::from_secs(1);
/// Maximum backoff.
const MAX_BACKOFF: Millis = Millis::from_secs(60);

/// A queued job, with times on this process's clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingJob {
    /// Id of the job.
    pub job: JobId,
    /// Deployment that serves the job.
    pub deployment: DeploymentName,
    /// Time at which the job was accepted.
    pub since: Timestamp,
    /// Deadline of the job.
    pub deadline: Timestamp,
}

/// Whether the jobs of a deployment should start: its model is already loaded,
/// the oldest job has waited for the whole batch window, or a deadline is near.
/// All of them start together, so that one model load serves many jobs.
#[must_use]
pub fn is_due(
    jobs: &[WaitingJob],
    is_loaded: bool,
    window: Millis,
    load_estimate: Millis,
    now: Timestamp,
) -> bool {
    let required_time = Millis(load_estimate.0 + START_MARGIN.0);
    let mut jobs = jobs.iter();
    is_loaded
        || jobs
            .any(|job| now.since(job.since) >= window || job.deadline.since(now) <= required_time)
}

/// The queued, running and backed-off jobs of this router.
#[derive(Debug, Default)]
pub struct JobTracker {
    inner: Mutex<Inner>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    waiting: Vec<WaitingJob>,
    running: BTreeSet<JobId>,
    failures: BTreeMap<JobId, Failure>,
}

#[derive(Debug)]
struct Failure {
    count: u32,
    retry_at: Timestamp,
}

impl JobTracker {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the queued jobs by the list from a controller.
    pub fn set(&self, jobs: Vec<QueuedJob>, now: Timestamp) {
        let jobs = jobs.into_iter().map(|job| WaitingJob {
            job: job.job,
            deployment: job.deployment,
            since: now - job.waited,
            deadline: now + job.deadline_in,
        });
        let jobs: Vec<WaitingJob> = jobs.collect();
        let mut inner = self.lock();
        let is_listed = |job: &JobId| jobs.iter().any(|one| one.job == *job);
        inner.failures.retain(|job, _| is_listed(job));
        inner.waiting = jobs;
        drop(inner);
        self.changed.notify_one();
    }

    /// Waits until the list of queued jobs is replaced.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Number of jobs that run here.
    #[must_use]
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// Queued jobs that are neither running nor in backoff, by deployment.
    #[must_use]
    pub fn waiting(&self, now: Timestamp) -> BTreeMap<DeploymentName, Vec<WaitingJob>> {
        let inner = self.lock();
        let mut groups: BTreeMap<DeploymentName, Vec<WaitingJob>> = BTreeMap::new();
        for job in &inner.waiting {
            let in_backoff = inner.failures.get(&job.job);
            let in_backoff = in_backoff.is_some_and(|failure| failure.retry_at > now);
            if !in_backoff && !inner.running.contains(&job.job) {
                let group = groups.entry(job.deployment.clone()).or_default();
                group.push(job.clone());
            }
        }
        groups
    }

    /// Records the start of a job.
    pub fn begin(&self, job: &JobId) {
        self.lock().running.insert(job.clone());
    }

    /// Records the end of a job; a requeued job enters backoff.
    pub fn end(&self, job: &JobId, is_requeued: bool, now: Timestamp) {
        let mut inner = self.lock();
        inner.running.remove(job);
        inner.waiting.retain(|one| one.job != *job || is_requeued);
        if !is_requeued {
            inner.failures.remove(job);
            return;
        }
        let count = inner.failures.get(job).map_or(0, |failure| failure.count);
        let backoff = FIRST_BACKOFF.0 << count.min(16);
        let retry_at = now + Millis(backoff.min(MAX_BACKOFF.0));
        let failure = Failure {
            count: count + 1,
            retry_at,
        };
        inner.failures.insert(job.clone(), failure);
    }
}
