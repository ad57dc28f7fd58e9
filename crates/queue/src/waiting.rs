//! The waiting queue of one deployment.
//!
//! Order of service: class; within a class the tenants that are not ahead of
//! others; among these the earliest deadline. Of every [`AGEING_SHARE`] grants
//! one goes to a ticket of a lower class that has waited for half of its time,
//! so that nothing starves.

use crate::choice::{FreestRunner, RunnerChoice};
use crate::demand::{DemandReport, WaitingByClass};
use crate::estimate::WaitEstimate;
use crate::fairness::{ClassQueue, EntryKey};
use crate::rate::RateLimiter;
use crate::slots::SlotTable;
use crate::ticket::{Grant, GrantId, RunningGrant, Ticket, TicketRefusal};
use courseshunt_types::{
    ClassLimits, DeploymentName, Millis, PriorityClass, Refusal, RefusalReason, RequestId,
    RouterId, TenantName, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// One of this many grants may go to an aged ticket of a lower class.
pub const AGEING_SHARE: u32 = 16;
/// A ticket that waited longer before its offer is no new arrival.
pub const NEW_ARRIVAL: Millis = Millis(50);
/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Millis = Millis::from_secs(1);
/// Tokens of a prompt that cost as much as one generated token.
const PROMPT_TOKENS_PER_TOKEN: u64 = 8;

/// Limits of a queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueLimits {
    /// Length and deadline by class.
    pub classes: ClassLimits,
    /// A grant not used within this time goes to another.
    pub grant_lifetime: Millis,
    /// Requests per second of one tenant; 0 means no limit.
    pub tenant_rate_per_second: f64,
    /// Whether several tenants share the deployment; then one takes at most
    /// three quarters of a class's length.
    pub shared: bool,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            classes: ClassLimits::default(),
            grant_lifetime: Millis::from_secs(2),
            tenant_rate_per_second: 0.0,
            shared: false,
        }
    }
}

impl QueueLimits {
    fn tenant_length(&self, class: PriorityClass) -> u32 {
        let length = self.classes.of(class).queue_length;
        match self.shared {
            true => length - length / 4,
            false => length,
        }
    }
}

#[derive(Debug, Clone)]
struct Waiting {
    ticket: Ticket,
    key: EntryKey,
    since: Timestamp,
    aged_at: Timestamp,
}

/// Counters for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QueueCounts {
    /// Grants by class.
    pub granted: WaitingByClass,
    /// Sum of the waits of granted tickets by class, in milliseconds.
    pub waited_ms: [u64; 3],
    /// Grants to aged tickets.
    pub aged: u64,
}

impl QueueCounts {
    /// Adds the numbers of another queue.
    pub fn add(&mut self, other: &Self) {
        self.granted.add(&other.granted);
        for (sum, more) in self.waited_ms.iter_mut().zip(other.waited_ms) {
            *sum += more;
        }
        self.aged += other.aged;
    }
}

/// The waiting queue of one deployment.
#[derive(Debug)]
pub struct WaitingQueue {
    deployment: DeploymentName,
    limits: QueueLimits,
    classes: [ClassQueue; 3],
    waiting: BTreeMap<u64, Waiting>,
    numbers: BTreeMap<RequestId, u64>,
    deadlines: BTreeSet<(Timestamp, u64)>,
    aged: BTreeSet<(Timestamp, u64)>,
    arrivals_in_order: BTreeSet<(Timestamp, u64)>,
    estimate: WaitEstimate,
    rates: RateLimiter,
    slots: SlotTable,
    first_ready_at: Option<Timestamp>,
    arrived: WaitingByClass,
    last_number: u64,
    grants_since_aged: u32,
    counts: QueueCounts,
}

