//! Order in which a router asks controllers for the feed.
//!
//! Invariants: the member list of a controller never reduces the known ways to the group: a
//! controller that is not a member has an empty list, which is ignored. Controllers of the
//! router's own zone come first, so that the feed crosses zones once per controller. Within a
//! zone each router has its own order by rendezvous hashing, so that controllers have about the
//! same number of routers, and the routers of a lost controller spread evenly over the others.

use courseshunt_types::Zone;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// A member of the group of controllers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownMember {
    /// Address for the wire protocol.
    pub address: SocketAddr,
    /// Zone, if known.
    pub zone: Option<Zone>,
}

/// Addresses of the controllers that a router can ask for the feed, and the order between them.
#[derive(Debug, Clone)]
pub struct Directory {
    router: String,
    zone: Zone,
    seeds: Vec<SocketAddr>,
    members: Vec<KnownMember>,
}

impl Directory {
    /// Creates the directory of the router with this name and zone.
    #[must_use]
    pub fn of(router: &str, zone: Zone) -> Self {
        Self {
            router: router.to_owned(),
            zone,
            seeds: Vec::new(),
            members: Vec::new(),
        }
    }

    /// Replaces the addresses from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Replaces the members by the list of a controller; an empty list is ignored.
    pub fn set_members(&mut self, members: Vec<KnownMember>) {
        if !members.is_empty() {
            self.members = members;
        }
    }

    /// The first controller that was not tried: members of this zone, then other members, then
    /// seeds that are not members.
    #[must_use]
    pub fn next(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let candidates = self.candidates().into_iter();
        let mut untried = candidates.filter(|one| !tried.contains(one));
        untried.next()
    }

    /// Whether a controller that is not in `failed` precedes `current`. This moves routers to
    /// members that join later and back to controllers of their own zone.
    #[must_use]
    pub fn has_preferred(&self, current: SocketAddr, failed: &[SocketAddr]) -> bool {
        // Whether `current` failed before it sent this router a feed is ignored: it does not make
        // a later controller preferred.
        let candidates = self.candidates().into_iter();
        let mut preceding = candidates.take_while(|one| *one != current);
        !self.members.is_empty() && preceding.any(|one| !failed.contains(&one))
    }

    /// All known addresses in order of preference, without duplicates.
    #[must_use]
    pub fn candidates(&self) -> Vec<SocketAddr> {
        let (local, remote): (Vec<_>, Vec<_>) =
            self.members.iter().partition(|one| self.is_local(one));
        let addresses = |members: Vec<&KnownMember>| {
            let addresses = members.into_iter().map(|one| one.address);
            self.by_hash(addresses.collect())
        };
        let seeds = self.by_hash(self.seeds.clone());
        let mut candidates = addresses(local);
        for address in addresses(remote).into_iter().chain(seeds) {
            if !candidates.contains(&address) {
                candidates.push(address);
            }
        }
        candidates
    }

    fn is_local(&self, member: &KnownMember) -> bool {
        member.zone.as_ref() == Some(&self.zone)
    }

    /// Sorts by the hash of router and address, which differs from router to router.
    fn by_hash(&self, mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
        addresses.sort_by_key(|address| xxh3_64(format!("{} {address}", self.router).as_bytes()));
        addresses.dedup();
        addresses
    }
}
