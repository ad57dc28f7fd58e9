//! Deferred jobs.
//!
//! Invariant: an accepted job ends in exactly one visible way: answered,
//! unknown, cancelled, or missed its deadline; it stays until it expires.

use crate::command::JobEnd;
use crate::reply::{JobReply, StoredAnswer};
use courseshunt_types::{
    DeploymentName, Incarnation, JobId, Millis, PriorityClass, RouterId, TenantName, UnixMillis,
};
use std::collections::BTreeMap;

/// State of a job.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum JobState {
    /// Waits for an executor.
    Queued,
    /// Runs at a router.
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
    /// The deadline passed before it ran.
    DeadlineMissed,
}

impl JobState {
    /// Name for callers and operators.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Leased { .. } => "running",
            Self::Answered(_) => "done",
            Self::Unknown => "unknown",
            Self::Cancelled => "cancelled",
            Self::DeadlineMissed => "deadline_missed",
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
    /// The request body; emptied at the end.
    pub body: Vec<u8>,
    /// Class.
    pub class: PriorityClass,
    /// Whether it may run once only.
    pub once_only: bool,
    /// When it was accepted.
    pub submitted_at: UnixMillis,
    /// To be done by then.
    pub deadline: UnixMillis,
    /// How long the answer is kept after the end.
    pub keep: Millis,
    /// When it ended.
    pub ended_at: Option<UnixMillis>,
    /// State.
    pub state: JobState,
}

impl JobRecord {
    fn end(&mut self, state: JobState, now: UnixMillis) {
        self.state = state;
        self.ended_at = Some(now);
        self.body = Vec::new();
    }
}

/// All jobs.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Jobs {
    /// Jobs by identity.
    pub records: BTreeMap<JobId, JobRecord>,
}

impl Jobs {
    /// Stores a job; a resend of the same job changes nothing.
    pub fn submit(&mut self, job: &JobId, record: JobRecord) -> JobReply {
        if record.deadline <= record.submitted_at {
            return JobReply::DeadlinePassed;
        }
        self.records.entry(job.clone()).or_insert(record);
        JobReply::Accepted
    }

    /// Leases a queued job.
    pub fn lease(
        &mut self,
        job: &JobId,
        router: &RouterId,
        incarnation: Incarnation,
        until: UnixMillis,
    ) -> JobReply {
        let Some(record) = self.records.get_mut(job) else {
            return JobReply::NotFound;
        };
        let renewed = holds_lease(&record.state, router, incarnation);
        if record.state != JobState::Queued && !renewed {
            return wrong_state(&record.state);
        }
        record.state = JobState::Leased {
            router: router.clone(),
            incarnation,
            until,
        };
        JobReply::Accepted
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
            JobEnd::NotRun => record.state = JobState::Queued,
        }
        JobReply::Accepted
    }

    /// Cancels a job that has not ended.
    pub fn cancel(&mut self, job: &JobId, tenant: &TenantName, now: UnixMillis) -> JobReply {
        let record = self.records.get_mut(job);
        let Some(record) = record.filter(|record| record.tenant == *tenant) else {
            return JobReply::NotFound;
        };
        if record.state.ended() {
            return wrong_state(&record.state);
        }
        record.end(JobState::Cancelled, now);
        JobReply::Accepted
    }

    /// Ends leases and deadlines that have passed, and forgets old jobs.
    pub fn expire(&mut self, now: UnixMillis) {
        for record in self.records.values_mut() {
            expire_lease(record, now);
            if record.state == JobState::Queued && record.deadline <= now {
                record.end(JobState::DeadlineMissed, now);
            }
        }
        self.records.retain(|_, record| {
            let ended_at = record.ended_at;
            ended_at.is_none_or(|ended_at| ended_at + record.keep > now)
        });
    }
}

fn holds_lease(state: &JobState, router: &RouterId, incarnation: Incarnation) -> bool {
    match state {
        JobState::Leased {
            router: holder,
            incarnation: held,
            ..
        } => holder == router && *held == incarnation,
        _ => false,
    }
}

fn expire_lease(record: &mut JobRecord, now: UnixMillis) {
    let JobState::Leased { until, .. } = record.state else {
        return;
    };
    if until > now {
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
