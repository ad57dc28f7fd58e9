//! Schedule of the join requests that a process sends to other processes.
//!
//! Invariants: the addresses in a reply are used: the leader that it names is contacted next,
//! and the members that it names after that; each address is retried while no leader is known;
//! the number of requests in flight is bounded.

use courseshunt_types::{Millis, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time until an address that replied is contacted again.
const RETRY_INTERVAL: Millis = Millis(300);
/// Time without a leader before a member sends join requests. It needs them only if it was
/// removed, and earlier requests would take processor time from the election.
const MEMBER_DELAY: Millis = Millis(1_500);
/// Maximum backoff before an address that did not reply is contacted again.
const MAX_BACKOFF: Millis = Millis(1_200);
/// Time after a leader has accepted the request during which no other address is contacted.
const LEADER_ONLY_TIME: Millis = Millis(900);
/// Maximum number of requests in flight.
const MAX_IN_FLIGHT: usize = 6;
/// Maximum number of addresses that are kept.
const MAX_CANDIDATES: usize = 64;

/// Use of the addresses in replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum JoinStrategy {
    /// Addresses in replies are contacted too.
    #[default]
    FollowReplies,
    /// Addresses in replies are ignored; for comparison runs in the simulation.
    SeedsOnly,
}

/// Outcome of the last join request to an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinOutcome {
    /// It leads and has accepted the request.
    Leads,
    /// It does not lead.
    Follows,
    /// No reply in time, or no connection.
    NoReply,
}

/// Reply to a join request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JoinReply {
    /// Whether the sender leads and has accepted the request.
    pub leads: bool,
    /// Address of the leader, if the sender has it.
    pub leader: Option<SocketAddr>,
    /// Addresses of members, or of other processes that the sender has.
    pub members: Vec<SocketAddr>,
}

/// State of the process that the schedule depends on.
#[derive(Debug, Clone, Copy)]
pub struct JoinerView<'a> {
    /// Wire address of this process.
    pub own_address: SocketAddr,
    /// Whether a leader is known, so that no request is needed.
    pub leader_known: bool,
    /// Whether this process's log names members, so that an election may be in progress.
    pub is_member: bool,
    /// Addresses from other sources: seeds, members, processes that connected to this one.
    pub known_addresses: &'a [SocketAddr],
}

#[derive(Debug, Clone, Copy, Default)]
struct Candidate {
    in_flight: bool,
    sent_at: Option<Timestamp>,
    /// Earliest time of the next request.
    due_at: Timestamp,
    /// Number of requests without a reply in a row.
    failures: u32,
    outcome: Option<JoinOutcome>,
    /// Whether the last reply from this address, or a reply from another one, reported it as the
    /// leader.
    reported_leader: bool,
}

/// Schedules the join requests of one process.
#[derive(Debug, Default)]
pub struct Joiner {
    strategy: JoinStrategy,
    candidates: BTreeMap<SocketAddr, Candidate>,
    leaderless_since: Option<Timestamp>,
    /// Until then only a leader that accepted a request is contacted.
    leader_only_until: Timestamp,
}

impl Joiner {
    /// Creates a joiner with this strategy.
    #[must_use]
    pub fn with_strategy(strategy: JoinStrategy) -> Self {
        Self {
            strategy,
            ..Self::default()
        }
    }

    /// Addresses to contact now. Each request counts as in flight until
    /// [`Self::reply_received`] or [`Self::no_reply`] is called for its address.
    pub fn due(&mut self, view: JoinerView<'_>, now: Timestamp) -> Vec<SocketAddr> {
        if view.leader_known {
            self.leaderless_since = None;
            self.candidates.retain(|_, one| one.in_flight);
            return Vec::new();
        }
        let since = *self.leaderless_since.get_or_insert(now);
        if view.is_member && now.since(since) < MEMBER_DELAY {
            return Vec::new();
        }
        for address in view.known_addresses {
            self.add_candidate(*address);
        }
        self.candidates.remove(&view.own_address);
        let in_flight = self.candidates.values().filter(|one| one.in_flight).count();
        let mut due: Vec<SocketAddr> = self.due_addresses(now).collect();
        due.sort_by_key(|address| self.sort_key(*address));
        due.truncate(MAX_IN_FLIGHT.saturating_sub(in_flight));
        for address in &due {
            if let Some(candidate) = self.candidates.get_mut(address) {
                candidate.in_flight = true;
                candidate.sent_at = Some(now);
            }
        }
        due
    }

