//! A router's view of the rate limits that instances report, and the share that it sends without a
//! leader.
//!
//! Invariant: a response without a limit removes a limit only if its request was sent after the
//! limit was last reported, so that a response that was overtaken by a newer one removes nothing.

use super::{LimitReport, LimitVerdict, MIN_LOCAL_BURST, REMOVAL_RETENTION, RequestRate, account};
use crate::token_bucket::TokenBucket;
use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::HashMap;

/// Largest number of instances with a limit; the oldest entry is evicted first.
const MAX_ENTRIES: usize = 16_384;
/// Bounds the queries in flight for one instance to the requests that its rate admits in this
/// time, in seconds, and to one at least. Without the bound, all requests that wait for the
/// same moment would send a query at once.
const QUERY_WINDOW_S: f64 = 0.1;
/// Expected time in which the leader answers a query.
const EXPECTED_QUERY_TIME: Millis = Millis(10);
/// Shortest time for which a refusal is kept.
const MIN_REFUSAL_TIME: Millis = Millis(10);
/// Longest time for which a refusal without a leader is kept: a leader may be available again.
const MAX_LOCAL_REFUSAL_TIME: Millis = Millis(500);
/// Fraction of its equal share that a router sends without a leader: the leader may grant the
/// whole limit to other routers meanwhile.
const LOCAL_SHARE_FRACTION: f64 = 0.5;
/// From this local share on, in requests per second, a router uses a token bucket instead of time
/// slots: the initial request of each router is then small compared to the share.
const MIN_BUCKET_SHARE: f64 = 1.0;

/// Change of an instance's limit by a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// The limit is unchanged.
    None,
    /// The instance reports a limit, or another one than before.
    Reported(RequestRate),
    /// The instance reports no limit any more.
    Removed,
}

/// Next step for a request after an instance was selected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitStep {
    /// The instance reports no limit.
    Unlimited,
    /// Query the leader with this report, and end the query with
    /// [`RouterLimits::finish_query`].
    Query(LimitReport),
    /// Send the request in its time slot: the leader has granted it.
    Granted {
        /// Time until the time slot.
        after: Millis,
    },
    /// Send the request in its time slot: it is within this router's local share.
    LocalShare {
        /// Time until the time slot.
        after: Millis,
    },
    /// Don't send the request to this instance now.
    Refuse {
        /// Time after which a request would be within the limit.
        fits_after: Millis,
    },
}

#[derive(Debug)]
struct ReportedRate {
    /// `None` once the instance reports no limit any more.
    rate: Option<RequestRate>,
    reported_at: Timestamp,
    /// Whether this report was sent to, or received from, the current leader.
    sent_to_leader: bool,
    /// Until this time no query is sent, after a refusal.
    refused_until: Timestamp,
    /// When a request would fit, according to the last refusal.
    fits_at: Timestamp,
    /// Queries in flight.
    queries_in_flight: u32,
    /// The last time slot that was used without a leader.
    last_slot_at: Option<Timestamp>,
    /// Tokens of this router's local share.
    local_share: Option<TokenBucket>,
}

impl ReportedRate {
    fn new(rate: Option<RequestRate>, reported_at: Timestamp, sent_to_leader: bool) -> Self {
        Self {
            rate,
            reported_at,
            sent_to_leader,
            refused_until: Timestamp::default(),
            fits_at: Timestamp::default(),
            queries_in_flight: 0,
            last_slot_at: None,
            local_share: None,
        }
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        self.rate.is_none()
            && self.queries_in_flight == 0
            && now.since(self.reported_at) > REMOVAL_RETENTION
    }

    /// Time until the token bucket of the local share admits a request; charges the request if it
    /// may wait that long.
    fn bucket_wait(&mut self, share: f64, max_wait: Millis, now: Timestamp) -> Millis {
        let full = account(share, MIN_LOCAL_BURST, now);
        let local_share = self.local_share.get_or_insert(full);
        local_share.resize(full.rate(), full.capacity(), now);
        let wait = local_share.time_until(1.0, now);
        if wait <= max_wait {
            local_share.charge(1.0, now);
        }
        wait
    }

    /// Time until this router's next free time slot; reserves it if the request may wait that
    /// long.
    fn slot_wait(&mut self, rounds: &Rounds, max_wait: Millis, now: Timestamp) -> Millis {
        let slot = rounds.next_slot(self.last_slot_at, now);
        let wait = slot.since(now);
        if wait <= max_wait {
            self.last_slot_at = Some(slot);
        }
        wait
    }

