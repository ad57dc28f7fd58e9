//! Commands of the replicated log.

use crate::configuration::ChangeRequest;
use crate::placement::RunnerRecord;
use crate::reply::StoredAnswer;
use courseshunt_services::{InstanceView, QuarantinedContent};
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::{
    Attempt, ClientId, ClientSequence, ControllerId, DeploymentName, Digest, Fence, IdempotencyKey,
    Incarnation, JobId, Millis, PriorityClass, ReplicaKey, RequestId, RouterId, RunnerId,
    TenantName, UnixMillis,
};

/// A command with what is needed to recognise a resend.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct CommandEnvelope {
    /// Who sends it. An empty name means that resends need not be recognised.
    pub client: ClientId,
    /// Number of the command; a resend has the same one.
    pub sequence: ClientSequence,
    /// The client has the answers to all commands below this number.
    pub acknowledged: ClientSequence,
    /// Wall clock of the leader that appended the command.
    pub proposed_at: UnixMillis,
    /// The command.
    pub command: Command,
}

/// What a command changes.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Command {
    /// Accepts a batch of documents, whole or not at all.
    ChangeConfiguration(ChangeRequest),
    /// Records a runner. A new incarnation releases what the old one held.
    RecordRunner(RunnerRecord),
    /// Records the state of a runner's machine. `Gone` releases what it held.
    SetRunnerState {
        /// The runner.
        runner: RunnerId,
        /// Incarnation that the state belongs to.
        incarnation: Incarnation,
        /// The state.
        state: MachineState,
    },
    /// Decides one more replica and reserves its memory.
    PlaceReplica {
        /// The replica.
        replica: ReplicaKey,
        /// Memory to reserve, in MiB.
        memory_mib: u64,
    },
    /// Records that a replica serves.
    ConfirmReplica {
        /// The replica.
        replica: ReplicaKey,
        /// Fence of the decision.
        fence: Fence,
    },
    /// Decides to unload a replica. Its reservation stays until released.
    WithdrawReplica {
        /// The replica.
        replica: ReplicaKey,
        /// Fence of the decision that placed it.
        fence: Fence,
    },
    /// Records that the runner has freed the memory of a replica.
    ReleaseReplica {
        /// The replica.
        replica: ReplicaKey,
        /// Fence of the latest decision on it.
        fence: Fence,
    },
    /// Claims the right to run a once-only request on one runner.
    OpenClaim(Box<ClaimRequest>),
    /// Gives a claim back, proved not run. A claim that is not open yet is
    /// fenced: an opening that arrives later is refused.
    ReleaseClaim {
        /// The tenant.
        tenant: TenantName,
        /// The key.
        key: IdempotencyKey,
        /// The request that opened it.
        request: RequestId,
        /// Its attempt.
        attempt: Attempt,
    },
    /// Records the answer of a claimed request.
    FinishClaim {
        /// The tenant.
        tenant: TenantName,
        /// The key.
        key: IdempotencyKey,
        /// The request that opened it.
        request: RequestId,
        /// Its attempt.
        attempt: Attempt,
        /// The whole answer; `None` when it is unknown whether it ran.
        answer: Option<StoredAnswer>,
    },
    /// Stores a deferred job.
    SubmitJob {
        /// The job.
        job: JobId,
        /// The tenant.
        tenant: TenantName,
        /// The deployment.
        deployment: DeploymentName,
        /// Path at the runner.
        path: String,
        /// The request body.
        body: Vec<u8>,
        /// Jobs of the deployment that may wait at the most.
        queue_limit: u32,
        /// Class of the job.
        class: PriorityClass,
        /// Whether it may run once only.
        once_only: bool,
        /// To be done within this time.
        deadline_in: Millis,
        /// How long the answer is kept after the end.
        keep: Millis,
    },
    /// Leases a queued job to a router.
    LeaseJob {
        /// The job.
        job: JobId,
        /// The executor.
        router: RouterId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Length of the lease.
        length: Millis,
    },
    /// Records the end of a leased job.
    FinishJob {
        /// The job.
        job: JobId,
        /// The executor.
        router: RouterId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// How it ended.
        end: JobEnd,
    },
    /// Cancels a job that has not ended.
    CancelJob {
        /// The job.
        job: JobId,
        /// The tenant that asks.
        tenant: TenantName,
    },
    /// Moves committed time on, so that leases, claims and jobs expire.
    AdvanceTime,
    /// Tells what became of a key, and changes nothing.
    LookUpClaim {
        /// The tenant.
        tenant: TenantName,
        /// The key.
        key: IdempotencyKey,
        /// Digest of the request body.
        digest: Digest,
    },
    /// Shows a job to its tenant. The answer of an ended job counts as fetched.
    ViewJob {
        /// The job.
        job: JobId,
        /// The tenant that asks.
        tenant: TenantName,
    },
    /// Lists a tenant's jobs.
    ListJobs {
        /// The tenant that asks.
        tenant: TenantName,
        /// Jobs at the most.
        limit: u32,
    },
    /// Asks a router to stop as planned.
    DrainRouter {
        /// The router.
        router: RouterId,
        /// Its incarnation, if known; later ones are not told then.
        incarnation: Option<Incarnation>,
    },
    /// Records that a router stops as planned.
    RouterLeft {
        /// The router.
        router: RouterId,
    },
    /// Asks for no new work for a runner's present process.
    DrainRunner {
        /// The runner.
        runner: RunnerId,
    },
    /// Takes a service configuration over if its number is above the held one's.
    PutServices {
        /// The operator's number.
        number: u64,
        /// The document, in the operator's form.
        document: Vec<u8>,
    },
    /// Records that an instance of a service takes no more work.
    RecordLeaving {
        /// The instance.
        instance: RunnerId,
        /// Whether it has said that it ends.
        ended: bool,
    },
    /// Records instances as the leader sees them, so that its successor knows
    /// them before they register again.
    RecordInstances {
        /// New or changed.
        changed: Vec<InstanceView>,
        /// No longer there.
        gone: Vec<RunnerId>,
    },
    /// Records that a member is about to give orders to instances.
    HoldOrders {
        /// The member.
        member: ControllerId,
    },
    /// Records where a member of the control group is found.
    RecordMember {
        /// The member.
        member: ControllerId,
        /// `ip:port` of its wire port.
        wire_address: String,
    },
    /// Records which contents of requests are in quarantine, in place of those before.
    RecordQuarantine {
        /// All of them.
        contents: Vec<QuarantinedContent>,
    },
}

/// What is claimed for a once-only request.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ClaimRequest {
    /// The tenant; keys of different tenants never meet.
    pub tenant: TenantName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Digest of the request body.
    pub digest: Digest,
    /// Router that dispatches.
    pub router: RouterId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Runner that the request will go to.
    pub runner: RunnerId,
    /// Identity under which the runner gets it.
    pub request: RequestId,
    /// Attempt under which the runner gets it.
    pub attempt: Attempt,
    /// How long the claim is kept.
    pub keep: Millis,
}

/// How a leased job ended.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum JobEnd {
    /// It ran; this is its answer.
    Answered(StoredAnswer),
    /// It is proved not to have run; it is queued again.
    NotRun,
    /// It may have run, and may run again: it is queued again. A once-only job
    /// becomes unknown.
    Retry,
    /// It may have run.
    Unknown,
    /// The deadline passed before the end.
    DeadlineMissed {
        /// Whether it may have run.
        started: bool,
    },
    /// It was refused for good, such as for a deployment that is gone.
    Refused {
        /// Why.
        message: String,
        /// Whether it may have run.
        started: bool,
    },
}
