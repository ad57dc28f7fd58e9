//! Messages between controllers and routers.
//!
//! The leading controller feeds the others, and each controller feeds the routers that
//! follow it; reports go the same way back. So what any process sends grows with its own
//! followers, not with the routers of the fleet.
//!
//! Bounds: a router's report is proportional to the instances that it uses and
//! the models that it was asked for, not to the fleet.

use crate::digest::InstanceDigests;
use crate::instance::InstanceView;
use crate::limit::{LimitAnswer, LimitQuery, LimitReport};
use crate::quarantine::InstanceEnd;
use crate::quota::{QuotaAnswer, QuotaQuery, TenantAccountStatus, TenantUse};
use courseshunt_types::{Digest, Millis, RunnerId, Zone};

/// Time between messages about the use of instances, either way.
const USAGE_INTERVAL: Millis = Millis(120);
/// Routers at this rate; with more, messages are rarer, down to a bound.
const ROUTERS_AT_FULL_RATE: u32 = 16;
const SLOWEST_FACTOR: u32 = 2;
/// The same where sums are long and go to many: the leader writes each instance in
/// use for each router.
const SLOWEST_FACTOR_OF_MANY: u32 = 4;
/// Routers times instances from which on that holds.
const MANY_ENTRIES: u64 = 100_000;

/// Routers for each millisecond between messages on changed instances.
const ROUTERS_IN_A_MILLISECOND: u64 = 2;
/// Longest time between such messages.
const LONGEST_INSTANCES_INTERVAL: Millis = Millis(250);

/// Time between a router's reports, and between the leader's sums: longer with
/// many routers and instances, so that the leader's work stays bounded.
#[must_use]
pub fn usage_interval(routers: u32, instances: usize) -> Millis {
    let instances = u64::try_from(instances).unwrap_or(u64::MAX);
    let entries = u64::from(routers).saturating_mul(instances);
    let slowest = match entries < MANY_ENTRIES {
        true => SLOWEST_FACTOR,
        false => SLOWEST_FACTOR_OF_MANY,
    };
    let factor = routers.div_ceil(ROUTERS_AT_FULL_RATE);
    Millis(USAGE_INTERVAL.0 * u64::from(factor.clamp(1, slowest)))
}

/// Age of what a router is told of the others' use until it is told anew, about:
/// half of the time between their reports, half of that between the leader's sums,
/// and half of it again while it waits for the next.
#[must_use]
pub fn usage_lag(routers: u32, instances: usize) -> Millis {
    Millis(usage_interval(routers, instances).0 * 3 / 2)
}

/// Time between messages on changed instances: longer with many routers, since
/// the leader sends each of them one.
#[must_use]
pub fn instances_interval(routers: usize) -> Millis {
    let routers = u64::try_from(routers).unwrap_or(u64::MAX);
    Millis((routers / ROUTERS_IN_A_MILLISECOND).min(LONGEST_INSTANCES_INTERVAL.0))
}

/// Requests of one router at one instance.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct InstanceUsage {
    /// The instance.
    pub instance: RunnerId,
    /// Requests under way.
    pub in_flight: u32,
    /// Prompt tokens that are sent but not read yet.
    pub prompt_tokens: u32,
}

/// Demand for one model at one router, since its last report.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ModelDemand {
    /// The service.
    pub service: String,
    /// The model.
    pub model: String,
    /// The adapter, if any.
    pub adapter: Option<String>,
    /// Requests that arrived.
    pub arrivals: u32,
    /// Tokens that they have read, cached parts left out.
    pub tokens: u32,
    /// Shortest objective of the requests that arrived, in milliseconds; 0 when
    /// none did.
    pub objective_ms: u32,
    /// Requests that an instance held and answered later than their objective.
    pub late: u32,
    /// Requests that wait for an instance now.
    pub waiting: u32,
}

/// Where a member of the control group is.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct MemberPlace {
    /// Wire address, `ip:port`.
    pub address: String,
    /// Its zone, where that is known.
    pub zone: Option<Zone>,
}

