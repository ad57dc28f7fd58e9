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

/// A command with the client and sequence number that identify a resend.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct CommandEnvelope {
    /// The sender. With an empty name, resends are not detected.
    pub client: ClientId,
    /// Sequence number of the command; a resend has the same one.
    pub sequence: ClientSequence,
    /// The client has received the replies to all commands below this number.
    pub acknowledged: ClientSequence,
    /// Wall-clock time of the leader when it appended the command.
    pub proposed_at: UnixMillis,
    /// The command.
    pub command: Command,
}

/// A change of, or a query to, the replicated state.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Command {
    /// Accepts a batch of documents, atomically.
    ChangeConfiguration(ChangeRequest),
    /// Records a runner. A new incarnation releases the replicas of the old one.
    RecordRunner(RunnerRecord),
    /// Records the state of a runner's machine. `Gone` releases its replicas.
    SetRunnerState {
        /// The runner.
        runner: RunnerId,
        /// Incarnation that the state belongs to.
        incarnation: Incarnation,
        /// The state.
        state: MachineState,
    },
    /// Places a replica on a runner and reserves its memory.
    PlaceReplica {
        /// The replica.
        replica: ReplicaKey,
        /// Memory to reserve, in MiB.
        memory_mib: u64,
    },
    /// Records that a replica is ready to serve.
    ConfirmReplica {
        /// The replica.
        replica: ReplicaKey,
        /// Fence of the placement.
        fence: Fence,
    },
    /// Starts the unloading of a replica. Its reservation stays until it is released.
    WithdrawReplica {
        /// The replica.
        replica: ReplicaKey,
        /// Fence of the placement.
        fence: Fence,
    },
    /// Records that the runner has freed the memory of a replica.
    ReleaseReplica {
        /// The replica.
        replica: ReplicaKey,
        /// Fence of the latest decision on the replica.
        fence: Fence,
    },
    /// Claims the exclusive right to run a once-only request on one runner.
    OpenClaim(Box<ClaimRequest>),
    /// Releases a claim whose request is proved not to have run. If the claim is
    /// not open yet, an `OpenClaim` that arrives later is refused.
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
        /// The complete answer; `None` when it is unknown whether the request ran.
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
        /// Maximum number of queued jobs of the deployment.
        queue_limit: u32,
        /// Class of the job.
        class: PriorityClass,
        /// Whether it may run at most once.
        once_only: bool,
        /// Time until the deadline.
        deadline_in: Millis,
        /// How long the answer is kept after the job ended.
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
        /// How the execution ended.
        end: JobEnd,
    },
    /// Cancels a job that has not ended.
    CancelJob {
        /// The job.
        job: JobId,
        /// The tenant that sent the request.
        tenant: TenantName,
    },
    /// Advances the committed time, so that leases, claims and jobs expire.
    AdvanceTime,
    /// Returns the claim under a key, without changing it.
    LookUpClaim {
        /// The tenant.
        tenant: TenantName,
        /// The key.
        key: IdempotencyKey,
        /// Digest of the request body.
        digest: Digest,
    },
    /// Returns a job to its tenant. If the job has ended, its answer counts as fetched.
    ViewJob {
        /// The job.
        job: JobId,
        /// The tenant that sent the request.
        tenant: TenantName,
    },
    /// Lists a tenant's jobs.
    ListJobs {
        /// The tenant that sent the request.
        tenant: TenantName,
        /// Maximum number of jobs to return.
        limit: u32,
    },
    /// Requests the planned shutdown of a router.
    DrainRouter {
        /// The router.
        router: RouterId,
        /// Its incarnation, if known; the request then does not apply to later ones.
        incarnation: Option<Incarnation>,
    },
    /// Records that a router has left after a planned shutdown.
    RouterLeft {
        /// The router.
        router: RouterId,
    },
    /// Stops new work for the current process of a runner.
    DrainRunner {
        /// The runner.
        runner: RunnerId,
    },
    /// Stores a service configuration if its number is higher than the stored one's.
    PutServices {
        /// The operator's number.
        number: u64,
        /// The document as the operator sent it.
        document: Vec<u8>,
    },
    /// Records that an instance of a service accepts no new work.
    RecordLeaving {
        /// The instance.
        instance: RunnerId,
        /// Whether it has reported that it terminates.
        ended: bool,
    },
    /// Records the leader's view of instances, so that its successor has them
    /// before they register again.
    RecordInstances {
        /// New or changed instances.
        changed: Vec<InstanceView>,
        /// Instances that are gone.
        gone: Vec<RunnerId>,
    },
    /// Records that a member is about to send orders to instances.
    HoldOrders {
        /// The member.
        member: ControllerId,
    },
    /// Records the address of a member of the control group.
    RecordMember {
        /// The member.
        member: ControllerId,
        /// `ip:port` of its wire port.
        wire_address: String,
    },
    /// Replaces the set of quarantined request contents.
    RecordQuarantine {
        /// The complete new set.
        contents: Vec<QuarantinedContent>,
    },
}

/// A claim for a once-only request.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ClaimRequest {
    /// The tenant; keys are scoped to it.
    pub tenant: TenantName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Digest of the request body.
    pub digest: Digest,
    /// Router that dispatches the request.
    pub router: RouterId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Runner that the request will go to.
    pub runner: RunnerId,
    /// Request identifier that is sent to the runner.
    pub request: RequestId,
    /// Attempt number that is sent to the runner.
    pub attempt: Attempt,
    /// How long the claim is kept.
    pub keep: Millis,
}

/// How a leased job ended.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum JobEnd {
    /// It ran; this is its answer.
    Answered(StoredAnswer),
    /// It is proved not to have run and is queued again.
    NotRun,
    /// It may have run, and is queued again since it may run more than once. A
    /// once-only job ends as unknown instead.
    Retry,
    /// It may have run.
    Unknown,
    /// The deadline passed before the end.
    DeadlineMissed {
        /// Whether it may have run.
        started: bool,
    },
    /// It was refused permanently, for example because its deployment was removed.
    Refused {
        /// Why.
        message: String,
        /// Whether it may have run.
        started: bool,
    },
}