    /// Whether the bound of queries in flight is reached.
    fn is_query_bound_reached(&self) -> bool {
        let rate = self.rate.map_or(f64::MAX, RequestRate::granted_per_second);
        f64::from(self.queries_in_flight) >= (rate * QUERY_WINDOW_S).max(1.0)
    }

    /// Sets another limit than before. The use of the local share stays counted, because the
    /// limit may change with each response.
    fn change(&mut self, rate: Option<RequestRate>) {
        self.rate = rate;
        self.refused_until = Timestamp::default();
    }
}

/// Schedule without a leader: time is divided into rounds, and each round has one time slot per
/// router. A router may send one request in its slot. Unused slots are lost, so that routers
/// that were idle don't all send at once.
struct Rounds {
    round_ms: f64,
    slot_ms: f64,
    /// Offset of this router's time slots, as a fraction of a round.
    phase: f64,
}

impl Rounds {
    fn of(rate: RequestRate, routers: u32, phase: f64) -> Self {
        let slot_ms = 1_000.0 / (rate.granted_per_second() * LOCAL_SHARE_FRACTION);
        Self {
            round_ms: slot_ms * f64::from(routers),
            slot_ms,
            phase,
        }
    }

    /// Number of the round that contains a time.
    fn round_of(&self, at: Timestamp) -> f64 {
        (at.0 as f64 / self.round_ms + self.phase).floor()
    }

    fn begin_of(&self, round: f64) -> f64 {
        (round - self.phase) * self.round_ms
    }

    /// Earliest time in a time slot of this router that is not used; `last_used` is the last one
    /// that is used.
    fn next_slot(&self, last_used: Option<Timestamp>, now: Timestamp) -> Timestamp {
        let current = self.round_of(now);
        let last_used = last_used.map(|at| self.round_of(at));
        let in_slot = (now.0 as f64) < self.begin_of(current) + self.slot_ms;
        if in_slot && last_used.is_none_or(|last_used| last_used < current) {
            return now;
        }
        let next = last_used.map_or(current, |last_used| last_used.max(current)) + 1.0;
        Timestamp(self.begin_of(next).ceil() as i64)
    }
}

/// Rate limits of all instances, at one router. See the module documentation.
#[derive(Debug)]
pub struct RouterLimits {
    entries: HashMap<RunnerId, ReportedRate>,
    /// Offset of this router's time slots in a round, from 0 to 1.
    phase: f64,
    routers: u32,
}

impl RouterLimits {
    /// Starts without limits. `phase`, from 0 to 1, should differ between routers.
    #[must_use]
    pub fn new(phase: f64) -> Self {
        Self {
            entries: HashMap::new(),
            phase,
            routers: 1,
        }
    }

    /// Sets the number of routers, including this one.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Records the limit in a response, or its absence, for a request that was sent at
    /// `sent_at`.
    pub fn observe(
        &mut self,
        instance: &RunnerId,
        rate: Option<RequestRate>,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> LimitChange {
        let entry = self.entries.get_mut(instance);
        match (entry, rate) {
            (None, None) => LimitChange::None,
            (None, Some(rate)) => {
                self.insert(instance, ReportedRate::new(Some(rate), now, false), now);
                LimitChange::Reported(rate)
            }
            (Some(entry), Some(rate)) => {
                entry.reported_at = now;
                if entry.rate == Some(rate) {
                    return LimitChange::None;
                }
                entry.change(Some(rate));
                entry.sent_to_leader = false;
                LimitChange::Reported(rate)
            }
            (Some(entry), None) => {
                if entry.rate.is_none() || sent_at < entry.reported_at {
                    return LimitChange::None;
                }
                entry.change(None);
                entry.reported_at = now;
                entry.sent_to_leader = false;
                LimitChange::Removed
            }
        }
    }

    /// Applies the reports that the leader published, where they are newer than those of this
    /// router; returns those that changed a limit.
    pub fn apply_leader_reports(
        &mut self,
        reports: &[LimitReport],
        now: Timestamp,
    ) -> Vec<LimitReport> {
        let mut changed = Vec::new();
        for published in reports {
            let reported_at = now - published.age;
            match self.entries.get_mut(&published.instance) {
                Some(entry) if reported_at <= entry.reported_at => continue,
                Some(entry) => {
                    entry.reported_at = reported_at;
                    entry.sent_to_leader = true;
                    if entry.rate == published.rate {
                        continue;
                    }
                    entry.change(published.rate);
                }
                None if published.rate.is_none() => continue,
                None => self.insert(
                    &published.instance,
                    ReportedRate::new(published.rate, reported_at, true),
                    now,
                ),
            }
            changed.push(published.clone());
        }
        changed
    }

    /// Takes the reports that have not been sent to the leader yet.
    pub fn take_unreported(&mut self, now: Timestamp) -> Vec<LimitReport> {
        let unreported = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| !entry.sent_to_leader);
        let unreported = unreported.map(|(instance, entry)| {
            entry.sent_to_leader = true;
            report_of(instance, entry, now)
        });
        unreported.collect()
    }

