//! Messages between the processes.

use courseshunt_consensus::{ConsensusMessage, MembershipChange};
use courseshunt_queue::{
    AttemptOutcome, DemandReport, Grant, GrantId, QueueKey, RunningGrant, Ticket, TicketRefusal,
};
use courseshunt_services::{
    FeedMessage, InstanceDigests, RelayedRegistration, RelayedReport, ReportMessage,
};
use courseshunt_state::{Command, CommandReply, StoredDeployment, TenantDocument};
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::{
    ClientSequence, ControllerId, DeploymentName, Epoch, GroupId, Incarnation, JobId, LogIndex,
    Millis, PriorityClass, RequestId, Revision, RouterId, RunnerId, Zone,
};

use std::collections::BTreeSet;

/// Number of a call on one connection; its reply has the same.
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

/// One message.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Message {
    /// Controller to controller: consensus of one group.
    Consensus {
        /// The group.
        group: GroupId,
        /// The message.
        message: ConsensusMessage,
    },
    /// Controller to controller: a command for the leader, on behalf of a client.
    Forward {
        /// Comes back in the reply.
        call: CallId,
        /// The group.
        group: GroupId,
        /// `rkyv` bytes of a `CommandEnvelope`.
        envelope: Vec<u8>,
    },
    /// Answers [`Message::Forward`].
    ForwardReply {
        /// The call.
        call: CallId,
        /// The reply, or `None` when the receiver can't tell.
        reply: Option<CommandReply>,
    },
    /// Router to controller: asks for the feed, from a revision on.
    Subscribe(Subscribe),
    /// Controller to router: configuration.
    Configuration(ConfigurationUpdate),
    /// Controller to router: replicas and runners.
    Placement(PlacementUpdate),
    /// Controller to router: the live routers.
    Fleet(FleetUpdate),
    /// Controller to router: how old the feed's confirmation is.
    FeedConfirmation {
        /// Time since the controller knew itself in contact with a quorum.
        age: Millis,
        /// Revision of the configuration at that time.
        revision: Revision,
    },
    /// Router to controller: this revision is in force here.
    Confirmed {
        /// The revision.
        revision: Revision,
    },
    /// Router to controller: demand of the queues it owns.
    Demand {
        /// One report for each queue whose demand changed.
        reports: Vec<DemandReport>,
    },
    /// Router to controller: a command for the ledger.
    Ledger {
        /// Comes back in the reply.
        call: CallId,
        /// The group that holds the key.
        group: GroupId,
        /// Number of the command; a resend has the same.
        sequence: ClientSequence,
        /// The router has all replies below this number.
        acknowledged: ClientSequence,
        /// The command.
        command: Command,
    },
    /// Answers [`Message::Ledger`].
    LedgerReply {
        /// The call.
        call: CallId,
        /// The result.
        result: LedgerResult,
    },
    /// Router to queue owner: a ticket.
    Offer {
        /// The queue.
        queue: QueueKey,
        /// The ticket.
        ticket: Ticket,
    },
    /// Router to queue owner: a waiting request is gone.
    CancelTicket {
        /// The queue.
        queue: QueueKey,
        /// The request.
        request: RequestId,
    },
    /// Queue owner to router: leave to send a request.
    Granted {
        /// The queue.
        queue: QueueKey,
        /// Generation of the ownership.
        epoch: Epoch,
        /// The grant.
        grant: Grant,
    },
    /// Queue owner to router: a ticket is refused.
    Refused {
        /// The queue.
        queue: QueueKey,
        /// The refusal.
        refusal: TicketRefusal,
    },
    /// Router to queue owner: a granted request has started.
    GrantStarted {
        /// The queue.
        queue: QueueKey,
        /// The grant.
        grant: GrantId,
    },
    /// Router to queue owner: a grant's slot is free again.
    GrantReturned {
        /// The queue.
        queue: QueueKey,
        /// The grant.
        grant: GrantId,
        /// How the attempt ended; tells the owner about the runner's health.
        outcome: AttemptOutcome,
    },
    /// Queue owner to router: this is not my queue (any more).
    NotOwner {
        /// The queue.
        queue: QueueKey,
        /// Tickets that must be offered to the owner again.
        requests: Vec<RequestId>,
    },
    /// Router to queue owner: these grants run here, and no others.
    AdoptGrants {
        /// The queue.
        queue: QueueKey,
        /// The grants.
        grants: Vec<RunningGrant>,
    },
    /// Queue owner to router: the owner stops; its queues have other owners.
    OwnerLeaving,
    /// Router to queue owner: are you there?
    Ping,
    /// Answers [`Message::Ping`].
    Pong,
    /// Controller to leading controller: asks for an index at which a read is
    /// linearizable.
    ReadIndex {
        /// Comes back in the reply.
        call: CallId,
        /// The group.
        group: GroupId,
    },
    /// Answers [`Message::ReadIndex`].
    ReadIndexReply {
        /// The call.
        call: CallId,
        /// The index, or `None` when the receiver can't tell.
        index: Option<LogIndex>,
    },
    /// Controller to leading controller: demand that a router reported here.
    RelayedDemand {
        /// The router.
        router: RouterId,
        /// Its reports.
        reports: Vec<DemandReport>,
        /// Whether the router has left; earlier reports no longer count.
        gone: bool,
    },
    /// Controller to the controller that connected: the connection is alive.
    PeerAlive,
    /// Controller to router: the queued jobs that it should execute.
    Jobs {
        /// The earliest deadlines first; replaces what was told before.
        jobs: Vec<QueuedJob>,
    },
    /// Router to controller: it stops as planned and owns no queues any more.
    Leaving,
    /// Controller to router: stop as planned.
    Drain,
    /// Controller to controller: routers that follow the sender.
    RouterReport(RouterReport),
    /// Controller to leading controller: an operator's change of the membership.
    ChangeMembership {
        /// Comes back in the reply.
        call: CallId,
        /// The group.
        group: GroupId,
        /// The change.
        change: MembershipChange,
    },
    /// Answers [`Message::ChangeMembership`].
    ChangeMembershipReply {
        /// The call.
        call: CallId,
        /// Index of the committed change, or why there is none.
        result: Result<LogIndex, String>,
    },
    /// Controller to router: services, instances and their use.
    ServiceFeed(FeedMessage),
    /// Router to controller: what it uses and is asked for.
    ServiceReport(ReportMessage),
    /// Controller to leading controller: asks for the feed, to pass it on.
    FollowLeader {
        /// The sender's zone.
        zone: Zone,
        /// What it knows of the instances.
        known: InstanceDigests,
    },
    /// Controller to leading controller: what the routers tell that follow it.
    RelayedReports(Vec<RelayedReport>),
    /// Leading controller to controller: an answer to one of its routers.
    RelayedAnswer {
        /// The router.
        router: String,
        /// The router's connection.
        session: u64,
        /// The answer.
        answer: FeedMessage,
    },
    /// Controller to leading controller: instances that registered there.
    Registrations(Vec<RelayedRegistration>),
    /// Answers [`Message::Registrations`].
    RegistrationsReply {
        /// Whether the sender leads; otherwise nothing was taken.
        leads: bool,
        /// Instances whose earlier registration the sender lacks.
        missing: Vec<RunnerId>,
    },
    /// Controller to controller: a process with a new disk wants to join.
    Join {
        /// The member.
        member: ControllerId,
        /// Its wire address, `ip:port`.
        wire_address: String,
    },
    /// Answers [`Message::Join`]: the members of the group, or whomever a process that is
    /// no member itself knows.
    Joined {
        /// Whether the sender leads and takes the member in.
        leads: bool,
        /// The leader's wire address, as far as the sender knows.
        leader: Option<String>,
        /// Members with their wire addresses.
        members: Vec<(ControllerId, String)>,
    },
}

