//! Results of applying commands.

use crate::configuration::DocumentKey;
use courseshunt_types::{
    Attempt, DeploymentName, Digest, Fence, IdempotencyKey, Incarnation, JobId, Outcome,
    PriorityClass, RequestId, Revision, RouterId, RunnerId, TenantName, UnixMillis, Version,
};

/// A complete recorded HTTP response.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `content-type`.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Result of a claim.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ClaimReply {
    /// The router that opened the claim may dispatch the request, once.
    Granted,
    /// Another dispatch holds the claim.
    InProgress {
        /// Router that holds it.
        router: RouterId,
        /// Incarnation of that router.
        incarnation: Incarnation,
        /// Runner that the request was dispatched to.
        runner: RunnerId,
        /// Request identifier that was sent to the runner.
        request: RequestId,
        /// Attempt number that was sent to the runner.
        attempt: Attempt,
    },
    /// It ran; this is the recorded answer.
    Recorded(StoredAnswer),
    /// It may have run; the answer is lost.
    Unknown,
    /// The same key was used with another body.
    Conflict,
    /// There is no claim under the key.
    Free,
    /// The claim was released before it was opened, and can't be opened any more.
    Withdrawn,
}

/// Result of a command on a job.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum JobReply {
    /// The job was stored, its lease was renewed or its end was recorded.
    Accepted,
    /// There is no such job of the tenant, or it has expired.
    NotFound,
    /// The job is in a state in which the command does not apply.
    WrongState {
        /// Name of the current state.
        state: String,
    },
    /// The deadline has passed.
    DeadlinePassed,
    /// The lease is granted; this is the work.
    Leased(JobWork),
    /// The job as shown to its tenant.
    Found(JobView),
    /// The tenant's jobs, without answers.
    List(Vec<JobView>),
    /// The same job was submitted with another body.
    Conflict,
    /// The deployment has the maximum number of queued jobs.
    QueueFull,
}

/// A leased job, as needed by its executor.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct JobWork {
    /// The tenant.
    pub tenant: TenantName,
    /// The deployment.
    pub deployment: DeploymentName,
    /// Path at the runner.
    pub path: String,
    /// The request body.
    pub body: Vec<u8>,
    /// Priority class.
    pub class: PriorityClass,
    /// Whether it may run at most once.
    pub once_only: bool,
    /// When it was accepted.
    pub submitted_at: UnixMillis,
    /// Deadline.
    pub deadline: UnixMillis,
    /// Committed time at which the lease was granted.
    pub now: UnixMillis,
}

/// A job as shown to its tenant.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct JobView {
    /// The job.
    pub job: JobId,
    /// The deployment.
    pub deployment: DeploymentName,
    /// Name of its state.
    pub state: String,
    /// Whether it ran, as far as is known.
    pub outcome: Outcome,
    /// When it was accepted.
    pub submitted_at: UnixMillis,
    /// Deadline.
    pub deadline: UnixMillis,
    /// When it ended.
    pub ended_at: Option<UnixMillis>,
    /// Why it was refused, if it was.
    pub message: Option<String>,
    /// The answer, if there is one.
    pub answer: Option<StoredAnswer>,
}

/// Why a batch of documents was rejected.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ConfigurationConflict {
    /// The same version exists with other content.
    SameVersion {
        /// The document.
        document: DocumentKey,
        /// The version.
        version: Version,
        /// Digest of the content that was accepted under the version.
        winner: Digest,
    },
    /// A higher version was already accepted.
    LowerVersion {
        /// The document.
        document: DocumentKey,
        /// The current version.
        current: Version,
    },
    /// The change identifier was already used with other content.
    ChangeReused {
        /// Revision of the batch that first used it.
        revision: Revision,
    },
    /// A document is invalid, or inconsistent with the others.
    Invalid {
        /// The document.
        document: DocumentKey,
        /// The invalid field.
        field: String,
        /// What is wrong.
        problem: String,
    },
}

/// Why a command had no effect.
#[derive(
    Debug, Clone, PartialEq, Eq, snafu::Snafu, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub enum CommandError {
    /// A batch of documents was rejected.
    #[snafu(display("configuration refused: {conflict:?}"))]
    Configuration {
        /// Why.
        conflict: ConfigurationConflict,
    },
    /// The runner is unknown or not in service.
    #[snafu(display("runner {runner} is not in service"))]
    RunnerNotLive {
        /// The runner.
        runner: RunnerId,
    },
    /// The runner does not have enough free memory.
    #[snafu(display("runner {runner} has {free_mib} MiB free, {wanted_mib} MiB wanted"))]
    OutOfMemory {
        /// The runner.
        runner: RunnerId,
        /// Free memory, in MiB.
        free_mib: u64,
        /// Wanted memory, in MiB.
        wanted_mib: u64,
    },
    /// The deployment has the maximum number of replicas of its document.
    #[snafu(display("deployment {deployment} has {limit} replicas, its maximum"))]
    ReplicaLimit {
        /// The deployment.
        deployment: DeploymentName,
        /// The limit.
        limit: u32,
    },
    /// The deployment is not configured.
    #[snafu(display("deployment {deployment} is not configured"))]
    UnknownDeployment {
        /// The deployment.
        deployment: DeploymentName,
    },
    /// The replica exists already.
    #[snafu(display("the replica exists already under fence {fence}"))]
    ReplicaExists {
        /// Its fence.
        fence: Fence,
    },
    /// No replica has this fence.
    #[snafu(display("no replica has fence {fence}"))]
    StaleFence {
        /// The fence.
        fence: Fence,
    },
    /// No open claim of this router has this key.
    #[snafu(display("no open claim under key {key}"))]
    UnknownClaim {
        /// The key.
        key: IdempotencyKey,
    },
    /// The command is a resend whose reply is no longer kept.
    #[snafu(display("the answer to this command is forgotten"))]
    AnswerForgotten,
}

/// Result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum CommandReply {
    /// The batch is accepted under this revision.
    Configured {
        /// Revision of the batch; for a resend, that of the original.
        revision: Revision,
    },
    /// A decision on a replica, with its fence.
    Placed {
        /// Fence for orders on the replica.
        fence: Fence,
    },
    /// Result of a claim.
    Claim(ClaimReply),
    /// Result of a command on a job.
    Job(JobReply),
    /// Applied; there is no further result.
    Done {
        /// Committed time.
        at: UnixMillis,
    },
    /// The command had no effect.
    Refused(CommandError),
}
