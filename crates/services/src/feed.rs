//! Messages between controllers and routers.
//!
//! The leading controller sends a feed to the other controllers, and each controller sends a
//! feed to the routers that subscribe to it; reports take the same path back. What a process
//! sends therefore grows with the number of its own followers, not with all routers.
//!
//! Bounds: the size of a router's report is proportional to the instances that it uses and the
//! models that its requests name, not to the fleet.

use crate::digest::InstanceDigests;
use crate::forwarders::{Forwarder, ForwardingReport};
use crate::instance::InstanceView;
use crate::limit::{LimitAnswer, LimitQuery, LimitReport};
use crate::quarantine::{AnsweredFingerprint, InstanceEnd};
use crate::quota::{QuotaAnswer, QuotaQuery, TenantAccountStatus, UseReport};
use crate::stream_origins::{OriginAnswer, OriginQuery, ServiceVersions, StreamOrigin};
use courseshunt_instance_load::{InstanceLoad, LoadSample, ModelPauses};
use courseshunt_types::{Digest, Millis, RunnerId, Zone};
use std::collections::BTreeMap;

/// Shortest time between messages about the use of instances, in either direction.
const USAGE_INTERVAL: Millis = Millis(120);
/// Number of routers up to which the shortest interval applies. With more routers the interval
/// grows, up to a maximum factor.
const ROUTERS_AT_FULL_RATE: u32 = 16;
/// Maximum factor of the interval.
const MAX_INTERVAL_FACTOR: u32 = 2;
/// Maximum factor of the interval in a large fleet: the leader writes an entry for each
/// instance in use to each router.
const MAX_INTERVAL_FACTOR_LARGE_FLEET: u32 = 4;
/// Product of the numbers of routers and instances from which a fleet counts as large.
const LARGE_FLEET_ENTRIES: u64 = 100_000;

/// Number of routers that add one millisecond to the time between messages about changed
/// instances.
const ROUTERS_PER_INTERVAL_MS: u64 = 2;
/// Maximum time between messages about changed instances.
const MAX_INSTANCES_INTERVAL: Millis = Millis(250);

/// Time between the reports of a router, and between the leader's messages with the sums over
/// all routers. It grows with the numbers of routers and instances, so that the leader's work
/// stays bounded.
#[must_use]
pub fn usage_interval(routers: u32, instances: usize) -> Millis {
    let instances = u64::try_from(instances).unwrap_or(u64::MAX);
    let entries = u64::from(routers).saturating_mul(instances);
    let max_factor = match entries < LARGE_FLEET_ENTRIES {
        true => MAX_INTERVAL_FACTOR,
        false => MAX_INTERVAL_FACTOR_LARGE_FLEET,
    };
    let factor = routers.div_ceil(ROUTERS_AT_FULL_RATE);
    Millis(USAGE_INTERVAL.0 * u64::from(factor.clamp(1, max_factor)))
}

/// Approximate age of the usage of other routers that a router holds: half the time between
/// their reports, half the time between the leader's sums, and half of it again until the next
/// sum arrives.
#[must_use]
pub fn usage_lag(routers: u32, instances: usize) -> Millis {
    Millis(usage_interval(routers, instances).0 * 3 / 2)
}

/// Time between messages about changed instances. It grows with the number of routers, since
/// one message goes to each of them.
#[must_use]
pub fn instances_interval(routers: usize) -> Millis {
    let routers = u64::try_from(routers).unwrap_or(u64::MAX);
    Millis((routers / ROUTERS_PER_INTERVAL_MS).min(MAX_INSTANCES_INTERVAL.0))
}

/// Load of one router, or the sum over all routers, on one instance.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct InstanceUsage {
    /// The instance.
    pub instance: RunnerId,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Prompt tokens that were sent and are not processed yet.
    pub prompt_tokens: u32,
}

