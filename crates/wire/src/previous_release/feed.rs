//! Messages between controllers and routers of protocol version 2, as they are on the wire:
//! never changed.

use courseshunt_services::{InstanceDigests, InstanceUsage, InstanceView, ModelDemand};
use courseshunt_types::RunnerId;

/// Controller to router.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) enum FeedMessage {
    /// This controller does not lead; the leader's wire address, if known.
    NotLeader {
        /// `ip:port`.
        leader: Option<String>,
    },
    /// Wire addresses of all members of the group.
    Members(Vec<String>),
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
    /// All instances that are there; others are gone.
    Live(Vec<RunnerId>),
    /// What all routers use, this one included, and how many there are.
    Usage {
        /// Number of the configuration in force at the leader.
        configuration: u64,
        /// Live routers.
        routers: u32,
        /// Usage summed over all routers.
        instances: Vec<InstanceUsage>,
    },
}

/// Router to controller.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) enum ReportMessage {
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
    },
}
