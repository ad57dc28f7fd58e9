//! Messages between the processes of a cluster.
//!
//! Invariant: the order of the variants of [`Message`] is their number on the wire, so new ones are
//! appended. Any other change of an archived type takes a new
//! [`PROTOCOL_VERSION`](crate::PROTOCOL_VERSION).

use courseshunt_consensus::{ConsensusMessage, MembershipChange};
use courseshunt_queue::{
    AttemptOutcome, DemandReport, Grant, GrantId, QueueKey, RunningGrant, Ticket, TicketRefusal,
};
use courseshunt_services::{
    FeedMessage, InstanceDigests, RelayedRegistration, RelayedReport, ReportMessage,
    ServiceVersions,
};
use courseshunt_state::{Command, CommandReply, StoredDeployment, TenantDocument};
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::{
    ClientSequence, ControllerId, DeploymentName, Epoch, GroupId, Incarnation, JobId, LogIndex,
    Millis, PriorityClass, RequestId, Revision, RouterId, RunnerId, Zone,
};

use std::collections::BTreeSet;

/// Number of a call, unique on one connection; the reply carries the same number.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct CallId(pub u64);

/// One message, the content of one frame.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Message {
    /// Controller to controller: consensus traffic of one group.
    Consensus {
        /// The consensus group.
        group: GroupId,
        /// The consensus message.
        message: ConsensusMessage,
    },
    /// Controller to controller: a client's command, forwarded to the leader.
    Forward {
        /// Echoed in the reply.
        call: CallId,
        /// The consensus group.
        group: GroupId,
        /// `rkyv` bytes of a `CommandEnvelope`.
        envelope: Vec<u8>,
    },
    /// Answers [`Message::Forward`].
    ForwardReply {
        /// Id of the call that this answers.
        call: CallId,
        /// The reply, or `None` when the outcome is unknown to the receiver.
        reply: Option<CommandReply>,
    },
    /// Router to controller: subscribes to the feed, starting after a revision.
    Subscribe(Subscribe),
    /// Controller to router: a change of the configuration, or all of it.
    Configuration(ConfigurationUpdate),
    /// Controller to router: changed replicas and runners, or all of them.
    Placement(PlacementUpdate),
    /// Controller to router: the live routers.
    Fleet(FleetUpdate),
    /// Controller to router: age of the feed's last confirmation by a quorum.
    FeedConfirmation {
        /// Time since the controller last confirmed contact with a quorum.
        age: Millis,
        /// Revision of the configuration at the time of that contact.
        revision: Revision,
    },
    /// Router to controller: a revision is in force at the router.
    Confirmed {
        /// Revision in force.
        revision: Revision,
    },
    /// Router to controller: demand of the queues that the router owns.
    Demand {
        /// One report for each queue whose demand changed.
        reports: Vec<DemandReport>,
    },
    /// Router to controller: a command for the ledger.
    Ledger {
        /// Echoed in the reply.
        call: CallId,
        /// The group that holds the key.
        group: GroupId,
        /// Sequence number of the command; a resend carries the same.
        sequence: ClientSequence,
        /// The router has received all replies below this number.
        acknowledged: ClientSequence,
        /// The ledger command.
        command: Command,
    },
    /// Answers [`Message::Ledger`].
    LedgerReply {
        /// Id of the call that this answers.
        call: CallId,
        /// Result of the command.
        result: LedgerResult,
    },
    /// Router to queue owner: a ticket for a queued request.
    Offer {
        /// Queue that the message concerns.
        queue: QueueKey,
        /// Ticket of the request.
        ticket: Ticket,
    },
    /// Router to queue owner: a queued request has been cancelled or has ended.
    CancelTicket {
        /// Queue that the message concerns.
        queue: QueueKey,
        /// Id of the request.
        request: RequestId,
    },
    /// Queue owner to router: permission to send a request.
    Granted {
        /// Queue that the message concerns.
        queue: QueueKey,
        /// Generation of the queue's ownership.
        epoch: Epoch,
        /// The permission, with its runner.
        grant: Grant,
    },
    /// Queue owner to router: a ticket is refused.
    Refused {
        /// Queue that the message concerns.
        queue: QueueKey,
        /// The refused ticket and the reason.
        refusal: TicketRefusal,
    },
    /// Router to queue owner: a granted request has started.
    GrantStarted {
        /// Queue that the message concerns.
        queue: QueueKey,
        /// Id of the grant.
        grant: GrantId,
    },
    /// Router to queue owner: a grant's slot is free again.
    GrantReturned {
        /// Queue that the message concerns.
        queue: QueueKey,
        /// Id of the grant.
        grant: GrantId,
        /// How the attempt ended; the owner updates the runner's health from it.
        outcome: AttemptOutcome,
    },
    /// Queue owner to router: the sender does not own this queue, or no longer does.
    NotOwner {
        /// Queue that the message concerns.
        queue: QueueKey,
        /// Tickets that must be offered to the owner again.
        requests: Vec<RequestId>,
    },
    /// Router to queue owner: the complete list of grants that run at the router.
    AdoptGrants {
        /// Queue that the message concerns.
        queue: QueueKey,
        /// All running grants of the queue at this router.
        grants: Vec<RunningGrant>,
    },
    /// Queue owner to router: the owner is stopping, and its queues have new owners.
    OwnerLeaving,
    /// Router to queue owner: liveness check.
    Ping,
    /// Answers [`Message::Ping`].
    Pong,
    /// Controller to leading controller: requests an index at which a read is
    /// linearizable.
    ReadIndex {
        /// Echoed in the reply.
        call: CallId,
        /// The consensus group.
        group: GroupId,
    },
    /// Answers [`Message::ReadIndex`].
    ReadIndexReply {
        /// Id of the call that this answers.
        call: CallId,
        /// The index, or `None` when the receiver can't confirm one.
        index: Option<LogIndex>,
    },
    /// Controller to leading controller: demand that a router reported to the sender.
    RelayedDemand {
        /// Router that reported the demand.
        router: RouterId,
        /// Demand reports of the router.
        reports: Vec<DemandReport>,
        /// Whether the router has left, which invalidates its previous reports.
        gone: bool,
    },
    /// Controller to the controller that opened the connection: keep-alive.
    PeerAlive,
    /// Controller to router: the queued jobs that the router is to execute.
    Jobs {
        /// Ordered by deadline, earliest first; replaces the jobs sent before.
        jobs: Vec<QueuedJob>,
    },
    /// Router to controller: the router is shutting down as planned and owns no queues any more.
    Leaving,
    /// Controller to router: drain, then shut down.
    Drain,
    /// Controller to controller: routers that are subscribed to the sender's feed.
    RouterReport(RouterReport),
    /// Controller to leading controller: a membership change requested by an operator.
    ChangeMembership {
        /// Echoed in the reply.
        call: CallId,
        /// The consensus group.
        group: GroupId,
        /// The requested change.
        change: MembershipChange,
    },
    /// Answers [`Message::ChangeMembership`].
    ChangeMembershipReply {
        /// Id of the call that this answers.
        call: CallId,
        /// Log index of the committed change, or the reason for the failure.
        result: Result<LogIndex, String>,
    },
    /// Controller to router: services, instances and their usage.
    ServiceFeed(FeedMessage),
    /// Router to controller: the router's usage of instances and the demand that it receives.
    ServiceReport(ReportMessage),
    /// Controller to leading controller: subscribes to the feed, to relay it to routers.
    FollowLeader {
        /// Zone of the sender.
        zone: Zone,
        /// Digests of the instances that the sender holds.
        known: InstanceDigests,
    },
    /// Controller to leading controller: reports of the routers that are connected to the sender.
    RelayedReports(Vec<RelayedReport>),
    /// Leading controller to controller: an answer for a router that is connected to the receiver.
    RelayedAnswer {
        /// Name of the router.
        router: String,
        /// Number of the router's connection at the receiver.
        session: u64,
        /// Message to pass on to the router.
        answer: FeedMessage,
    },
    /// Controller to leading controller: instances that registered at the sender.
    Registrations(Vec<RelayedRegistration>),
    /// Controller to leading controller: software versions of instances that registered at the
    /// sender. Has no reply.
    SoftwareVersions(Vec<ServiceVersions>),
    /// Answers [`Message::Registrations`].
    RegistrationsReply {
        /// Whether the sender is the leader; if not, it accepted none of the registrations.
        leads: bool,
        /// Instances whose previous registration the sender does not hold; each is sent again in
        /// full.
        missing: Vec<RunnerId>,
    },
    /// Controller to controller: a process with a new disk requests membership.
    Join {
        /// Id of the joining member.
        member: ControllerId,
        /// Wire address of the joining member, `ip:port`.
        wire_address: String,
    },
    /// Answers [`Message::Join`] with the members of the group. A process that is not a member
    /// itself answers with the processes whose addresses it has.
    Joined {
        /// Whether the sender is the leader and adds the member to the group.
        leads: bool,
        /// Wire address of the leader, if known to the sender.
        leader: Option<String>,
        /// Members with their wire addresses, `ip:port`.
        members: Vec<(ControllerId, String)>,
    },
}

