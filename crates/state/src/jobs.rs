//! Deferred jobs.
//!
//! Invariant: an accepted job ends in exactly one visible state: answered,
//! unknown, cancelled, refused or deadline missed. It is kept until it was
//! fetched or expires. A once-only job is leased at most once, unless its
//! executor proved that it did not run.

use crate::command::JobEnd;
use crate::reply::{JobReply, JobView, JobWork, StoredAnswer};
use courseshunt_types::{
    DeploymentName, Digest, Incarnation, JobId, Millis, Outcome, PriorityClass, RouterId,
    TenantName, UnixMillis,
};
use std::collections::{BTreeMap, BTreeSet};

/// How long the answer of a fetched job is kept, so that a caller who lost it can
/// fetch it again.
pub const FETCHED_KEEP: Millis = Millis::from_secs(10 * 60);

/// State of a job.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum JobState {
    /// Queued for an executor.
    Queued,
    /// Leased to a router, which executes it.
    Leased {
        /// The executor.
        router: RouterId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// End of the lease.
        until: UnixMillis,
    },
    /// It ran; this is its answer.
    Answered(StoredAnswer),
    /// It may have run.
    Unknown,
    /// The tenant cancelled it.
    Cancelled,
    /// The deadline passed before the end.
    DeadlineMissed,
    /// It was refused permanently, with this message.
    Refused(String),
}

impl JobState {
    /// Name shown to callers and operators.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Leased { .. } => "running",
            Self::Answered(_) => "done",
            Self::Unknown => "unknown",
            Self::Cancelled => "cancelled",
            Self::DeadlineMissed => "deadline_missed",
            Self::Refused(_) => "refused",
        }
    }

    /// Whether the job has ended.
    #[must_use]
    pub fn ended(&self) -> bool {
        !matches!(self, Self::Queued | Self::Leased { .. })
    }
}

/// One job.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct JobRecord {
    /// The tenant.
    pub tenant: TenantName,
    /// The deployment.
    pub deployment: DeploymentName,
    /// Path at the runner.
    pub path: String,
    /// The request body; empty once the job has ended.
    pub body: Vec<u8>,
    /// Digest of the body.
    pub digest: Digest,
    /// Priority class.
    pub class: PriorityClass,
    /// Whether it may run at most once.
    pub once_only: bool,
    /// When it was accepted.
    pub submitted_at: UnixMillis,
    /// Deadline.
    pub deadline: UnixMillis,
    /// How long the answer is kept after the job ended.
    pub keep: Millis,
    /// When it ended.
    pub ended_at: Option<UnixMillis>,
    /// When the record is removed; set once the job has ended.
    pub expires_at: Option<UnixMillis>,
    /// Whether it may have run.
    pub started: bool,
    /// Current state.
    pub state: JobState,
}

impl JobRecord {
    fn end(&mut self, state: JobState, now: UnixMillis) {
        self.state = state;
        self.ended_at = Some(now);
        self.expires_at = Some(now + self.keep);
        self.body = Vec::new();
    }