/// Adds up the usage of each instance; the result is in the order of the identities.
#[must_use]
pub fn sum_by_instance(usage: impl IntoIterator<Item = InstanceUsage>) -> Vec<InstanceUsage> {
    let mut sums: BTreeMap<RunnerId, InstanceUsage> = BTreeMap::new();
    for one in usage {
        match sums.get_mut(&one.instance) {
            Some(sum) => {
                sum.in_flight = sum.in_flight.saturating_add(one.in_flight);
                sum.prompt_tokens = sum.prompt_tokens.saturating_add(one.prompt_tokens);
            }
            None => {
                sums.insert(one.instance.clone(), one);
            }
        }
    }
    sums.into_values().collect()
}

/// Demand for one model at one router since the router's last report.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ModelDemand {
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if requested.
    pub adapter: Option<String>,
    /// Number of requests that arrived.
    pub arrivals: u32,
    /// Prompt tokens sent to instances for processing, without cached prefixes.
    pub tokens: u32,
    /// Shortest latency objective of the requests that arrived, in milliseconds; 0 without
    /// arrivals.
    pub objective_ms: u32,
    /// Number of requests that an instance answered later than their objective.
    pub late: u32,
    /// Number of requests that are waiting for an instance.
    pub waiting: u32,
}

/// Address and zone of a member of the control group.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct MemberLocation {
    /// Wire address, `ip:port`.
    pub address: String,
    /// Zone, if known.
    pub zone: Option<Zone>,
}

/// Message of a feed: from a controller to a router, or from the leader to a controller.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum FeedMessage {
    /// The sender has no feed to offer; another controller may have one.
    NoFeed {
        /// The leader's wire address, if known.
        leader: Option<String>,
    },
    /// The sender has lost its leader and waits for the next one. Does not count as a message
    /// from a leader.
    AwaitingLeader,
    /// Identifies the leader whose feed follows; the first message of each feed.
    Leadership {
        /// Term of the leader.
        term: u64,
        /// Whether the leader has received a registration of each live instance.
        settled: bool,
    },
    /// Locations of the members of the control group.
    Members(Vec<MemberLocation>),
    /// A committed configuration document as sent by the operator, encoded as its difference
    /// from an older document.
    Configuration {
        /// Number of the configuration.
        number: u64,
        /// Number of the older document; 0 for the empty one.
        base: u64,
        /// Digest of the document.
        digest: u64,
        /// Difference that produces the document when applied to the older one.
        difference: Vec<u8>,
    },
    /// New, changed and removed instances.
    Instances {
        /// New or changed instances.
        changed: Vec<InstanceView>,
        /// Removed instances.
        gone: Vec<RunnerId>,
    },
    /// The instances of one bucket in which the follower differs.
    Bucket {
        /// Index of the bucket, see [`crate::digest`].
        bucket: u32,
        /// Instances in the bucket.
        instances: Vec<InstanceView>,
        /// Whether the list is complete, so that other instances of the bucket are removed.
        complete: bool,
    },
    /// Identities of all live instances; all others are removed. Sent by the leader to
    /// controllers.
    LiveInstances(Vec<RunnerId>),
    /// Digests of all live instances. A router whose own digests differ still holds removed
    /// instances from an earlier feed and answers with [`ReportMessage::Compare`].
    Digests(InstanceDigests),
    /// Usage of all routers, including the receiver, and the number of routers.
    Usage {
        /// Number of the configuration in force at the leader.
        configuration: u64,
        /// Number of live routers.
        routers: u32,
        /// Usage summed over all routers.
        instances: Vec<InstanceUsage>,
    },
    /// Status of the tenants' accounts. A tenant that is left out has no recent use, and its
    /// requests need no query to the leader.
    Quotas {
        /// Epoch (leadership) that these accounts belong to.
        epoch: u64,
        /// Accounts with recent use.
        account_statuses: Vec<TenantAccountStatus>,
    },
    /// Answers to [`ReportMessage::QuotaQueries`].
    QuotaAnswers(Vec<QuotaAnswer>),
    /// Rate limits that instances report, and limits that ended recently. An instance that is
    /// left out is unchanged.
    Limits(Vec<LimitReport>),
    /// Answers to the queries of [`ReportMessage::Limits`].
    LimitAnswers(Vec<LimitAnswer>),
    /// Fingerprints of requests that ended instances. The lists are complete and replace those of
    /// the message before.
    Quarantine {
        /// Fingerprints that are suspected; a router reports those that were answered.
        suspected: Vec<Digest>,
        /// Fingerprints whose requests are sent to no instance.
        quarantined: Vec<Digest>,
    },
    /// Load and speed of instances. An instance that is left out is unchanged.
    InstanceLoads(Vec<InstanceLoad>),
    /// Answer to [`ReportMessage::Forwarding`]: a few routers that forward requests. The list
    /// replaces the one before.
    Forwarders(Vec<Forwarder>),
    /// The services whose instances run several software versions, or did so while streams that may
    /// still be resumed began. The list is complete and replaces the one before; it is sent only by
    /// a leader that has received a registration of each live instance.
    SoftwareVersions(Vec<ServiceVersions>),
    /// Answers to the queries of [`ReportMessage::StreamOrigins`].
    OriginAnswers(Vec<OriginAnswer>),
}

