//! Which router owns which queue: rendezvous hashing over live routers.

use courseshunt_types::{DeploymentName, RouterId};
use xxhash_rust::xxh3::xxh3_64;

/// A queue: one shard of one deployment's waiting requests.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct QueueKey {
    /// The deployment.
    pub deployment: DeploymentName,
    /// The shard, from 0.
    pub shard: u32,
}

/// The owner of `key` among `routers`: the one with the highest hash, so that
/// the loss of a router moves only the queues that it owned.
#[must_use]
pub fn owner_of<'a>(
    key: &QueueKey,
    routers: impl IntoIterator<Item = &'a RouterId>,
) -> Option<&'a RouterId> {
    routers.into_iter().max_by_key(|router| score(key, router))
}

fn score(key: &QueueKey, router: &RouterId) -> u64 {
    let text = format!("{}\0{}\0{}", key.deployment, key.shard, router);
    xxh3_64(text.as_bytes())
}
