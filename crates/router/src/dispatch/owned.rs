//! The waiting queues that this router serves. Their limits and replicas are
//! updated from the configuration view.

use crate::configuration::ConfigurationView;
use courseshunt_balance::{Balancer, ChoiceMode, HealthCounts};
use courseshunt_queue::{
    AdmissionFailure, AttemptOutcome, DemandReport, Grant, GrantId, OwnerCall, QueueCounts,
    QueueKey, QueueLimits, TicketRefusal, WaitingQueue,
};
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::{DeploymentName, Millis, RouterId, RunnerId, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A fallback queue uses the slots of each replica divided by this number.
const FALLBACK_SLOT_DIVISOR: u32 = 4;
/// Time after which a queue without tickets and grants is removed.
const IDLE_RETENTION: Millis = Millis::from_secs(60);

/// Share of each replica's slots that the queues may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotShare {
    /// All slots: this router owns the queues.
    Full,
    /// A part of the slots: the owners can't be reached and may use the same
    /// runners.
    Bounded,
}

/// Reply of a queue to a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerReply {
    /// A request may be sent.
    Granted {
        /// Key of the queue.
        queue: QueueKey,
        /// The grant, with runner and slot.
        grant: Grant,
    },
    /// A ticket is refused.
    Refused {
        /// Key of the queue.
        queue: QueueKey,
        /// The refused ticket and the reason.
        refusal: TicketRefusal,
    },
}

#[derive(Debug)]
struct OwnedQueue {
    waiting: WaitingQueue,
    balancer: Balancer,
    used_at: Timestamp,
    /// Remaining time of the load that is ready first, as last reported.
    first_ready_in: Option<Millis>,
}

impl OwnedQueue {
    /// Updates the remaining time of the load that is ready first. An unchanged
    /// value is the same report as before, so its ready time stays.
    fn update_loading(&mut self, first_ready_in: Option<Millis>, now: Timestamp) {
        if first_ready_in != self.first_ready_in {
            self.first_ready_in = first_ready_in;
            let ready_at = first_ready_in.map(|remaining| now + remaining);
            self.waiting.set_first_ready_at(ready_at);
        }
    }
}

/// The waiting queues of one kind, by key.
#[derive(Debug)]
pub struct OwnedQueues {
    view: Arc<ConfigurationView>,
    share: SlotShare,
    queues: BTreeMap<QueueKey, OwnedQueue>,
    /// Counters of queues that have been removed.
    removed: QueueTotals,
}

/// Counters summed over all queues.
#[derive(Debug, Clone, Copy, Default)]
pub struct QueueTotals {
    /// Counters of the waiting queues.
    pub waiting: QueueCounts,
    /// Counters of the runners' health checks.
    pub health: HealthCounts,
}

impl QueueTotals {
    fn of(queue: &OwnedQueue) -> Self {
        Self {
            waiting: queue.waiting.counts(),
            health: queue.balancer.counts(),
        }
    }

    fn add(&mut self, other: &Self) {
        self.waiting.add(&other.waiting);
        self.health.add(&other.health);
    }
}

impl OwnedQueues {
    /// Creates an empty set of queues.
    #[must_use]
    pub fn new(view: Arc<ConfigurationView>, share: SlotShare) -> Self {
        Self {
            view,
            share,
            queues: BTreeMap::new(),
            removed: QueueTotals::default(),
        }
    }

    /// Number of queues served.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// Performs a holder's call. Returns the replies that result from it.
    pub fn call(
        &mut self,
        holder: &RouterId,
        key: &QueueKey,
        call: OwnerCall,
        now: Timestamp,
    ) -> Vec<OwnerReply> {
        let queue = self.queue(key, now);
        match call {
            OwnerCall::Offer(ticket) => {
                let request = ticket.request.clone();
                if let Err(refusal) = queue.waiting.offer(ticket, now) {
                    let refusal = TicketRefusal {
                        request,
                        holder: holder.clone(),
                        refusal,
                    };
                    return vec![refused(key, refusal)];
                }
            }
            OwnerCall::Cancel(request) => {
                queue.waiting.cancel(&request);
            }
            OwnerCall::Adopt(grants) => queue.waiting.adopt(holder, &grants),
            OwnerCall::Started(grant) => queue.waiting.slots_mut().started(grant),
            OwnerCall::Returned(grant, outcome) => self.returned(key, grant, outcome, now),
        }
        self.grant(key, now)
    }