/// Update about a router that a controller relays to the leader.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RelayedReport {
    /// Name of the router.
    pub router: String,
    /// Number of the router's connection; each connection has a different one.
    pub session: u64,
    /// The update.
    pub update: RouterUpdate,
}

/// Change in the state of a router, see [`RelayedReport`].
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum RouterUpdate {
    /// The router has subscribed to the controller's feed.
    Connected {
        /// Number of the configuration in force at the router, 0 for none.
        configuration: u64,
    },
    /// A report of the router.
    Report(ReportMessage),
    /// The router's subscription has ended.
    Disconnected,
}

/// Message of a router to the controller that feeds it.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ReportMessage {
    /// Subscribes to the feed.
    Subscribe {
        /// Number of the configuration in force at the router, 0 for none.
        number: u64,
        /// Digests of the instances that the router holds.
        known: InstanceDigests,
    },
    /// Usage of instances and demand for models at the router.
    Usage {
        /// Number of the configuration in force at the router, 0 for none.
        configuration: u64,
        /// One entry for each instance with requests in flight.
        instances: Vec<InstanceUsage>,
        /// One entry for each model with arrivals since the last report or with waiting requests.
        demand: Vec<ModelDemand>,
        /// Instances that could not be reached recently.
        unreachable: Vec<RunnerId>,
        /// Instances that are ready in the feed and have announced to the router that they leave.
        leaving: Vec<RunnerId>,
    },
    /// Use of tenant quotas that the router has not reported yet.
    TenantUse(UseReport),
    /// Asks whether requests are within the quotas of their tenants.
    QuotaQueries(Vec<QuotaQuery>),
    /// Rate limits that instances reported, and queries whether requests are within them.
    Limits {
        /// Limits not yet reported to the leader.
        reports: Vec<LimitReport>,
        /// Queries, one for each request.
        queries: Vec<LimitQuery>,
    },
    /// Asks for the buckets in which the router's digests differ.
    Compare(InstanceDigests),
    /// Observations about requests that ended instances.
    Ends {
        /// Instances that ended with a request of the router in flight.
        ends: Vec<InstanceEnd>,
        /// Suspected fingerprints whose requests were answered.
        answered: Vec<AnsweredFingerprint>,
    },
    /// Observations of load, speed and pauses since the last report.
    InstanceLoads {
        /// One entry for each instance with news.
        samples: Vec<LoadSample>,
        /// One entry for each model with streams that ended.
        pauses: Vec<ModelPauses>,
    },
    /// Whether the router forwards requests of other routers; asks for routers that forward its
    /// own.
    Forwarding(ForwardingReport),
    /// Streams that clients may resume, and queries about such streams.
    StreamOrigins {
        /// Streams that began at this router and have not been reported to this leader.
        began: Vec<StreamOrigin>,
        /// Queries, one for each request that resumes a stream.
        queries: Vec<OriginQuery>,
    },
}