/// A queued job, as sent to the router that executes it.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct QueuedJob {
    /// Id of the job.
    pub job: JobId,
    /// Deployment that the job calls.
    pub deployment: DeploymentName,
    /// Priority class.
    pub class: PriorityClass,
    /// Time since the job was accepted.
    pub waited: Millis,
    /// Time left until the job's deadline.
    pub deadline_in: Millis,
}

/// Routers that are subscribed to the feed of one controller.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RouterReport {
    /// Whether `routers` holds all routers of the sender, or only those that changed.
    pub full: bool,
    /// Names of all routers that are subscribed to the sender.
    pub present: BTreeSet<RouterId>,
    /// All routers, or those that changed since the previous report.
    pub routers: Vec<ReportedRouter>,
}

/// A live router, as controllers report it to each other.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ReportedRouter {
    /// The part that other routers receive.
    pub endpoint: RouterEndpoint,
    /// `ip:port` for clients.
    pub http_address: String,
    /// Revision of the configuration in force at the router.
    pub revision: Revision,
}

/// Result of a command for the ledger.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum LedgerResult {
    /// The command was committed.
    Committed(CommandReply),
    /// The receiver is not the leader and did not accept the command; send it to another
    /// controller.
    NotLeader {
        /// Wire address of the leader, `ip:port`, if known.
        leader: Option<String>,
    },
    /// The command may or may not be committed; the reply to a resend shows which.
    Undecided,
}

