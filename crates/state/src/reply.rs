//! What applying a command gives back.

use crate::configuration::DocumentKey;
use courseshunt_types::{
    Attempt, DeploymentName, Digest, Fence, IdempotencyKey, Incarnation, JobId, Outcome,
    PriorityClass, RequestId, Revision, RouterId, RunnerId, TenantName, UnixMillis, Version,
};

/// A whole recorded answer.
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
    /// The request may be dispatched, once, by the router that asked.
    Granted,
    /// Another dispatch holds the claim.
    InProgress {
        /// Router that holds it.
        router: RouterId,
        /// Incarnation of that router.
        incarnation: Incarnation,
        /// Runner that it goes to.
        runner: RunnerId,
        /// Identity under which the runner got it.
        request: RequestId,
        /// Attempt under which the runner got it.
        attempt: Attempt,
    },
    /// It ran; this is the recorded answer.
    Recorded(StoredAnswer),
    /// It may have run; the answer is lost.
    Unknown,
    /// The same key was used with another body.
    Conflict,
    /// Nothing is claimed under the key.
    Free,
    /// The claim was given back before it was opened; it stays closed.
    Withdrawn,
}

/// Result of a command on a job.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum JobReply {
    /// Stored, leased, ended or cancelled, as asked.
    Accepted,
    /// There is no such job (any more).
    NotFound,
    /// The job is in a state in which the command does not apply.
    WrongState {
        /// That state's name.
        state: String,
    },
    /// The deadline has passed.
    DeadlinePassed,
    /// The lease is granted; this is the work.
    Leased(JobWork),
    /// The job as its tenant may see it.
    Found(JobView),
    /// The tenant's jobs, without answers.
    List(Vec<JobView>),
    /// The same job was submitted with another body.
    Conflict,
    /// As many jobs of the deployment wait as may.
    QueueFull,
}

/// What an executor needs of a job.
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
    /// Class.
    pub class: PriorityClass,
    /// Whether it may run once only.
    pub once_only: bool,
    /// When it was accepted.
    pub submitted_at: UnixMillis,
    /// To be done by then.
    pub deadline: UnixMillis,
    /// Committed time of the lease.
    pub now: UnixMillis,
}

/// A job as its tenant may see it.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct JobView {
    /// The job.
    pub job: JobId,
    /// The deployment.
    pub deployment: DeploymentName,
    /// Name of its state.
    pub state: String,
    /// Whether it ran.
    pub outcome: Outcome,
    /// When it was accepted.
    pub submitted_at: UnixMillis,
    /// To be done by then.
    pub deadline: UnixMillis,
    /// When it ended.
    pub ended_at: Option<UnixMillis>,
    /// Why it was refused, if it was.
    pub message: Option<String>,
    /// The answer, if there is one.
    pub answer: Option<StoredAnswer>,
}

/// Why a batch of documents was refused.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ConfigurationConflict {
    /// The same version is there with other content.
    SameVersion {
        /// The document.
        document: DocumentKey,
        /// The version.
        version: Version,
        /// Digest of the content that won.
        winner: Digest,
    },
    /// A higher version is there.
    LowerVersion {
        /// The document.
        document: DocumentKey,
        /// The current version.
        current: Version,
    },
    /// The change identity was used with other content.
    ChangeReused {
        /// Revision that the first use got.
        revision: Revision,
    },
    /// A document is wrong in itself or does not fit the others.
    Invalid {
        /// The document.
        document: DocumentKey,
        /// The faulty field.
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
    /// A batch of documents was refused.
    #[snafu(display("configuration refused: {conflict:?}"))]
    Configuration {
        /// Why.
        conflict: ConfigurationConflict,
    },
    /// The runner is not known or not in service.
    #[snafu(display("runner {runner} is not in service"))]
    RunnerNotLive {
        /// The runner.
        runner: RunnerId,
    },
    /// The memory would be overcommitted.
    #[snafu(display("runner {runner} has {free_mib} MiB free, {wanted_mib} MiB wanted"))]
    OutOfMemory {
        /// The runner.
        runner: RunnerId,
        /// Free memory, in MiB.
        free_mib: u64,
        /// Wanted memory, in MiB.
        wanted_mib: u64,
    },
    /// The deployment has all the replicas that its document allows.
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
    /// The resend is so old that its answer is forgotten.
    #[snafu(display("the answer to this command is forgotten"))]
    AnswerForgotten,
}

/// Result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum CommandReply {
    /// The batch is accepted under this revision.
    Configured {
        /// Revision of the batch; of the first answer for a resend.
        revision: Revision,
    },
    /// A decision on a replica, with its fence.
    Placed {
        /// Fence for orders.
        fence: Fence,
    },
    /// Result of a claim.
    Claim(ClaimReply),
    /// Result of a command on a job.
    Job(JobReply),
    /// Done, nothing to say.
    Done {
        /// Committed time.
        at: UnixMillis,
    },
    /// No effect.
    Refused(CommandError),
}