    /// Time of the next request, unless a reply arrives earlier.
    #[must_use]
    pub fn next_due_at(&self) -> Option<Timestamp> {
        let idle = self.candidates.values().filter(|one| !one.in_flight);
        idle.map(|one| one.due_at).min()
    }

    fn due_addresses(&self, now: Timestamp) -> impl Iterator<Item = SocketAddr> + '_ {
        let leader_only = now < self.leader_only_until;
        let idle = self.candidates.iter();
        let idle = idle.filter(move |(_, one)| !one.in_flight && one.due_at <= now);
        let due =
            idle.filter(move |(_, one)| !leader_only || one.outcome == Some(JoinOutcome::Leads));
        due.map(|(address, _)| *address)
    }

    /// Sort key, lowest first: reported leaders, then addresses with fewer failures, then those
    /// that were contacted longest ago.
    fn sort_key(&self, address: SocketAddr) -> (bool, u32, Option<Timestamp>) {
        let candidate = self.candidates.get(&address).copied().unwrap_or_default();
        (
            !candidate.reported_leader,
            candidate.failures,
            candidate.sent_at,
        )
    }

    /// Records a reply to the request to `address`.
    pub fn reply_received(&mut self, address: SocketAddr, reply: &JoinReply, now: Timestamp) {
        let candidate = self.candidates.entry(address).or_default();
        candidate.in_flight = false;
        candidate.failures = 0;
        candidate.reported_leader = reply.leads;
        candidate.due_at = now + RETRY_INTERVAL;
        candidate.outcome = Some(match reply.leads {
            true => JoinOutcome::Leads,
            false => JoinOutcome::Follows,
        });
        if reply.leads {
            self.leader_only_until = now + LEADER_ONLY_TIME;
        }
        if self.strategy == JoinStrategy::SeedsOnly {
            return;
        }
        for member in &reply.members {
            self.add_candidate(*member);
        }
        if let Some(leader) = reply.leader.filter(|leader| *leader != address) {
            self.add_reported_leader(leader, now);
        }
    }

    /// Makes the request to a reported leader due at once, unless one was sent within the retry
    /// interval.
    fn add_reported_leader(&mut self, leader: SocketAddr, now: Timestamp) {
        self.add_candidate(leader);
        if let Some(candidate) = self.candidates.get_mut(&leader) {
            let earliest = candidate
                .sent_at
                .map_or(now, |sent_at| sent_at + RETRY_INTERVAL);
            candidate.reported_leader = true;
            candidate.due_at = candidate.due_at.min(earliest);
        }
    }

    /// Records that the request to `address` got no reply.
    pub fn no_reply(&mut self, address: SocketAddr, now: Timestamp) {
        let candidate = self.candidates.entry(address).or_default();
        candidate.in_flight = false;
        candidate.reported_leader = false;
        candidate.failures += 1;
        let backoff = Millis(RETRY_INTERVAL.0 << candidate.failures.min(4));
        candidate.due_at = now + backoff.min(MAX_BACKOFF);
        candidate.outcome = Some(JoinOutcome::NoReply);
    }

    /// Adds an address; if there are too many, it replaces the idle one with the most failures.
    fn add_candidate(&mut self, address: SocketAddr) {
        if self.candidates.len() >= MAX_CANDIDATES && !self.candidates.contains_key(&address) {
            let idle = self.candidates.iter().filter(|(_, one)| !one.in_flight);
            let worst = idle.max_by_key(|(_, one)| one.failures);
            let Some(worst) = worst.map(|(address, _)| *address) else {
                return;
            };
            self.candidates.remove(&worst);
        }
        self.candidates.entry(address).or_default();
    }

    /// Addresses that were contacted, with the outcome of the last completed request.
    pub fn outcomes(&self) -> impl Iterator<Item = (SocketAddr, JoinOutcome)> + '_ {
        let candidates = self.candidates.iter();
        candidates.filter_map(|(address, one)| Some((*address, one.outcome?)))
    }
}