/// A router's subscription to the feed.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Subscribe {
    /// The router.
    pub router: RouterId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// `ip:port` of its wire port, for other routers.
    pub wire_address: String,
    /// `ip:port` for clients.
    pub http_address: String,
    /// Its zone.
    pub zone: Zone,
    /// Last revision of the configuration that the router holds; 0 for none.
    pub revision: Revision,
    /// Log index of the placement that the router holds; 0 for none.
    pub placement: LogIndex,
}

/// A change of the configuration, or the whole configuration.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ConfigurationUpdate {
    /// Whether the update replaces the whole configuration that the router holds.
    pub full: bool,
    /// Revision after the update.
    pub revision: Revision,
    /// New or changed deployments.
    pub deployments: Vec<StoredDeployment>,
    /// Removed deployments.
    pub removed: Vec<DeploymentName>,
    /// All tenants if any of them changed.
    pub tenants: Option<Vec<TenantDocument>>,
    /// Whether more parts of the same update follow.
    pub more: bool,
}

/// Replicas and runners. An update with a higher `sequence` supersedes one with a lower.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct PlacementUpdate {
    /// Log index of the state that the update was made from.
    pub sequence: LogIndex,
    /// Whether the update replaces all replicas and runners that the router holds.
    pub full: bool,
    /// Changed runners.
    pub runners: Vec<RunnerEndpoint>,
    /// Changed deployments, each with all its replicas.
    pub deployments: Vec<DeploymentReplicas>,
}

/// A runner, as sent to routers.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RunnerEndpoint {
    /// The runner.
    pub runner: RunnerId,
    /// `ip:port` of its HTTP interface.
    pub address: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// State of its machine.
    pub state: MachineState,
}

/// Replicas of one deployment.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct DeploymentReplicas {
    /// The deployment.
    pub deployment: DeploymentName,
    /// Runners with a ready replica.
    pub ready: Vec<RunnerId>,
    /// Replicas that are being loaded.
    pub loading: Vec<LoadingReplica>,
}

/// A replica that is being loaded.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LoadingReplica {
    /// Runner that is loading the replica.
    pub runner: RunnerId,
    /// Estimated time until the load is complete.
    pub remaining: Millis,
}

/// The list of live routers.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct FleetUpdate {
    /// Number of the list; increases with each change.
    pub epoch: Epoch,
    /// All live routers.
    pub routers: Vec<RouterEndpoint>,
}

/// A router, as sent to other routers.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RouterEndpoint {
    /// The router.
    pub router: RouterId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// `ip:port` of its wire port.
    pub wire_address: String,
    /// Its zone.
    pub zone: Zone,
    /// Whether the router is shutting down and owns no queues any more.
    pub leaving: bool,
}