impl WaitingQueue {
    /// An empty queue.
    #[must_use]
    pub fn new(deployment: DeploymentName, limits: QueueLimits) -> Self {
        Self {
            deployment,
            limits,
            classes: Default::default(),
            waiting: BTreeMap::new(),
            numbers: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            aged: BTreeSet::new(),
            arrivals_in_order: BTreeSet::new(),
            estimate: WaitEstimate::default(),
            rates: RateLimiter::default(),
            slots: SlotTable::default(),
            first_ready_at: None,
            arrived: WaitingByClass::default(),
            last_number: 0,
            grants_since_aged: 0,
            counts: QueueCounts::default(),
        }
    }

    /// Takes new limits; they apply to new tickets.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
        self.rates.set_rate(limits.tenant_rate_per_second);
    }

    /// Sets when the first replica that is being loaded will serve; `None` when
    /// that is not known.
    pub fn set_first_ready_at(&mut self, at: Option<Timestamp>) {
        self.first_ready_at = at;
    }

    /// Takes in how long a request that ran took its slot.
    pub fn observe_service(&mut self, held: Millis) {
        self.estimate.observe(held);
    }

    /// The slots, to set replicas and return grants.
    pub fn slots_mut(&mut self) -> &mut SlotTable {
        &mut self.slots
    }

    /// The slots.
    #[must_use]
    pub fn slots(&self) -> &SlotTable {
        &self.slots
    }

    /// Counters.
    #[must_use]
    pub fn counts(&self) -> QueueCounts {
        self.counts
    }

    /// Takes a ticket in, or refuses it at once. A resent ticket changes nothing.
    ///
    /// # Errors
    /// When its tenant sends too fast, the queue of its class is full, or its
    /// deadline has passed or surely will before its turn.
    pub fn offer(&mut self, ticket: Ticket, now: Timestamp) -> Result<(), Refusal> {
        if self.numbers.contains_key(&ticket.request) {
            return Ok(());
        }
        if ticket.deadline_in == Millis(0) {
            let message = "the deadline has passed";
            return Err(Refusal::not_run(RefusalReason::DeadlineExceeded, message));
        }
        let is_new = ticket.waited <= NEW_ARRIVAL && ticket.avoid.is_empty();
        if is_new {
            self.take_rate(&ticket.tenant, now)?;
            // What is refused below is demand all the same.
            *self.arrived.of_mut(ticket.class) += 1;
        }
        self.check_length(&ticket, now)?;
        self.check_estimate(&ticket, now)?;
        self.insert(ticket, now);
        Ok(())
    }

    fn take_rate(&mut self, tenant: &TenantName, now: Timestamp) -> Result<(), Refusal> {
        let taken = self.rates.take(tenant, now);
        taken.map_err(|wait| {
            let message = format!("tenant {tenant} sends faster than allowed");
            let refusal = Refusal::not_run(RefusalReason::RateLimited, message);
            refusal.with_retry_after(wait)
        })
    }

    fn check_length(&self, ticket: &Ticket, now: Timestamp) -> Result<(), Refusal> {
        let class = &self.classes[ticket.class.rank()];
        let limit = self.limits.classes.of(ticket.class).queue_length;
        let tenant_limit = self.limits.tenant_length(ticket.class);
        let message = if class.len() >= limit {
            format!("{limit} requests of this class wait already")
        } else if class.len_of(&ticket.tenant) >= tenant_limit {
            format!("{tenant_limit} requests of this class and tenant wait already")
        } else {
            return Ok(());
        };
        let wait = self.start_in(ticket.class, Timestamp::NEVER, now);
        let wait = wait.unwrap_or(MIN_RETRY_AFTER).max(MIN_RETRY_AFTER);
        let refusal = Refusal::not_run(RefusalReason::QueueFull, message);
        Err(refusal.with_retry_after(wait))
    }

    /// Refuses a ticket that surely can't start in time.
    fn check_estimate(&self, ticket: &Ticket, now: Timestamp) -> Result<(), Refusal> {
        let start_in = self.start_in(ticket.class, now + ticket.deadline_in, now);
        let Some(start_in) = start_in.filter(|wait| *wait > ticket.deadline_in) else {
            return Ok(());
        };
        let message = format!(
            "the request would wait for about {:.1} s, longer than its deadline",
            start_in.as_secs_f64()
        );
        let over = Millis(start_in.0 - ticket.deadline_in.0);
        let refusal = Refusal::not_run(RefusalReason::DeadlineExceeded, message);
        Err(refusal.with_retry_after(over.max(MIN_RETRY_AFTER)))
    }

    /// Time until a new ticket would start, when it can be estimated.
    #[must_use]
    pub fn start_in(
        &self,
        class: PriorityClass,
        deadline: Timestamp,
        now: Timestamp,
    ) -> Option<Millis> {
        let slots = self.slots.total();
        if slots == 0 {
            return self.first_ready_at.map(|at| at.since(now));
        }
        let ahead = self.estimate.ahead(class, deadline);
        self.estimate.start_in(ahead, slots, self.slots.free())
    }

    fn insert(&mut self, ticket: Ticket, now: Timestamp) {
        self.last_number += 1;
        let number = self.last_number;
        let deadline = now + ticket.deadline_in;
        let since = now - ticket.waited;
        let key = EntryKey { deadline, number };
        let aged_at = since + Millis(deadline.since(since).0 / 2);
        self.classes[ticket.class.rank()].insert(&ticket.tenant, key);
        self.estimate.insert(ticket.class, key);
        self.deadlines.insert((deadline, number));
        self.arrivals_in_order.insert((since, number));
        if ticket.class != PriorityClass::Critical {
            self.aged.insert((aged_at, number));
        }
        self.numbers.insert(ticket.request.clone(), number);
        let waiting = Waiting {
            ticket,
            key,
            since,
            aged_at,
        };
        self.waiting.insert(number, waiting);
    }

    /// Takes a ticket out of all orders and charges `cost` to its tenant.
    fn remove(&mut self, number: u64, cost: u64) -> Option<Waiting> {
        let one = self.waiting.remove(&number)?;
        self.numbers.remove(&one.ticket.request);
        self.classes[one.ticket.class.rank()].remove(&one.ticket.tenant, one.key, cost);
        self.estimate.remove(one.ticket.class, one.key);
        self.deadlines.remove(&(one.key.deadline, number));
        self.arrivals_in_order.remove(&(one.since, number));
        self.aged.remove(&(one.aged_at, number));
        Some(one)
    }

    /// Takes a ticket out. Returns whether it was waiting.
    pub fn cancel(&mut self, request: &RequestId) -> bool {
        let number = self.numbers.get(request).copied();
        number.is_some_and(|number| self.remove(number, 0).is_some())
    }

    /// Refuses the tickets whose deadline has passed, and takes back grants
    /// that were not used.
    pub fn expire(&mut self, now: Timestamp) -> Vec<TicketRefusal> {
        self.slots.expire(now);
        let mut refused = Vec::new();
        while let Some((deadline, number)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            let Some(one) = self.remove(number, 0) else {
                break;
            };
            let message = "the deadline passed while the request waited";
            refused.push(TicketRefusal {
                request: one.ticket.request,
                holder: one.ticket.holder,
                refusal: Refusal::not_run(RefusalReason::DeadlineExceeded, message),
            });
        }
        refused
    }

    /// Grants free slots to the most urgent tickets, on the freest runners.
    /// Tickets whose deadline has passed are left for [`Self::expire`].
    pub fn grant(&mut self, now: Timestamp) -> Vec<Grant> {
        self.grant_by(now, &mut FreestRunner)
    }

    /// Grants free slots to the most urgent tickets, on the chosen runners.
    pub fn grant_by(&mut self, now: Timestamp, choice: &mut dyn RunnerChoice) -> Vec<Grant> {
        let mut grants = Vec::new();
        while let Some((number, aged)) = self.next(now) {
            let Some(one) = self.waiting.get(&number) else {
                break;
            };
            let Some(runner) = choice.choose(&one.ticket, &self.slots, now) else {
                break;
            };
            let Some(one) = self.remove(number, cost(&one.ticket)) else {
                break;
            };
            self.count_grant(&one, aged, now);
            grants.push(self.grant_one(one.ticket, runner, now));
        }
        grants
    }

    /// The ticket that is served next, and whether it goes before more urgent
    /// ones because of its age.
    fn next(&self, now: Timestamp) -> Option<(u64, bool)> {
        let usable = |number: u64| {
            let one = self.waiting.get(&number);
            one.is_some_and(|one| one.key.deadline > now)
        };
        let first = self.classes.iter().find_map(ClassQueue::first)?;
        if self.grants_since_aged + 1 >= AGEING_SHARE
            && let Some((aged_at, number)) = self.aged.first().copied()
            && aged_at <= now
            && number != first.number
            && usable(number)
        {
            return Some((number, true));
        }
        usable(first.number).then_some((first.number, false))
    }

    fn count_grant(&mut self, one: &Waiting, aged: bool, now: Timestamp) {
        let class = one.ticket.class;
        *self.counts.granted.of_mut(class) += 1;
        self.counts.waited_ms[class.rank()] += now.since(one.since).0;
        match aged {
            true => {
                self.counts.aged += 1;
                self.grants_since_aged = 0;
            }
            false => self.grants_since_aged = self.grants_since_aged.saturating_add(1),
        }
    }

    fn grant_one(
        &mut self,
        ticket: Ticket,
        runner: courseshunt_types::RunnerId,
        now: Timestamp,
    ) -> Grant {
        let lifetime = self.limits.grant_lifetime;
        let grant: GrantId = self.slots.take(&runner, &ticket.holder, now, lifetime);
        Grant {
            grant,
            request: ticket.request,
            holder: ticket.holder,
            runner,
            valid_for: lifetime,
        }
    }

    /// Numbers of waiting tickets.
    #[must_use]
    pub fn waiting(&self) -> WaitingByClass {
        let [critical, interactive, batch] = &self.classes;
        WaitingByClass {
            critical: critical.len(),
            interactive: interactive.len(),
            batch: batch.len(),
        }
    }

    /// Takes in which grants of a holder run here, and no others.
    pub fn adopt(&mut self, holder: &RouterId, running: &[RunningGrant]) {
        self.slots.adopt(holder, running);
    }

    /// Drops the tickets of a holder that was lost: it offers them again, here
    /// or elsewhere, when it lives.
    pub fn holder_lost(&mut self, holder: &RouterId, now: Timestamp) {
        self.slots.holder_lost(holder, now);
        let tickets = self.waiting.values().map(|waiting| &waiting.ticket);
        let lost = tickets.filter(|ticket| ticket.holder == *holder);
        let lost: Vec<RequestId> = lost.map(|ticket| ticket.request.clone()).collect();
        for request in lost {
            self.cancel(&request);
        }
    }

    /// Whether nothing waits or runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.slots.in_use() == 0
    }

    /// The demand since the last report.
    pub fn report(&mut self, now: Timestamp) -> DemandReport {
        let earliest = self.deadlines.first().map(|(deadline, _)| *deadline);
        let oldest = self.arrivals_in_order.first().map(|(since, _)| *since);
        DemandReport {
            deployment: self.deployment.clone(),
            waiting: self.waiting(),
            running: self.slots.in_use(),
            arrived: std::mem::take(&mut self.arrived),
            earliest_deadline_in: earliest.map(|deadline| deadline.since(now)),
            longest_wait: oldest.map_or(Millis(0), |since| now.since(since)),
        }
    }
}

/// What a request costs its tenant, in generated tokens.
fn cost(ticket: &Ticket) -> u64 {
    let prompt = u64::from(ticket.prompt_tokens) / PROMPT_TOKENS_PER_TOKEN;
    (prompt + u64::from(ticket.max_tokens)).max(1)
}
