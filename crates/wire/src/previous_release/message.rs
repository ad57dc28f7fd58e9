//! Messages of protocol version 2, as they are on the wire: never changed.
//!
//! Types that have not changed since are the present ones. The order of the kinds is their
//! number on the wire.

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

/// One message.
#[derive(Debug, Clone, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) enum Message {
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
    /// Answers [`Message::Join`]: the members of the group.
    Joined {
        /// Whether the sender leads and takes the member in.
        leads: bool,
        /// Members with their wire addresses.
        members: Vec<(ControllerId, String)>,
    },
}