    fn outcome(&self) -> Outcome {
        match &self.state {
            JobState::Answered(_) => Outcome::Done,
            _ if self.started => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    fn view(&self, job: &JobId, with_answer: bool) -> JobView {
        let answer = match &self.state {
            JobState::Answered(answer) if with_answer => Some(answer.clone()),
            _ => None,
        };
        let message = match &self.state {
            JobState::Refused(message) => Some(message.clone()),
            _ => None,
        };
        JobView {
            job: job.clone(),
            deployment: self.deployment.clone(),
            state: self.state.as_str().to_owned(),
            outcome: self.outcome(),
            submitted_at: self.submitted_at,
            deadline: self.deadline,
            ended_at: self.ended_at,
            message,
            answer,
        }
    }

    fn work(&self, now: UnixMillis) -> JobWork {
        JobWork {
            tenant: self.tenant.clone(),
            deployment: self.deployment.clone(),
            path: self.path.clone(),
            body: self.body.clone(),
            class: self.class,
            once_only: self.once_only,
            submitted_at: self.submitted_at,
            deadline: self.deadline,
            now,
        }
    }

    /// The next time at which [`Jobs::expire`] must check the job.
    fn next_check_at(&self) -> UnixMillis {
        match &self.state {
            JobState::Queued => self.deadline,
            JobState::Leased { until, .. } => *until,
            _ => self.expires_at.unwrap_or(self.deadline),
        }
    }
}

/// All jobs.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Jobs {
    /// Jobs by identity.
    pub records: BTreeMap<JobId, JobRecord>,
    /// Queued jobs by deployment.
    queued: BTreeMap<DeploymentName, BTreeSet<JobId>>,
    /// Increases with each change of the set of queued jobs.
    pub queue_revision: u64,
    /// Jobs to check by time, in milliseconds since the epoch. An entry may be
    /// outdated; the record is authoritative.
    expiring: BTreeMap<u64, Vec<JobId>>,
}

impl Jobs {
    /// Stores a job. A resend of the same job has no effect.
    pub fn submit(&mut self, job: &JobId, record: JobRecord, queue_limit: u32) -> JobReply {
        if let Some(existing) = self.records.get(job) {
            let same = existing.tenant == record.tenant && existing.digest == record.digest;
            return match same {
                true => JobReply::Accepted,
                false => JobReply::Conflict,
            };
        }
        if record.deadline <= record.submitted_at {
            return JobReply::DeadlinePassed;
        }
        if self.queued_count(&record.deployment) >= queue_limit as usize {
            return JobReply::QueueFull;
        }
        self.records.insert(job.clone(), record);
        self.reindex(job);
        JobReply::Accepted
    }

    fn queued_count(&self, deployment: &DeploymentName) -> usize {
        self.queued.get(deployment).map_or(0, BTreeSet::len)
    }

    /// The queued jobs, by deployment.
    pub fn queued(&self) -> impl Iterator<Item = (&JobId, &JobRecord)> {
        let jobs = self.queued.values().flatten();
        jobs.filter_map(|job| Some((job, self.records.get(job)?)))
    }

    /// Updates the indexes after a change of a record.
    fn reindex(&mut self, job: &JobId) {
        let Some(record) = self.records.get(job) else {
            return;
        };
        let changed = match record.state {
            JobState::Queued => {
                let queue = self.queued.entry(record.deployment.clone()).or_default();
                queue.insert(job.clone())
            }
            _ => remove_queued(&mut self.queued, &record.deployment, job),
        };
        self.queue_revision += u64::from(changed);
        let due = self.expiring.entry(record.next_check_at().0).or_default();
        due.push(job.clone());
    }

    /// Leases a queued job, or renews a lease.
    pub fn lease(
        &mut self,
        job: &JobId,
        router: &RouterId,
        incarnation: Incarnation,
        until: UnixMillis,
        now: UnixMillis,
    ) -> JobReply {
        let Some(record) = self.records.get_mut(job) else {
            return JobReply::NotFound;
        };
        let renewed = holds_lease(&record.state, router, incarnation);
        if record.state != JobState::Queued && !renewed {
            return wrong_state(&record.state);
        }
        if !renewed && record.deadline <= now {
            return JobReply::DeadlinePassed;
        }
        record.state = JobState::Leased {
            router: router.clone(),
            incarnation,
            until,
        };
        record.started = true;
        let work = record.work(now);
        self.reindex(job);
        match renewed {
            true => JobReply::Accepted,
            false => JobReply::Leased(work),
        }
    }

    /// Ends a leased job.
    pub fn finish(
        &mut self,
        job: &JobId,
        router: &RouterId,
        incarnation: Incarnation,
        end: &JobEnd,
        now: UnixMillis,
    ) -> JobReply {
        let Some(record) = self.records.get_mut(job) else {
            return JobReply::NotFound;
        };
        let late_answer = record.state == JobState::Unknown && matches!(end, JobEnd::Answered(_));
        if !late_answer && !holds_lease(&record.state, router, incarnation) {
            return wrong_state(&record.state);
        }
        match end {
            JobEnd::Answered(answer) => record.end(JobState::Answered(answer.clone()), now),
            JobEnd::Unknown => record.end(JobState::Unknown, now),
            JobEnd::NotRun => {
                record.state = JobState::Queued;
                record.started = false;
            }
            JobEnd::Retry if record.once_only => record.end(JobState::Unknown, now),
            JobEnd::Retry => record.state = JobState::Queued,
            JobEnd::DeadlineMissed { started } => {
                record.started = *started;
                record.end(JobState::DeadlineMissed, now);
            }
            JobEnd::Refused { message, started } => {
                record.started = *started;
                record.end(JobState::Refused(message.clone()), now);
            }
        }
        self.reindex(job);
        JobReply::Accepted
    }