    /// Marks all reports as not sent, after a change of leader, and allows queries at once.
    pub fn mark_all_unreported(&mut self) {
        for entry in self.entries.values_mut() {
            entry.sent_to_leader = false;
            entry.refused_until = Timestamp::default();
        }
    }

    /// The limit that an instance reports.
    #[must_use]
    pub fn limit_of(&self, instance: &RunnerId) -> Option<RequestRate> {
        self.entries.get(instance)?.rate
    }

    /// Expected time until an instance accepts a request; `None` if a request may be tried now.
    #[must_use]
    pub fn blocked_for(&self, instance: &RunnerId, now: Timestamp) -> Option<Millis> {
        let entry = self.entries.get(instance)?;
        entry.rate?;
        if now < entry.refused_until {
            return Some(entry.fits_at.since(now).max(MIN_REFUSAL_TIME));
        }
        entry
            .is_query_bound_reached()
            .then_some(EXPECTED_QUERY_TIME)
    }

    /// Whether a query for a later time slot may be sent.
    #[must_use]
    pub fn may_query(&self, instance: &RunnerId) -> bool {
        let entry = self.entries.get(instance);
        entry.is_none_or(|entry| !entry.is_query_bound_reached())
    }

    /// Next step for a request to an instance, which may wait up to `max_wait` for its time slot.
    /// `has_leader` states whether a leader can be queried.
    pub fn step(
        &mut self,
        instance: &RunnerId,
        max_wait: Millis,
        has_leader: bool,
        now: Timestamp,
    ) -> LimitStep {
        if !has_leader {
            return self.step_without_leader(instance, max_wait, now);
        }
        match self.entries.get_mut(instance) {
            Some(entry) if entry.rate.is_some() => {
                entry.queries_in_flight += 1;
                LimitStep::Query(report_of(instance, entry, now))
            }
            Some(_) | None => LimitStep::Unlimited,
        }
    }

    /// Records the end of a query, with the leader's verdict if one came.
    pub fn finish_query(
        &mut self,
        instance: &RunnerId,
        verdict: Option<LimitVerdict>,
        now: Timestamp,
    ) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        entry.queries_in_flight = entry.queries_in_flight.saturating_sub(1);
        if let Some(LimitVerdict::Refused { fits_after }) = verdict {
            entry.refused_until = now.surely_after(fits_after.max(MIN_REFUSAL_TIME));
            entry.fits_at = entry.refused_until;
        }
    }

    /// Like [`Self::step`], without a leader: decides by this router's local share.
    pub fn step_without_leader(
        &mut self,
        instance: &RunnerId,
        max_wait: Millis,
        now: Timestamp,
    ) -> LimitStep {
        let (routers, phase) = (self.routers, self.phase);
        let limited = self.entries.get_mut(instance);
        let limited = limited.and_then(|entry| Some((entry.rate?, entry)));
        let Some((rate, entry)) = limited else {
            return LimitStep::Unlimited;
        };
        let share = rate.granted_per_second() * LOCAL_SHARE_FRACTION / f64::from(routers);
        let wait = match share >= MIN_BUCKET_SHARE {
            true => entry.bucket_wait(share, max_wait, now),
            false => entry.slot_wait(&Rounds::of(rate, routers, phase), max_wait, now),
        };
        if wait <= max_wait {
            return LimitStep::LocalShare { after: wait };
        }
        entry.refused_until = now + wait.clamp(MIN_REFUSAL_TIME, MAX_LOCAL_REFUSAL_TIME);
        entry.fits_at = now + wait;
        LimitStep::Refuse { fits_after: wait }
    }

    /// Removes instances that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&RunnerId) -> bool) {
        self.entries.retain(|instance, _| exists(instance));
    }

    fn insert(&mut self, instance: &RunnerId, entry: ReportedRate, now: Timestamp) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|_, entry| !entry.is_expired(now));
        }
        if self.entries.len() >= MAX_ENTRIES {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| entry.reported_at);
            if let Some(oldest) = oldest.map(|(instance, _)| instance.clone()) {
                self.entries.remove(&oldest);
            }
        }
        self.entries.insert(instance.clone(), entry);
    }
}

fn report_of(instance: &RunnerId, entry: &ReportedRate, now: Timestamp) -> LimitReport {
    LimitReport {
        instance: instance.clone(),
        rate: entry.rate,
        age: now.since(entry.reported_at),
    }
}