    /// Records the end of an attempt. If the runner is draining or requested a
    /// backoff, this is applied to all queues.
    fn returned(
        &mut self,
        key: &QueueKey,
        grant: GrantId,
        outcome: AttemptOutcome,
        now: Timestamp,
    ) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        let held = queue.waiting.slots().held_for(grant, now);
        if let Some(held) = held.filter(|_| has_run(outcome)) {
            queue.waiting.observe_service(held);
        }
        let runner = queue.waiting.slots().runner_of(grant).cloned();
        queue.waiting.slots_mut().release(grant);
        let Some(runner) = runner else {
            return;
        };
        match outcome {
            AttemptOutcome::NotAdmitted(AdmissionFailure::Draining) => {
                log::info!("dispatch: runner {runner} is draining and gets no new work");
            }
            AttemptOutcome::NotAdmitted(AdmissionFailure::Resting(backoff)) => {
                log::info!(
                    "dispatch: runner {runner} requested a backoff of {} ms",
                    backoff.0
                );
            }
            _ => {
                queue.balancer.observe(&runner, outcome, now);
                return;
            }
        }
        for queue in self.queues.values_mut() {
            queue.balancer.observe(&runner, outcome, now);
        }
    }

    fn queue(&mut self, key: &QueueKey, now: Timestamp) -> &mut OwnedQueue {
        if !self.queues.contains_key(key) {
            let name = key.deployment.clone();
            let mut waiting = WaitingQueue::new(name, QueueLimits::default());
            waiting.slots_mut().number_from(GrantId(rand::random()));
            let mode = match self.share {
                SlotShare::Full => ChoiceMode::Exact,
                SlotShare::Bounded => ChoiceMode::Lagged,
            };
            let queue = OwnedQueue {
                waiting,
                balancer: Balancer::new(mode, rand::random()),
                used_at: now,
                first_ready_in: None,
            };
            self.queues.insert(key.clone(), queue);
            self.refresh(key, now);
        }
        let queue = self.queues.entry(key.clone());
        let queue = queue.or_insert_with(|| unreachable!("the queue was inserted above"));
        queue.used_at = now;
        queue
    }

    /// Updates a queue's limits and replicas from the view. A deployment that is
    /// not in the view (yet) has no replicas.
    fn refresh(&mut self, key: &QueueKey, now: Timestamp) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        let Some(document) = self.view.deployment(&key.deployment) else {
            queue.waiting.slots_mut().set_replicas([]);
            return;
        };
        queue.waiting.set_limits(QueueLimits {
            classes: document.limits,
            tenant_rate_per_second: document.tenant_rate_per_second,
            shared: !document.shared_with.is_empty(),
            ..QueueLimits::default()
        });
        let replicas = self.view.replicas(&key.deployment);
        let (ready, loading) = match replicas {
            Some(replicas) => (replicas.ready, replicas.loading),
            None => (Vec::new(), Vec::new()),
        };
        let remaining_times = loading.iter().map(|load| load.remaining);
        // A load whose remaining time is unknown is reported as 0.
        let all_known = loading.iter().all(|load| load.remaining > Millis(0));
        let first_ready = remaining_times.min().filter(|_| all_known);
        queue.update_loading(first_ready, now);
        let usable = |runner: &RunnerId| {
            let endpoint = self.view.runner(runner);
            endpoint.is_some_and(|endpoint| endpoint.state == MachineState::Live)
        };
        let slots = match self.share {
            SlotShare::Full => document.slots_per_replica,
            SlotShare::Bounded => document.slots_per_replica.div_ceil(FALLBACK_SLOT_DIVISOR),
        };
        let usable: Vec<RunnerId> = ready.into_iter().filter(usable).collect();
        queue.balancer.set_runners(&usable, now);
        let replicas = usable.into_iter().map(|runner| (runner, slots));
        queue.waiting.slots_mut().set_replicas(replicas);
    }

    /// Updates all queues after a change of the view.
    pub fn refresh_all(&mut self, now: Timestamp) -> Vec<OwnerReply> {
        let mut replies = Vec::new();
        for key in self.keys() {
            self.refresh(&key, now);
            replies.extend(self.grant(&key, now));
        }
        replies
    }

    fn keys(&self) -> Vec<QueueKey> {
        self.queues.keys().cloned().collect()
    }

    fn grant(&mut self, key: &QueueKey, now: Timestamp) -> Vec<OwnerReply> {
        let Some(queue) = self.queues.get_mut(key) else {
            return Vec::new();
        };
        let expired = queue.waiting.expire(now).into_iter();
        let mut replies: Vec<OwnerReply> = expired.map(|refusal| refused(key, refusal)).collect();
        let grants = queue.waiting.grant_by(now, &mut queue.balancer).into_iter();
        replies.extend(grants.map(|grant| OwnerReply::Granted {
            queue: key.clone(),
            grant,
        }));
        replies
    }

    /// Refuses expired tickets, revokes unused grants and removes idle queues.
    pub fn tick(&mut self, now: Timestamp) -> Vec<OwnerReply> {
        let mut replies = Vec::new();
        for key in self.keys() {
            if let Some(queue) = self.queues.get_mut(&key) {
                let expired = queue.waiting.expire(now).into_iter();
                replies.extend(expired.map(|refusal| refused(&key, refusal)));
            }
            replies.extend(self.grant(&key, now));
        }
        self.remove_idle(now);
        replies
    }

    fn remove_idle(&mut self, now: Timestamp) {
        let removed = &mut self.removed;
        self.queues.retain(|_, queue| {
            let keep = !queue.waiting.is_idle() || now.since(queue.used_at) < IDLE_RETENTION;
            if !keep {
                removed.add(&QueueTotals::of(queue));
            }
            keep
        });
    }

    /// Counters since the start of the process.
    #[must_use]
    pub fn totals(&self) -> QueueTotals {
        let mut totals = self.removed;
        for queue in self.queues.values() {
            totals.add(&QueueTotals::of(queue));
        }
        totals
    }

    /// Number of currently ejected runners, counted once for each queue.
    #[must_use]
    pub fn ejected(&self) -> usize {
        let queues = self.queues.values();
        queues.map(|queue| queue.balancer.ejected()).sum()
    }

    /// Removes the tickets and grants of a lost holder.
    pub fn holder_lost(&mut self, holder: &RouterId, now: Timestamp) -> Vec<OwnerReply> {
        let mut replies = Vec::new();
        for key in self.keys() {
            if let Some(queue) = self.queues.get_mut(&key) {
                queue.waiting.holder_lost(holder, now);
            }
            replies.extend(self.grant(&key, now));
        }
        replies
    }

    /// Adds the demand since the last call to `reports`, by deployment.
    pub fn report(&mut self, reports: &mut BTreeMap<DeploymentName, DemandReport>, now: Timestamp) {
        for (key, queue) in &mut self.queues {
            let report = queue.waiting.report(now);
            match reports.get_mut(&key.deployment) {
                Some(sum) => sum.add(&report),
                None => {
                    reports.insert(key.deployment.clone(), report);
                }
            }
        }
    }

    /// Number of waiting tickets in all queues, by class.
    #[must_use]
    pub fn waiting(&self) -> courseshunt_queue::WaitingByClass {
        let mut sum = courseshunt_queue::WaitingByClass::default();
        for queue in self.queues.values() {
            sum.add(&queue.waiting.waiting());
        }
        sum
    }
}

/// Whether a request used its slot for its full service time.
fn has_run(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Done { .. } | AttemptOutcome::Cancelled
    )
}

fn refused(queue: &QueueKey, refusal: TicketRefusal) -> OwnerReply {
    OwnerReply::Refused {
        queue: queue.clone(),
        refusal,
    }
}
