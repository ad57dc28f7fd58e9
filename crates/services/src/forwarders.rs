//! Routers that forward requests for routers which can't reach an instance, as the leader knows
//! them.
//!
//! Invariant: a router is named to others only while it subscribes and reports itself available,
//! and the answer to one router is bounded, for any number of routers.

use courseshunt_types::{RouterId, Zone};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of forwarders named to one router.
const MAX_FORWARDERS: usize = 4;
/// Of these, routers of the same zone at most: a zone may lose its paths as a whole.
const MAX_SAME_ZONE: usize = 2;

/// A router that forwards requests.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Forwarder {
    /// Its name.
    pub router: RouterId,
    /// Wire address, `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: Zone,
}

/// A router's report whether it forwards requests of other routers.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ForwardingReport {
    /// Its wire address, `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is ready and not stopping.
    pub available: bool,
    /// Number of instances to which it has lost its own path, as far as it knows.
    pub lost_paths: u32,
}

/// Order in which routers are named.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether the router has lost paths.
    has_lost: bool,
    draw: u64,
}

impl Rank {
    fn of(router: &str, report: &ForwardingReport, seed: u64) -> Self {
        Self {
            has_lost: report.lost_paths > 0,
            draw: xxh3_64_with_seed(router.as_bytes(), seed),
        }
    }
}

/// The reports of all routers that subscribe. Cost of an answer: linear in the routers.
#[derive(Debug, Default)]
pub struct ForwarderDirectory {
    reports: BTreeMap<String, ForwardingReport>,
}

impl ForwarderDirectory {
    /// Records a router's report, which replaces the one before.
    pub fn record(&mut self, router: &str, report: ForwardingReport) {
        self.reports.insert(router.to_owned(), report);
    }

    /// Removes a router that no longer subscribes.
    pub fn remove(&mut self, router: &str) {
        self.reports.remove(router);
    }

    /// Available routers other than `asking`: those without lost paths first, of these a few of its
    /// zone, then others. `seed` varies the choice, so that routers which ask at the same time get
    /// different answers.
    #[must_use]
    pub fn candidates(&self, asking: &str, zone: &Zone, seed: u64) -> Vec<Forwarder> {
        let available = self.reports.iter();
        let available = available.filter(|(router, one)| one.available && *router != asking);
        let mut ranked: Vec<(Rank, &String, &ForwardingReport)> = available
            .map(|(router, one)| (Rank::of(router, one, seed), router, one))
            .collect();
        ranked.sort_unstable_by_key(|(rank, ..)| *rank);
        let is_near = |rank: &Rank, one: &ForwardingReport| !rank.has_lost && one.zone == *zone;
        let (same, others): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|(rank, _, one)| is_near(rank, one));
        let first = same
            .len()
            .min(MAX_SAME_ZONE.max(MAX_FORWARDERS.saturating_sub(others.len())));
        let chosen = same.into_iter().take(first).chain(others);
        let chosen = chosen.take(MAX_FORWARDERS);
        let chosen = chosen.map(|(_, router, one)| Forwarder {
            router: RouterId::from(router.as_str()),
            address: one.address.clone(),
            zone: one.zone.clone(),
        });
        chosen.collect()
    }
}