/// Controller to router.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum FeedMessage {
    /// This controller has no feed now; another one may have it.
    NoFeed {
        /// The leader's wire address, if known.
        leader: Option<String>,
    },
    /// This controller has lost its leader and waits for the next one; not a leader's word.
    Awaiting,
    /// Whose feed this is from now on; the first message of each feed.
    Leadership {
        /// The leader's term.
        term: u64,
        /// Whether the leader has heard from all instances that are there.
        settled: bool,
    },
    /// Where the members of the group are.
    Members(Vec<MemberPlace>),
    /// A committed configuration, in the operator's own form, as its difference
    /// from an older one.
    Configuration {
        /// Its number.
        number: u64,
        /// Number of the older document; 0 for the empty one.
        base: u64,
        /// Digest of the document.
        digest: u64,
        /// What makes the document out of the older one.
        difference: Vec<u8>,
    },
    /// Instances that changed, and those that are gone.
    Instances {
        /// New or changed.
        changed: Vec<InstanceView>,
        /// No longer there.
        gone: Vec<RunnerId>,
    },
    /// The instances of one part, where the follower's differ.
    Part {
        /// The part, see [`crate::digest`].
        part: u32,
        /// All of its instances.
        instances: Vec<InstanceView>,
        /// Whether others of this part are gone.
        complete: bool,
    },
    /// All instances that are there; others are gone. From the leader to controllers.
    Live(Vec<RunnerId>),
    /// Digests of all instances that are there. A router whose own differ knows some from an
    /// earlier feed that are gone: it sends [`ReportMessage::Compare`].
    Digests(InstanceDigests),
    /// What all routers use, this one included, and how many there are.
    Usage {
        /// Number of the configuration in force at the leader.
        configuration: u64,
        /// Live routers.
        routers: u32,
        /// Usage summed over all routers.
        instances: Vec<InstanceUsage>,
    },
    /// How the accounts of tenants stand; those left out are free.
    Quotas {
        /// The leadership that keeps these accounts.
        epoch: u64,
        /// Accounts that were used lately.
        standings: Vec<TenantAccountStatus>,
    },
    /// Answers to a router's questions.
    QuotaAnswers(Vec<QuotaAnswer>),
    /// Limits that instances name, and those that ended lately; what is left out is as it was.
    Limits(Vec<LimitReport>),
    /// Answers to a router's questions on such limits.
    LimitAnswers(Vec<LimitAnswer>),
    /// Contents under which instances have ended; whole, in place of the last word.
    Quarantine {
        /// Contents that routers vouch for if they can.
        suspected: Vec<Digest>,
        /// Contents that are sent nowhere.
        quarantined: Vec<Digest>,
    },
}

/// What a controller passes on to the leader of a router that follows it.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RelayedReport {
    /// The router's name.
    pub router: String,
    /// The router's connection; a later one has another number.
    pub session: u64,
    /// What there is to tell.
    pub news: RouterNews,
}

/// See [`RelayedReport`].
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum RouterNews {
    /// It follows the controller.
    Follows {
        /// Number of the configuration in force there, 0 for none.
        configuration: u64,
    },
    /// What it reports.
    Reports(ReportMessage),
    /// It follows the controller no more.
    Lost,
}

/// Router to controller.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ReportMessage {
    /// Asks for the feed.
    Subscribe {
        /// Number of the configuration in force at the router, 0 for none.
        number: u64,
        /// What the router knows of the instances.
        known: InstanceDigests,
    },
    /// What the router uses and is asked for.
    Usage {
        /// Number of the configuration in force at the router, 0 for none.
        configuration: u64,
        /// At each instance with requests under way.
        instances: Vec<InstanceUsage>,
        /// For each model asked for since the last report or waited for.
        demand: Vec<ModelDemand>,
        /// Instances that could not be reached lately.
        unreachable: Vec<RunnerId>,
        /// Instances that are fed as ready and told the router that they leave.
        leaving: Vec<RunnerId>,
    },
    /// What the router used of tenants' limits and has not told yet.
    TenantUse {
        /// The leadership that it is told to.
        epoch: u64,
        /// By tenant and time.
        uses: Vec<TenantUse>,
    },
    /// Whether requests are within their tenants' limits.
    AskQuotas(Vec<QuotaQuery>),
    /// What instances said of their limits, and whether requests are within them.
    Limits {
        /// What the leader was not told yet.
        words: Vec<LimitReport>,
        /// Questions.
        asks: Vec<LimitQuery>,
    },
    /// Asks for the parts in which the router's instances differ.
    Compare(InstanceDigests),
    /// What the router has seen of contents under which instances ended.
    Ends {
        /// Instances that ended while they had a request.
        ends: Vec<InstanceEnd>,
        /// Suspected contents that were answered.
        answered: Vec<Digest>,
    },
}
