//! Whom a process asks to be taken into the group, and when again.
//!
//! Invariants: what an answer tells is used: the leader that it names is asked next, and
//! the members that it names after it; every address is asked again as long as no leader
//! is known; only so many questions are under way at once.

use courseshunt_types::{Millis, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Pause before one that answered is asked again.
const ASK_AGAIN: Millis = Millis(300);
/// Time without a leader before a member asks at all: it needs that only if it was removed,
/// and until then its questions would take processor time from the election.
const MEMBER_PATIENCE: Millis = Millis(1_500);
/// Longest pause before one that did not answer is asked again.
const LONGEST_PAUSE: Millis = Millis(1_200);
/// Once a leader has said that it takes this process in, the others are left alone so long.
const TRUST_LEADER: Millis = Millis(900);
/// Questions under way at the most.
const MOST_OPEN: usize = 6;
/// Addresses that are kept at the most.
const MOST_KNOWN: usize = 64;

/// What becomes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum JoinStrategy {
    /// The addresses that it names are asked too.
    #[default]
    FollowReplies,
    /// Only its sender is asked again; for comparisons in virtual time.
    SeedsOnly,
}

/// What one that was asked has last told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinOutcome {
    /// It leads and takes this process in.
    Leads,
    /// It does not lead.
    Follows,
    /// Nothing in time, or no connection.
    NoReply,
}

/// An answer to the wish to join.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JoinReply {
    /// The sender leads and takes the process in.
    pub leads: bool,
    /// Where the leader is, as far as the sender knows.
    pub leader: Option<SocketAddr>,
    /// Addresses of members, or of whomever the sender knows.
    pub members: Vec<SocketAddr>,
}

/// What the choice rests on.
#[derive(Debug, Clone, Copy)]
pub struct JoinerView<'a> {
    /// This process's own address.
    pub own_address: SocketAddr,
    /// A leader is known, so that nobody has to be asked.
    pub leader_known: bool,
    /// This process's log names members, so that an election may be about to end.
    pub is_member: bool,
    /// Addresses known otherwise: seeds, members, processes that connected here.
    pub known_addresses: &'a [SocketAddr],
}

#[derive(Debug, Clone, Copy, Default)]
struct Candidate {
    open: bool,
    asked_at: Option<Timestamp>,
    /// Not to be asked earlier.
    ask_at: Timestamp,
    failures: u32,
    answer: Option<JoinOutcome>,
    /// Somebody said that it leads.
    named: bool,
}

/// See the module.
#[derive(Debug, Default)]
pub struct Joiner {
    way: JoinStrategy,
    candidates: BTreeMap<SocketAddr, Candidate>,
    leaderless_since: Option<Timestamp>,
    trusted_until: Timestamp,
}

impl Joiner {
    /// A joiner that treats answers so.
    #[must_use]
    pub fn with_strategy(way: JoinStrategy) -> Self {
        Self {
            way,
            ..Self::default()
        }
    }

    /// Addresses to ask now. Each is under way until its answer, or its lack, is told.
    pub fn due(&mut self, view: JoinerView<'_>, now: Timestamp) -> Vec<SocketAddr> {
        if view.leader_known {
            self.leaderless_since = None;
            self.candidates.retain(|_, one| one.open);
            return Vec::new();
        }
        let since = *self.leaderless_since.get_or_insert(now);
        if view.is_member && now.since(since) < MEMBER_PATIENCE {
            return Vec::new();
        }
        for address in view.known_addresses {
            self.learn(*address);
        }
        self.candidates.remove(&view.own_address);
        let open = self.candidates.values().filter(|one| one.open).count();
        let mut due: Vec<SocketAddr> = self.askable(now).collect();
        due.sort_by_key(|address| self.rank(*address));
        due.truncate(MOST_OPEN.saturating_sub(open));
        for address in &due {
            if let Some(candidate) = self.candidates.get_mut(address) {
                candidate.open = true;
                candidate.asked_at = Some(now);
            }
        }
        due
    }

    /// When somebody is to be asked next, unless an answer comes before.
    #[must_use]
    pub fn next_due_at(&self) -> Option<Timestamp> {
        let idle = self.candidates.values().filter(|one| !one.open);
        idle.map(|one| one.ask_at).min()
    }

    fn askable(&self, now: Timestamp) -> impl Iterator<Item = SocketAddr> + '_ {
        let trusts = now < self.trusted_until;
        let idle = self.candidates.iter();
        let idle = idle.filter(move |(_, one)| !one.open && one.ask_at <= now);
        let wanted = idle.filter(move |(_, one)| !trusts || one.answer == Some(JoinOutcome::Leads));
        wanted.map(|(address, _)| *address)
    }

    /// Lower ones are asked first: who leads by hearsay, then who answered, then those
    /// that were asked longest ago.
    fn rank(&self, address: SocketAddr) -> (bool, u32, Option<Timestamp>) {
        let candidate = self.candidates.get(&address).copied().unwrap_or_default();
        (!candidate.named, candidate.failures, candidate.asked_at)
    }

    /// Takes an answer in.
    pub fn reply_received(&mut self, address: SocketAddr, reply: &JoinReply, now: Timestamp) {
        let candidate = self.candidates.entry(address).or_default();
        candidate.open = false;
        candidate.failures = 0;
        candidate.named = reply.leads;
        candidate.ask_at = now + ASK_AGAIN;
        candidate.answer = Some(match reply.leads {
            true => JoinOutcome::Leads,
            false => JoinOutcome::Follows,
        });
        if reply.leads {
            self.trusted_until = now + TRUST_LEADER;
        }
        if self.way == JoinStrategy::SeedsOnly {
            return;
        }
        for member in &reply.members {
            self.learn(*member);
        }
        if let Some(leader) = reply.leader.filter(|leader| *leader != address) {
            self.name_leader(leader, now);
        }
    }

    /// A leader that somebody names is asked at once, unless it was just asked.
    fn name_leader(&mut self, leader: SocketAddr, now: Timestamp) {
        self.learn(leader);
        if let Some(candidate) = self.candidates.get_mut(&leader) {
            let earliest = candidate.asked_at.map_or(now, |asked| asked + ASK_AGAIN);
            candidate.named = true;
            candidate.ask_at = candidate.ask_at.min(earliest);
        }
    }

    /// Notes that an address did not answer.
    pub fn no_reply(&mut self, address: SocketAddr, now: Timestamp) {
        let candidate = self.candidates.entry(address).or_default();
        candidate.open = false;
        candidate.named = false;
        candidate.failures += 1;
        let pause = Millis(ASK_AGAIN.0 << candidate.failures.min(4));
        candidate.ask_at = now + pause.min(LONGEST_PAUSE);
        candidate.answer = Some(JoinOutcome::NoReply);
    }

    fn learn(&mut self, address: SocketAddr) {
        if self.candidates.len() >= MOST_KNOWN && !self.candidates.contains_key(&address) {
            let idle = self.candidates.iter().filter(|(_, one)| !one.open);
            let worst = idle.max_by_key(|(_, one)| one.failures);
            let Some(worst) = worst.map(|(address, _)| *address) else {
                return;
            };
            self.candidates.remove(&worst);
        }
        self.candidates.entry(address).or_default();
    }

    /// Who has been asked, with the last answers.
    pub fn outcomes(&self) -> impl Iterator<Item = (SocketAddr, JoinOutcome)> + '_ {
        let candidates = self.candidates.iter();
        candidates.filter_map(|(address, one)| Some((*address, one.answer?)))
    }
}
