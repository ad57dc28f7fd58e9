//! Messages between controllers and routers of protocol version 2 in their form on the wire,
//! which must never change.

use courseshunt_services::{InstanceDigests, InstanceUsage, InstanceView, ModelDemand};
use courseshunt_types::RunnerId;

/// Message from a controller to a router.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) enum FeedMessage {
    /// The controller is not the leader and serves no feed.
    NotLeader {
        /// Wire address of the leader, `ip:port`, if known.
        leader: Option<String>,
    },
    /// Wire addresses of all members of the group, `ip:port`.
    Members(Vec<String>),
    /// A committed configuration document, in the form in which the operator submitted it, as its
    /// difference from an older one.
    Configuration {
        /// Number of the document.
        number: u64,
        /// Number of the older document; 0 for the empty one.
        base: u64,
        /// Digest of the document.
        digest: u64,
        /// Difference that turns the older document into this one.
        difference: Vec<u8>,
    },
    /// Instances that changed or were removed.
    Instances {
        /// New or changed instances.
        changed: Vec<InstanceView>,
        /// Removed instances.
        gone: Vec<RunnerId>,
    },
    /// Complete list of the instances; any other one has been removed.
    Live(Vec<RunnerId>),
    /// Usage of the instances by all routers, including the receiver.
    Usage {
        /// Number of the configuration in force at the leader.
        configuration: u64,
        /// Number of live routers.
        routers: u32,
        /// Usage summed over all routers.
        instances: Vec<InstanceUsage>,
    },
}

/// Message from a router to a controller.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) enum ReportMessage {
    /// Subscribes to the feed.
    Subscribe {
        /// Number of the configuration in force at the router, 0 for none.
        number: u64,
        /// Digests of the instances that the router holds.
        known: InstanceDigests,
    },
    /// The router's usage of instances and the demand that it receives.
    Usage {
        /// Number of the configuration in force at the router, 0 for none.
        configuration: u64,
        /// Usage of each instance with requests in flight.
        instances: Vec<InstanceUsage>,
        /// Demand for each model that was requested since the last report or that queued requests
        /// wait for.
        demand: Vec<ModelDemand>,
        /// Instances that recently could not be reached.
        unreachable: Vec<RunnerId>,
    },
}
