//! Records of a controller: one line for each decision, and for each change of the state that it
//! observes.

use courseshunt_membership::JoinOutcome;
use courseshunt_records::Record;
use courseshunt_services::PlacementEvent;
use courseshunt_types::ModelName;
use serde::Serialize;
use std::net::SocketAddr;

/// A record of a controller, tagged with the name of its event.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum ControllerRecord<'a> {
    /// The controller starts.
    Started {
        name: &'a str,
        zone: &'a str,
        member: u64,
        founds: bool,
    },
    /// The replica has failed; the process exits.
    Failed { problem: &'a str },
    /// The controller has stopped gracefully.
    Stopped,
    /// The settings were reloaded.
    Reloaded { seeds: usize },
    /// The machine was suspended; earlier contacts and observations are older by this time.
    Slept { slept_ms: u64 },
    /// This member was elected as the leader.
    Leads {
        term: u64,
        /// Wire address of the leader that it knew before; absent for the first one.
        previous_leader: Option<&'a str>,
        /// Protocol version of the latest connection with it; absent if there was none.
        previous_protocol: Option<u8>,
    },
    /// This member no longer leads.
    LeadsNoMore { leader: Option<&'a str> },
    /// The leadership is handed over to the member that gave the last orders.
    HandsOver { to: u64 },
    /// This member tried to replace a leader of the previous release.
    TakesOver {
        leader: Option<&'a str>,
        outcome: &'static str,
    },
    /// The member was recorded in the log as the holder of the orders, or this failed.
    HoldsOrders { problem: Option<&'a str> },
    /// The membership of the group was changed, or this failed.
    Membership {
        change: &'a str,
        /// Log index of the committed change.
        index: Option<u64>,
        problem: Option<&'a str>,
    },
    /// Join requests were sent; written when the answers differ from the previous ones.
    AsksToJoin { asked: &'a [AskedMember] },
    /// A join request was received; written once for each different answer to a process.
    AskedToJoin {
        member: u64,
        address: &'a str,
        /// Whether this member leads and has recorded the request.
        noted: bool,
        /// Number of members in the reply.
        members: usize,
    },
    /// The redundancy of the group has changed, as the leader observes it.
    Redundancy {
        voters: usize,
        live_voters: usize,
        learners: usize,
        /// Processes that sent join requests and are not members yet.
        joining: usize,
        bearable_losses: usize,
        /// Whether no change of the membership is in progress.
        settled: bool,
        /// Time below full redundancy until now, in milliseconds.
        below_full_ms: u64,
    },
    /// A router subscribed to the feed.
    RouterFollows {
        router: &'a str,
        configuration: u64,
        /// Whether it runs the previous release.
        is_earlier: bool,
    },
    /// An instance is presented to a router of the previous release under an alias, since requests
    /// wait there beside it.
    InstancePresented {
        router: &'a str,
        instance: &'a str,
        service: &'a str,
        model: &'a str,
        waited_ms: u64,
    },
    /// A router's feed has ended.
    RouterLost { router: &'a str },
    /// A controller subscribed to the feed of this one, which leads.
    ControllerFollows { member: u64 },
    /// A controller's feed has ended; its routers that have no other path are removed.
    ControllerLost {
        member: u64,
        routers: usize,
        problem: Option<&'a str>,
    },
    /// The leader's feed has begun.
    UpstreamBegan {
        term: u64,
        leader: &'a str,
        /// Protocol version of the connection.
        protocol: u8,
    },
    /// The leader's feed has ended, or the connection to the leader failed.
    UpstreamEnded {
        leader: &'a str,
        problem: Option<&'a str>,
    },
    /// Sessions of routers were ended so that they subscribe to another controller, since this one
    /// had no feed of a leader.
    RoutersLetGo {
        routers: usize,
        /// Whether contact with a quorum was lost; otherwise an election took too long.
        lost_quorum: bool,
    },
    /// The relay of registrations to the leader has begun.
    RelayBegan {
        leader: &'a str,
        /// Protocol version of the connection.
        protocol: u8,
    },
    /// The relay of registrations to the leader has ended.
    RelayEnded {
        leader: &'a str,
        problem: Option<&'a str>,
    },
    /// An operator's configuration was validated and, if valid, proposed.
    Configuration {
        number: Option<u64>,
        outcome: &'a str,
        problem: Option<&'a str>,
    },
    /// The newest configuration is in force at all routers that subscribe.
    ConfigurationEverywhere {
        number: u64,
        routers: usize,
        after_ms: u64,
    },
    /// A registration or departure of an instance, or of another sender, is incomplete or invalid.
    RegistrationRefused { instance: &'a str, problem: &'a str },
    /// A registration was rejected because this controller can't relay it soon.
    RegistrationNotRelayed {
        instance: &'a str,
        /// `no_leader`, or `no_link` to a leader that it is in contact with.
        reason: &'static str,
        /// How long the link has been down, if that is the reason.
        link_down_ms: Option<u64>,
    },
    /// The body of a call was not read whole; the call has changed nothing.
    BodyRefused {
        /// `document` or `registration`.
        body: &'a str,
        /// `too_large`, `no_memory`, `body_given_up`, `body_stopped`, `body_late` or `broken_body`.
        reason: &'a str,
        status: u16,
        problem: &'a str,
    },
    /// An instance reported in a reply that it accepts no more work.
    LeavesByItsWord {
        instance: &'a str,
        /// The router, or this controller, that received the reply.
        told_by: &'a str,
    },
    /// The rate limit that an instance reports has changed, begun or ended.
    InstanceLimits {
        instance: &'a str,
        /// Requests in 1,000 s, from all routers together.
        limit_per_1000_s: Option<u64>,
        told_by: &'a str,
        age_ms: u64,
    },
    /// An instance requested backoff in a reply.
    InstanceRests {
        instance: &'a str,
        status: u16,
        rest_ms: u64,
    },
    /// An instance accepts no more work, or terminates.
    Leaves {
        instance: &'a str,
        ends: bool,
        committed: bool,
        problem: Option<&'a str>,
    },
    /// The software versions that the instances of a service run have changed.
    SoftwareVersions {
        service: &'a str,
        /// The known versions, if they are several or that of an instance is not known; empty if
        /// there is one version.
        versions: &'a [&'a str],
    },
    /// A new leader has no list of the previous one: all services of the configuration count as those of
    /// several versions for the time in which streams can be resumed.
    EarlierVersionsUnknown {
        /// Number of these services.
        services: usize,
    },
    /// Instances are gone: they terminated, or did not register in time.
    InstancesGone { instances: &'a [String] },
    /// The state of a fingerprint of requests under which instances ended has changed.
    Quarantine {
        /// The fingerprint.
        content: String,
        change: &'a str,
        /// Number of instances that ended during it.
        ends: Option<usize>,
    },
    /// The quarantined fingerprints were recorded in the log, or this failed.
    QuarantineRecorded {
        contents: usize,
        problem: Option<&'a str>,
    },
    /// An order was sent to an instance, or could not be sent.
    Order {
        action: &'a str,
        model: &'a str,
        adapter: Option<&'a str>,
        instance: &'a str,
        expected: u64,
        term: u64,
        outcome: &'a str,
        copies: usize,
        desired: usize,
        rate_per_1000_s: u64,
        waited_for: bool,
        from_store: bool,
        /// Loads from the weight store in progress.
        store_loads: usize,
        after_ms: u64,
    },
    /// A reservation of units of a tenant's quota has changed, or was refused.
    QuotaReservation {
        tenant: &'a str,
        units: u32,
        rank: u8,
        /// `made`, `taken`, `unmet`, `expired`, `dropped` or `refused`.
        outcome: &'static str,
        /// Reason of a refusal.
        reason: Option<&'static str>,
        /// Time until the start of a reservation that was made.
        starts_after_ms: Option<u64>,
    },
    /// An instance was reserved for the load of a model.
    SetAside {
        model: &'a str,
        instance: &'a str,
        source: &'a str,
        ready_after_ms: u64,
        /// Cost of this load target, in thousandths of a late request.
        cost_per_1000: u64,
        waiting: u32,
        /// Share of the model's streams that paused for too long, in thousandths.
        paused_permille: u32,
        /// Load of the instance in percent of its capacity, if it reports its load.
        load_percent: Option<u32>,
        displaced: Option<&'a str>,
    },
    /// A model's load has ended.
    Loaded {
        model: &'a str,
        instance: &'a str,
        source: &'a str,
        took_ms: u64,
        /// Mean number of concurrent loads from the weight store during the load, times ten.
        store_loads_by_10: u64,
        store_limit: usize,
    },
}

/// A process that was sent a join request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct AskedMember {
    /// Its wire address, `ip:port`.
    pub(crate) address: String,
    /// The kind of its answer.
    pub(crate) answer: &'static str,
}

impl From<(SocketAddr, JoinOutcome)> for AskedMember {
    fn from((address, answer): (SocketAddr, JoinOutcome)) -> Self {
        Self {
            address: address.to_string(),
            answer: match answer {
                JoinOutcome::Leads => "leads",
                JoinOutcome::Follows => "follows",
                JoinOutcome::NoReply => "no_answer",
            },
        }
    }
}

/// The record of an event of the placement engine.
pub(crate) fn placement(event: &PlacementEvent) -> ControllerRecord<'_> {
    match event {
        PlacementEvent::InstanceReserved(one) => ControllerRecord::SetAside {
            model: one.model.as_str(),
            instance: one.instance.as_str(),
            source: one.source.as_str(),
            ready_after_ms: one.ready_after.0,
            cost_per_1000: (one.cost * 1000.0) as u64,
            waiting: one.waiting,
            paused_permille: one.paused_permille,
            load_percent: one.load_percent,
            displaced: one.displaced.as_ref().map(ModelName::as_str),
        },
        PlacementEvent::LoadEnded(one) => ControllerRecord::Loaded {
            model: one.model.as_str(),
            instance: one.instance.as_str(),
            source: one.source.as_str(),
            took_ms: one.duration.0,
            store_loads_by_10: (one.store_loads * 10.0) as u64,
            store_limit: one.store_limit,
        },
    }
}

impl Record for ControllerRecord<'_> {
    fn is_kept(&self) -> bool {
        !matches!(
            self,
            Self::Order { .. }
                | Self::QuotaReservation { .. }
                | Self::SetAside { .. }
                | Self::Loaded { .. }
                | Self::RegistrationRefused { .. }
                | Self::RegistrationNotRelayed { .. }
                | Self::BodyRefused { .. }
                | Self::InstancePresented { .. }
        )
    }
}