/// A queued job as its executor needs it.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct QueuedJob {
    /// The job.
    pub job: JobId,
    /// Its deployment.
    pub deployment: DeploymentName,
    /// Its class.
    pub class: PriorityClass,
    /// Time since it was accepted.
    pub waited: Millis,
    /// Time left until its deadline.
    pub deadline_in: Millis,
}

/// Routers that follow one controller.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RouterReport {
    /// Whether `routers` holds all of them.
    pub full: bool,
    /// Names of all of them; no other one follows the sender.
    pub present: BTreeSet<RouterId>,
    /// All routers, or those that changed.
    pub routers: Vec<ReportedRouter>,
}

/// A live router as controllers know it.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ReportedRouter {
    /// As other routers need it.
    pub endpoint: RouterEndpoint,
    /// `ip:port` for callers.
    pub http_address: String,
    /// Revision in force there.
    pub revision: Revision,
}

/// Result of a command for the ledger.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum LedgerResult {
    /// The command was committed.
    Committed(CommandReply),
    /// It was not taken in; ask another controller.
    NotLeader {
        /// Address of the leader's wire port, if known.
        leader: Option<String>,
    },
    /// It may or may not be committed; a resend finds out.
    Undecided,
}

/// Asks for the feed.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Subscribe {
    /// The router.
    pub router: RouterId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// `ip:port` of its wire port, for other routers.
    pub wire_address: String,
    /// `ip:port` for callers.
    pub http_address: String,
    /// Its zone.
    pub zone: Zone,
    /// Last revision that it has; 0 for none.
    pub revision: Revision,
    /// State of the placement that it has; 0 for none.
    pub placement: LogIndex,
}

/// Changes of the configuration.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ConfigurationUpdate {
    /// Whether this replaces everything that the router has.
    pub full: bool,
    /// Revision after the update.
    pub revision: Revision,
    /// Set deployments.
    pub deployments: Vec<StoredDeployment>,
    /// Removed deployments.
    pub removed: Vec<DeploymentName>,
    /// All tenants, when any changed.
    pub tenants: Option<Vec<TenantDocument>>,
    /// Whether more parts of the same update follow.
    pub more: bool,
}

/// Replicas and runners. A higher `sequence` replaces a lower.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct PlacementUpdate {
    /// Log index of the state.
    pub sequence: LogIndex,
    /// Whether this replaces everything that the router has.
    pub full: bool,
    /// Changed runners.
    pub runners: Vec<RunnerEndpoint>,
    /// Changed deployments, each with all its replicas.
    pub deployments: Vec<DeploymentReplicas>,
}

/// A runner as routers need it.
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
    /// Runners that serve it now.
    pub ready: Vec<RunnerId>,
    /// Replicas that are being loaded.
    pub loading: Vec<LoadingReplica>,
}

/// A replica that is being loaded.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LoadingReplica {
    /// Runner that loads it.
    pub runner: RunnerId,
    /// Estimated rest of the load.
    pub remaining: Millis,
}

/// The live routers.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct FleetUpdate {
    /// Grows with each change.
    pub epoch: Epoch,
    /// The routers.
    pub routers: Vec<RouterEndpoint>,
}

/// A router as other routers need it.
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
    /// Whether it stops and owns no queues any more.
    pub leaving: bool,
}
