//! The queued jobs that this router is to execute, and when to begin.

use courseshunt_types::{DeploymentName, JobId, Millis, Timestamp};
use courseshunt_wire::message::QueuedJob;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Time before the last moment for a start at which a job is begun.
const START_MARGIN: Millis = Millis::from_secs(10);
/// Pause after the first failure of a job; each further one takes twice as long.
const FIRST_PAUSE: Millis = Millis::from_secs(1);
/// Longest pause.
const LONGEST_PAUSE: Millis = Millis::from_secs(60);

/// A queued job, in this process's time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingJob {
    /// The job.
    pub job: JobId,
    /// Its deployment.
    pub deployment: DeploymentName,
    /// When it was accepted.
    pub since: Timestamp,
    /// Its deadline.
    pub deadline: Timestamp,
}

/// Whether the jobs of a deployment should begin: its model is loaded anyway,
/// the oldest has waited for the whole window, or a deadline comes near. Then
/// all of them begin, so that one load serves many.
#[must_use]
pub fn is_due(
    jobs: &[WaitingJob],
    is_loaded: bool,
    window: Millis,
    load_estimate: Millis,
    now: Timestamp,
) -> bool {
    let lead = Millis(load_estimate.0 + START_MARGIN.0);
    let mut jobs = jobs.iter();
    is_loaded || jobs.any(|job| now.since(job.since) >= window || job.deadline.since(now) <= lead)
}

/// See the module.
#[derive(Debug, Default)]
pub struct JobBoard {
    inner: Mutex<Inner>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    waiting: Vec<WaitingJob>,
    running: BTreeSet<JobId>,
    failed: BTreeMap<JobId, Failure>,
}

#[derive(Debug)]
struct Failure {
    times: u32,
    again_at: Timestamp,
}

impl JobBoard {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the queued jobs by what a controller told.
    pub fn set(&self, jobs: Vec<QueuedJob>, now: Timestamp) {
        let jobs = jobs.into_iter().map(|job| WaitingJob {
            job: job.job,
            deployment: job.deployment,
            since: now - job.waited,
            deadline: now + job.deadline_in,
        });
        let jobs: Vec<WaitingJob> = jobs.collect();
        let mut inner = self.lock();
        let told = |job: &JobId| jobs.iter().any(|one| one.job == *job);
        inner.failed.retain(|job, _| told(job));
        inner.waiting = jobs;
        drop(inner);
        self.changed.notify_one();
    }

    /// Waits until jobs may have become due.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Jobs that run here.
    #[must_use]
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// Waiting jobs that may begin now, by deployment.
    #[must_use]
    pub fn waiting(&self, now: Timestamp) -> BTreeMap<DeploymentName, Vec<WaitingJob>> {
        let inner = self.lock();
        let mut groups: BTreeMap<DeploymentName, Vec<WaitingJob>> = BTreeMap::new();
        for job in &inner.waiting {
            let pauses = inner.failed.get(&job.job);
            let pauses = pauses.is_some_and(|failure| failure.again_at > now);
            if !pauses && !inner.running.contains(&job.job) {
                let group = groups.entry(job.deployment.clone()).or_default();
                group.push(job.clone());
            }
        }
        groups
    }

    /// Notes the begin of a job.
    pub fn begin(&self, job: &JobId) {
        self.lock().running.insert(job.clone());
    }

    /// Notes the end of a job; one that goes back to the queue rests a while.
    pub fn end(&self, job: &JobId, goes_back: bool, now: Timestamp) {
        let mut inner = self.lock();
        inner.running.remove(job);
        inner.waiting.retain(|one| one.job != *job || goes_back);
        if !goes_back {
            inner.failed.remove(job);
            return;
        }
        let times = inner.failed.get(job).map_or(0, |failure| failure.times);
        let pause = FIRST_PAUSE.0 << times.min(16);
        let again_at = now + Millis(pause.min(LONGEST_PAUSE.0));
        let failure = Failure {
            times: times + 1,
            again_at,
        };
        inner.failed.insert(job.clone(), failure);
    }
}
