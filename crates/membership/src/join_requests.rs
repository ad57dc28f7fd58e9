//! Requests to join the group that the leader has received or been notified of.
//!
//! Invariant: a process whose last request is too old is not added, since it may have ended,
//! and a member that has ended is removed only after a long silence.

use courseshunt_types::{ControllerId, Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Age at which a request expires; a joining process repeats its request far more often.
const REQUEST_LIFETIME: Millis = Millis(3_000);
/// Maximum number of requests that are kept.
const MAX_REQUESTS: usize = 64;

#[derive(Debug, Clone, Copy)]
struct JoinRequest {
    address: SocketAddr,
    received_at: Timestamp,
}

/// Pending join requests, by member.
#[derive(Debug, Default)]
pub struct JoinRequests {
    requests: BTreeMap<ControllerId, JoinRequest>,
}

impl JoinRequests {
    /// Records that `member`, at `address`, requests to join; returns whether no request of it was
    /// recorded before.
    pub fn record(&mut self, member: ControllerId, address: SocketAddr, now: Timestamp) -> bool {
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&member) {
            return false;
        }
        let received_at = now;
        let request = JoinRequest {
            address,
            received_at,
        };
        self.requests.insert(member, request).is_none()
    }

    /// Processes with a recent request that are not members yet, with their addresses.
    pub fn pending(
        &mut self,
        members: &BTreeSet<ControllerId>,
        now: Timestamp,
    ) -> Vec<(ControllerId, SocketAddr)> {
        self.requests.retain(|member, request| {
            !members.contains(member) && now.since(request.received_at) < REQUEST_LIFETIME
        });
        let requests = self.requests.iter();
        requests.map(|(id, one)| (*id, one.address)).collect()
    }

    /// Removes all requests, as at the end of a leadership.
    pub fn clear(&mut self) {
        self.requests.clear();
    }
}
