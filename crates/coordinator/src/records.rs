//! What a controller records: one line for each decision, and for each change
//! of what it believes.

use courseshunt_membership::JoinOutcome;
use courseshunt_records::Record;
use courseshunt_services::PlacementEvent;
use courseshunt_types::ModelName;
use serde::Serialize;
use std::net::SocketAddr;

/// See the module.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum ControllerRecord<'a> {
    /// It starts.
    Started {
        name: &'a str,
        zone: &'a str,
        member: u64,
        founds: bool,
    },
    /// Its replica has ended by itself; the process ends.
    Failed { problem: &'a str },
    /// It has stopped as planned.
    Stopped,
    /// Settings were read again.
    Reloaded { seeds: usize },
    /// The machine was suspended; contact and what was heard before are older by that.
    Slept { slept_ms: u64 },
    /// It leads from now on.
    Leads { term: u64 },
    /// It leads no more.
    LeadsNoMore { leader: Option<&'a str> },
    /// It hands the leadership over to the member that gave orders last.
    HandsOver { to: u64 },
    /// It was to be recorded as the member that gives orders.
    HoldsOrders { problem: Option<&'a str> },
    /// The membership of the group was to be changed.
    Membership {
        change: &'a str,
        /// Log index of the committed change.
        index: Option<u64>,
        problem: Option<&'a str>,
    },
    /// It asked to be taken into the group; written when the answers differ from the last ones.
    AsksToJoin { asked: &'a [AskedMember] },
    /// A process asked here to be taken into the group; written once for each answer.
    AskedToJoin {
        member: u64,
        address: &'a str,
        /// Whether this member leads and has noted it.
        noted: bool,
        /// Members that it was told of.
        members: usize,
    },
    /// How many losses the group can bear has changed, as the leader sees it.
    Redundancy {
        voters: usize,
        live_voters: usize,
        learners: usize,
        /// Processes that have asked to join and are not members yet.
        joining: usize,
        bearable_losses: usize,
        /// No change of the membership goes on.
        settled: bool,
        /// Time without full redundancy until now, in milliseconds.
        below_full_ms: u64,
    },
    /// A router follows the feed.
    RouterFollows {
        router: &'a str,
        configuration: u64,
        /// Whether it is of production's build.
        is_earlier: bool,
    },
    /// A router's feed has ended.
    RouterLost { router: &'a str },
    /// A controller follows the feed of this one, which leads.
    ControllerFollows { member: u64 },
    /// That feed has ended; routers that are not known another way are forgotten.
    ControllerLost {
        member: u64,
        routers: usize,
        problem: Option<&'a str>,
    },
    /// The leader's feed comes here from now on.
    UpstreamBegan { term: u64 },
    /// It comes no more.
    UpstreamEnded {
        leader: &'a str,
        problem: Option<&'a str>,
    },
    /// Routers were told to follow another controller: there was no leader's feed here.
    RoutersLetGo {
        routers: usize,
        /// Whether this controller hears no quorum; else an election takes too long.
        lost_quorum: bool,
    },
    /// Registrations taken here reach the leader from now on.
    RelayBegan { leader: &'a str },
    /// They reach it no more.
    RelayEnded {
        leader: &'a str,
        problem: Option<&'a str>,
    },
    /// An operator's configuration was judged and, if valid, proposed.
    Configuration {
        number: Option<u64>,
        outcome: &'a str,
        problem: Option<&'a str>,
    },
    /// The newest configuration is in force at all routers that follow.
    ConfigurationEverywhere {
        number: u64,
        routers: usize,
        after_ms: u64,
    },
    /// What an instance, or another writer, says of itself is not whole.
    RegistrationRefused { instance: &'a str, problem: &'a str },
    /// An instance said in an answer that it takes no more work.
    LeavesByItsWord {
        instance: &'a str,
        /// The router, or this controller, to which it said so in an answer.
        told_by: &'a str,
    },
    /// An instance names a limit to a router, another one than before, or none any more.
    InstanceLimits {
        instance: &'a str,
        /// Requests in a thousand seconds, from all routers together.
        limit_per_1000_s: Option<u64>,
        told_by: &'a str,
        age_ms: u64,
    },
    /// An instance asks in an answer to be left alone for so long.
    InstanceRests {
        instance: &'a str,
        status: u16,
        rest_ms: u64,
    },
    /// An instance takes no more work, or ends.
    Leaves {
        instance: &'a str,
        ends: bool,
        committed: bool,
        problem: Option<&'a str>,
    },
    /// Instances were taken for gone.
    InstancesGone { instances: &'a [String] },
    /// What became of a content under which instances ended.
    Quarantine {
        content: String,
        change: &'a str,
        /// Instances that ended under it.
        ends: Option<usize>,
    },
    /// The contents in quarantine were to be recorded durably.
    QuarantineRecorded {
        contents: usize,
        problem: Option<&'a str>,
    },
    /// An order was given.
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
        /// Loads from the weight store under way.
        store_loads: usize,
        after_ms: u64,
    },
    /// An instance was set aside for a model.
    SetAside {
        model: &'a str,
        instance: &'a str,
        source: &'a str,
        ready_after_ms: u64,
        /// What the place costs, in thousandths of a late request.
        cost_per_1000: u64,
        waiting: u32,
        displaced: Option<&'a str>,
    },
    /// A model's load has ended.
    Loaded {
        model: &'a str,
        instance: &'a str,
        source: &'a str,
        took_ms: u64,
        /// Loads from the weight store at once meanwhile, in the mean, times ten.
        store_loads_by_10: u64,
        store_limit: usize,
    },
}

/// A process that was asked to take this one into the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct AskedMember {
    /// Its wire address, `ip:port`.
    pub(crate) address: String,
    /// What it answered.
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

/// The record of what the placement engine tells.
pub(crate) fn placement(event: &PlacementEvent) -> ControllerRecord<'_> {
    match event {
        PlacementEvent::SetAside(one) => ControllerRecord::SetAside {
            model: one.model.as_str(),
            instance: one.instance.as_str(),
            source: one.source.word(),
            ready_after_ms: one.ready_after.0,
            cost_per_1000: (one.cost * 1000.0) as u64,
            waiting: one.waiting,
            displaced: one.displaced.as_ref().map(ModelName::as_str),
        },
        PlacementEvent::LoadEnded(one) => ControllerRecord::Loaded {
            model: one.model.as_str(),
            instance: one.instance.as_str(),
            source: one.source.word(),
            took_ms: one.took.0,
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
                | Self::SetAside { .. }
                | Self::Loaded { .. }
                | Self::RegistrationRefused { .. }
        )
    }
}
