//! The ids of the requests that a connection has carried.
//!
//! Invariant: an id that was inserted is never accepted again; a set that is full accepts none.

use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of requests on one connection; bounds the memory of the set to about 16 KiB.
const MAX_IDS: usize = 1_024;

/// See the module. Digests are kept: two ids with the same digest only cost a connection.
#[derive(Debug, Default)]
pub struct CarriedIds {
    digests: HashSet<u64>,
}

impl CarriedIds {
    /// Whether a request with this id may be sent: the connection has not carried it, and the set
    /// is not full.
    #[must_use]
    pub fn accepts(&self, id: &str) -> bool {
        !self.is_full() && !self.digests.contains(&xxh3_64(id.as_bytes()))
    }

    /// Adds the id of a request that is sent.
    pub fn insert(&mut self, id: &str) {
        self.digests.insert(xxh3_64(id.as_bytes()));
    }

    /// Whether no further id is accepted.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.digests.len() >= MAX_IDS
    }
}
