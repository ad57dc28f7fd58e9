//! Messages of protocol version 2 in their form on the wire, which must never change.
//!
//! Types whose form is the same in the current version are shared with it. The order of the
//! variants is their number on the wire.

use super::feed::{FeedMessage, ReportMessage};
use crate::message::{
    CallId, ConfigurationUpdate, FleetUpdate, LedgerResult, PlacementUpdate, QueuedJob,
    RouterReport, Subscribe,
};
use courseshunt_consensus::{ConsensusMessage, MembershipChange};
use courseshunt_queue::{
    AttemptOutcome, DemandReport, Grant, GrantId, QueueKey, RunningGrant, Ticket, TicketRefusal,
};
use courseshunt_services::RelayedRegistration;
use courseshunt_state::{Command, CommandReply};
use courseshunt_types::{
    ClientSequence, ControllerId, Epoch, GroupId, LogIndex, Millis, RequestId, Revision, RouterId,
    RunnerId,
};

/// One message, the content of one frame of version 2.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) enum Message {
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
    /// Controller to leading controller: instances that registered at the sender.
    Registrations(Vec<RelayedRegistration>),
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
    /// Answers [`Message::Join`] with the members of the group.
    Joined {
        /// Whether the sender is the leader and adds the member to the group.
        leads: bool,
        /// Members with their wire addresses, `ip:port`.
        members: Vec<(ControllerId, String)>,
    },
}
