//! Processes that want to join, as the leader has heard of them.
//!
//! Invariant: one that was not heard of lately is not taken in: it may be gone, and a
//! member that is gone is only forgotten after a long silence.

use courseshunt_types::{ControllerId, Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// An applicant that was not heard of for so long is dropped; it asks far more often.
const LIFETIME: Millis = Millis(3_000);
/// JoinRequests that are kept at the most.
const MOST: usize = 64;

#[derive(Debug, Clone, Copy)]
struct Applicant {
    address: SocketAddr,
    heard_at: Timestamp,
}

/// See the module.
#[derive(Debug, Default)]
pub struct JoinRequests {
    known: BTreeMap<ControllerId, Applicant>,
}

impl JoinRequests {
    /// Notes that `member`, found at `address`, wants to join; returns whether that is new.
    pub fn record(&mut self, member: ControllerId, address: SocketAddr, now: Timestamp) -> bool {
        if self.known.len() >= MOST && !self.known.contains_key(&member) {
            return false;
        }
        let heard_at = now;
        let applicant = Applicant { address, heard_at };
        self.known.insert(member, applicant).is_none()
    }

    /// Those that are not members yet, with their addresses.
    pub fn pending(
        &mut self,
        members: &BTreeSet<ControllerId>,
        now: Timestamp,
    ) -> Vec<(ControllerId, SocketAddr)> {
        self.known.retain(|member, applicant| {
            !members.contains(member) && now.since(applicant.heard_at) < LIFETIME
        });
        let known = self.known.iter();
        known.map(|(id, one)| (*id, one.address)).collect()
    }

    /// Forgets all, as at the end of a leadership.
    pub fn clear(&mut self) {
        self.known.clear();
    }
}