    /// Cancels a job that has not ended. A leased job may have run.
    pub fn cancel(&mut self, job: &JobId, tenant: &TenantName, now: UnixMillis) -> JobReply {
        let record = self.records.get_mut(job);
        let Some(record) = record.filter(|record| record.tenant == *tenant) else {
            return JobReply::NotFound;
        };
        if record.state.ended() {
            return wrong_state(&record.state);
        }
        record.end(JobState::Cancelled, now);
        let view = record.view(job, false);
        self.reindex(job);
        JobReply::Found(view)
    }

    /// Returns a job to its tenant. One that has ended then expires after
    /// [`FETCHED_KEEP`] at the latest.
    pub fn view(&mut self, job: &JobId, tenant: &TenantName, now: UnixMillis) -> JobReply {
        let record = self.records.get_mut(job);
        let Some(record) = record.filter(|record| record.tenant == *tenant) else {
            return JobReply::NotFound;
        };
        let view = record.view(job, true);
        if record.state.ended() {
            let fetched = now + FETCHED_KEEP;
            record.expires_at = record.expires_at.map(|at| at.min(fetched));
            self.reindex(job);
        }
        JobReply::Found(view)
    }

    /// A tenant's jobs, without answers.
    #[must_use]
    pub fn list(&self, tenant: &TenantName, limit: u32) -> JobReply {
        let records = self.records.iter();
        let own = records.filter(|(_, record)| record.tenant == *tenant);
        let views = own.map(|(job, record)| record.view(job, false));
        JobReply::List(views.take(limit as usize).collect())
    }

    /// When the next job must be checked.
    #[must_use]
    pub fn next_expiry(&self) -> Option<UnixMillis> {
        self.expiring.keys().next().copied().map(UnixMillis)
    }

    /// Ends expired leases, applies missed deadlines and removes expired jobs.
    pub fn expire(&mut self, now: UnixMillis) {
        let later = self.expiring.split_off(&(now.0 + 1));
        let due = std::mem::replace(&mut self.expiring, later);
        for job in due.into_values().flatten() {
            self.expire_one(&job, now);
        }
    }

    fn expire_one(&mut self, job: &JobId, now: UnixMillis) {
        let Some(record) = self.records.get_mut(job) else {
            return;
        };
        if record.next_check_at() > now {
            return;
        }
        if record.state.ended() {
            self.records.remove(job);
            return;
        }
        expire_lease(record, now);
        if record.state == JobState::Queued && record.deadline <= now {
            record.end(JobState::DeadlineMissed, now);
        }
        self.reindex(job);
    }
}

fn remove_queued(
    queued: &mut BTreeMap<DeploymentName, BTreeSet<JobId>>,
    deployment: &DeploymentName,
    job: &JobId,
) -> bool {
    let Some(queue) = queued.get_mut(deployment) else {
        return false;
    };
    let removed = queue.remove(job);
    if queue.is_empty() {
        queued.remove(deployment);
    }
    removed
}

fn holds_lease(state: &JobState, router: &RouterId, incarnation: Incarnation) -> bool {
    match state {
        JobState::Leased {
            router: holder,
            incarnation: lease_incarnation,
            ..
        } => holder == router && *lease_incarnation == incarnation,
        _ => false,
    }
}

/// Ends the lease of a lost executor. A repeatable job is queued again; a
/// once-only job may have run and becomes unknown.
fn expire_lease(record: &mut JobRecord, now: UnixMillis) {
    if !matches!(record.state, JobState::Leased { .. }) {
        return;
    }
    if record.once_only {
        record.end(JobState::Unknown, now);
    } else {
        record.state = JobState::Queued;
    }
}

fn wrong_state(state: &JobState) -> JobReply {
    JobReply::WrongState {
        state: state.as_str().to_owned(),
    }
}
