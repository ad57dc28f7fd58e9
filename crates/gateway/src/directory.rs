//! Which controllers a router asks for the feed, and in what order.
//!
//! Invariants: what a controller tells never makes the router know fewer ways to the
//! group: one that is no member itself knows no members, and that says nothing of them.
//! Those of the router's own zone come first, so that the feed crosses zones once for a
//! controller; within a zone the order is a router's own, so that its controllers have
//! about as many routers, and those of one that is lost go to all others alike.

use courseshunt_types::Zone;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// A controller as far as it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownMember {
    /// Wire address.
    pub address: SocketAddr,
    /// Its zone, where that is known.
    pub zone: Option<Zone>,
}

/// See the module.
#[derive(Debug, Clone)]
pub struct Directory {
    router: String,
    zone: Zone,
    seeds: Vec<SocketAddr>,
    members: Vec<KnownMember>,
}

impl Directory {
    /// The directory of this router.
    #[must_use]
    pub fn of(router: &str, zone: Zone) -> Self {
        Self {
            router: router.to_owned(),
            zone,
            seeds: Vec::new(),
            members: Vec::new(),
        }
    }

    /// Follows the addresses that the settings name.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Takes the members that a controller tells of.
    pub fn set_members(&mut self, members: Vec<KnownMember>) {
        if !members.is_empty() {
            self.members = members;
        }
    }

    /// The first controller that was not tried yet: members of this zone, other members,
    /// seeds that are none.
    #[must_use]
    pub fn next(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let candidates = self.candidates().into_iter();
        let mut untried = candidates.filter(|one| !tried.contains(one));
        untried.next()
    }

    /// Whether a controller, none of the `failed` ones, comes before this one. Members that
    /// join later get their part of the routers by that, and a zone its own routers.
    #[must_use]
    pub fn has_better(&self, than: SocketAddr, failed: &[SocketAddr]) -> bool {
        // What `than` did before it fed this router does not make a later one better.
        let candidates = self.candidates().into_iter();
        let mut before = candidates.take_while(|one| *one != than);
        !self.members.is_empty() && before.any(|one| !failed.contains(&one))
    }

    /// All known addresses in this order, each once.
    #[must_use]
    pub fn candidates(&self) -> Vec<SocketAddr> {
        let (near, far): (Vec<_>, Vec<_>) = self.members.iter().partition(|one| self.is_near(one));
        let addresses = |members: Vec<&KnownMember>| {
            let addresses = members.into_iter().map(|one| one.address);
            self.in_order(addresses.collect())
        };
        let seeds = self.in_order(self.seeds.clone());
        let mut candidates = addresses(near);
        for address in addresses(far).into_iter().chain(seeds) {
            if !candidates.contains(&address) {
                candidates.push(address);
            }
        }
        candidates
    }

    fn is_near(&self, member: &KnownMember) -> bool {
        member.zone.as_ref() == Some(&self.zone)
    }

    /// Highest random weight first.
    fn in_order(&self, mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
        addresses.sort_by_key(|address| xxh3_64(format!("{} {address}", self.router).as_bytes()));
        addresses.dedup();
        addresses
    }
}
