//! Which controllers a router asks for the leader's feed, and in what order.
//!
//! Invariant: what a controller tells never makes the router know fewer ways to the
//! group: one that is no member itself knows no members, and that says nothing of them.

use std::collections::VecDeque;
use std::net::SocketAddr;

/// See the module.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    seeds: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    /// Told to lead; tried first.
    leader: Option<SocketAddr>,
}

impl Directory {
    /// Follows the addresses that the settings name.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Takes the members that a controller tells of.
    pub fn set_members(&mut self, members: Vec<SocketAddr>) {
        if !members.is_empty() {
            self.members = members;
        }
    }

    /// Takes who leads, as a controller tells.
    pub fn set_leader(&mut self, leader: Option<SocketAddr>) {
        self.leader = leader;
    }

    /// Who was told to lead.
    #[must_use]
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader
    }

    /// All known addresses, the leader's first, each once.
    #[must_use]
    pub fn candidates(&self) -> VecDeque<SocketAddr> {
        let mut candidates: VecDeque<SocketAddr> = self.leader.into_iter().collect();
        for address in self.members.iter().chain(&self.seeds) {
            if !candidates.contains(address) {
                candidates.push_back(*address);
            }
        }
        candidates
    }
}
