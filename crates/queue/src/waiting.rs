//! The waiting queue of one deployment.

use crate::demand::{DemandReport, WaitingByClass};
use crate::slots::SlotTable;
use crate::ticket::{Grant, GrantId, RunningGrant, Ticket, TicketRefusal};
use courseshunt_types::{
    ClassLimits, DeploymentName, Millis, Refusal, RefusalReason, RequestId, RouterId, Timestamp,
};
use std::collections::BTreeMap;

/// Limits of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Length and deadline by class.
    pub classes: ClassLimits,
    /// A grant not used within this time goes to another.
    pub grant_lifetime: Millis,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            classes: ClassLimits::default(),
            grant_lifetime: Millis::from_secs(2),
        }
    }
}

/// A ticket that waited no longer counts as a new arrival.
const NEW_ARRIVAL: Millis = Millis(50);

/// Order of service: class, then deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ServiceOrder {
    class: courseshunt_types::PriorityClass,
    deadline: Timestamp,
    arrival: u64,
}

#[derive(Debug, Clone)]
struct Waiting {
    ticket: Ticket,
    since: Timestamp,
}

/// The waiting queue of one deployment.
#[derive(Debug)]
pub struct WaitingQueue {
    deployment: DeploymentName,
    limits: QueueLimits,
    waiting: BTreeMap<ServiceOrder, Waiting>,
    orders: BTreeMap<RequestId, ServiceOrder>,
    slots: SlotTable,
    count: WaitingByClass,
    arrived: WaitingByClass,
    arrivals: u64,
}

impl WaitingQueue {
    /// An empty queue.
    #[must_use]
    pub fn new(deployment: DeploymentName, limits: QueueLimits) -> Self {
        Self {
            deployment,
            limits,
            waiting: BTreeMap::new(),
            orders: BTreeMap::new(),
            slots: SlotTable::default(),
            count: WaitingByClass::default(),
            arrived: WaitingByClass::default(),
            arrivals: 0,
        }
    }

    /// Takes new limits; they apply to new tickets.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// The slots, to set replicas and return grants.
    pub fn slots_mut(&mut self) -> &mut SlotTable {
        &mut self.slots
    }

    /// Takes a ticket in, or refuses it at once. A resent ticket changes nothing.
    ///
    /// # Errors
    /// When the queue of its class is full or its deadline has passed.
    pub fn offer(&mut self, ticket: Ticket, now: Timestamp) -> Result<(), Refusal> {
        if self.orders.contains_key(&ticket.request) {
            return Ok(());
        }
        if ticket.deadline_in == Millis(0) {
            let message = "the deadline has passed";
            return Err(Refusal::not_run(RefusalReason::DeadlineExceeded, message));
        }
        let limit = self.limits.classes.of(ticket.class).queue_length;
        if self.count.of(ticket.class) >= limit {
            let message = format!("{limit} requests of this class wait already");
            let refusal = Refusal::not_run(RefusalReason::QueueFull, message);
            return Err(refusal.with_retry_after(Millis::from_secs(1)));
        }
        self.arrivals += 1;
        // A ticket that has waited elsewhere was counted there.
        if ticket.waited <= NEW_ARRIVAL {
            *self.arrived.of_mut(ticket.class) += 1;
        }
        *self.count.of_mut(ticket.class) += 1;
        let order = ServiceOrder {
            class: ticket.class,
            deadline: now + ticket.deadline_in,
            arrival: self.arrivals,
        };
        let since = now - ticket.waited;
        self.orders.insert(ticket.request.clone(), order);
        self.waiting.insert(order, Waiting { ticket, since });
        Ok(())
    }

    /// Takes a ticket out. Returns whether it was waiting.
    pub fn cancel(&mut self, request: &RequestId) -> bool {
        let Some(order) = self.orders.get(request).copied() else {
            return false;
        };
        self.remove(order).is_some()
    }

    fn remove(&mut self, order: ServiceOrder) -> Option<Waiting> {
        let waiting = self.waiting.remove(&order)?;
        self.orders.remove(&waiting.ticket.request);
        *self.count.of_mut(order.class) -= 1;
        Some(waiting)
    }

    /// Refuses the tickets whose deadline has passed, and takes back grants
    /// that were not used.
    pub fn expire(&mut self, now: Timestamp) -> Vec<TicketRefusal> {
        self.slots.expire(now);
        let late: Vec<ServiceOrder> = self
            .waiting
            .keys()
            .filter(|order| order.deadline <= now)
            .copied()
            .collect();
        late.into_iter()
            .filter_map(|order| self.refuse(order))
            .collect()
    }

    fn refuse(&mut self, order: ServiceOrder) -> Option<TicketRefusal> {
        let ticket = self.remove(order)?.ticket;
        let message = "the deadline passed while the request waited";
        Some(TicketRefusal {
            request: ticket.request,
            holder: ticket.holder,
            refusal: Refusal::not_run(RefusalReason::DeadlineExceeded, message),
        })
    }

    /// Grants free slots to the most urgent tickets.
    pub fn grant(&mut self, now: Timestamp) -> Vec<Grant> {
        let mut grants = Vec::new();
        while let Some((order, first)) = self.waiting.first_key_value() {
            let Some(runner) = self.slots.freest(&first.ticket.avoid) else {
                break;
            };
            let order = *order;
            let Some(waiting) = self.remove(order) else {
                break;
            };
            let ticket = waiting.ticket;
            let lifetime = self.limits.grant_lifetime;
            let grant: GrantId = self.slots.take(&runner, &ticket.holder, now + lifetime);
            grants.push(Grant {
                grant,
                request: ticket.request,
                holder: ticket.holder,
                runner,
                valid_for: lifetime,
            });
        }
        grants
    }

    /// Numbers of waiting tickets.
    #[must_use]
    pub fn waiting(&self) -> WaitingByClass {
        self.count
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
        let earliest = self.waiting.keys().map(|order| order.deadline).min();
        let oldest = self.waiting.values().map(|waiting| waiting.since).min();
        DemandReport {
            deployment: self.deployment.clone(),
            waiting: self.count,
            running: self.slots.in_use(),
            arrived: std::mem::take(&mut self.arrived),
            earliest_deadline_in: earliest.map(|deadline| deadline.since(now)),
            longest_wait: oldest.map_or(Millis(0), |since| now.since(since)),
        }
    }
}
