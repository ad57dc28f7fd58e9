//! The waiting queues that this router serves, brought up to date from the
//! configuration view.

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

/// A fallback queue uses one of this many parts of each replica's slots.
const FALLBACK_PARTS: u32 = 4;
/// A queue without tickets and grants is forgotten after this time.
const KEEP_IDLE: Millis = Millis::from_secs(60);

/// Which part of the slots the queues may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotShare {
    /// All: the queues are this router's own.
    Whole,
    /// A part: the owners can't be reached and may use the same runners.
    Bounded,
}

/// What a queue answers to a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerReply {
    /// Leave to send a request.
    Granted {
        /// The queue.
        queue: QueueKey,
        /// The grant.
        grant: Grant,
    },
    /// A ticket is refused.
    Refused {
        /// The queue.
        queue: QueueKey,
        /// The refusal.
        refusal: TicketRefusal,
    },
}

#[derive(Debug)]
struct OwnedQueue {
    waiting: WaitingQueue,
    balancer: Balancer,
    used_at: Timestamp,
    /// Rest of the first load, as last told.
    first_ready_in: Option<Millis>,
}

impl OwnedQueue {
    /// Takes the rest of the first load in. What was told before has gone on
    /// meanwhile.
    fn note_loading(&mut self, first_ready_in: Option<Millis>, now: Timestamp) {
        if first_ready_in != self.first_ready_in {
            self.first_ready_in = first_ready_in;
            let ready_at = first_ready_in.map(|rest| now + rest);
            self.waiting.set_first_ready_at(ready_at);
        }
    }
}

/// See the module.
#[derive(Debug)]
pub struct OwnedQueues {
    view: Arc<ConfigurationView>,
    share: SlotShare,
    queues: BTreeMap<QueueKey, OwnedQueue>,
    /// Counters of queues that are forgotten.
    ended: QueueTotals,
}

/// Counters of all queues together.
#[derive(Debug, Clone, Copy, Default)]
pub struct QueueTotals {
    /// Of the waiting queues.
    pub waiting: QueueCounts,
    /// Of the runners' health.
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
    /// No queues.
    #[must_use]
    pub fn new(view: Arc<ConfigurationView>, share: SlotShare) -> Self {
        Self {
            view,
            share,
            queues: BTreeMap::new(),
            ended: QueueTotals::default(),
        }
    }

    /// Number of queues.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// Carries out a holder's call.
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

    /// Takes the end of an attempt in. That a runner drains or rests, all queues learn.
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
                log::info!("dispatch: runner {runner} drains and gets no new work");
            }
            AttemptOutcome::NotAdmitted(AdmissionFailure::Resting(rest)) => {
                log::info!("dispatch: runner {runner} asks for rest of {} ms", rest.0);
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
                SlotShare::Whole => ChoiceMode::Exact,
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

    /// Brings a queue's limits and replicas up to date. A deployment that is
    /// not known here (yet) has no replicas.
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
        let rests = loading.iter().map(|one| one.remaining);
        // A load whose rest is not known is told as 0.
        let known = loading.iter().all(|one| one.remaining > Millis(0));
        let first_ready = rests.min().filter(|_| known);
        queue.note_loading(first_ready, now);
        let usable = |runner: &RunnerId| {
            let known = self.view.runner(runner);
            known.is_some_and(|known| known.state == MachineState::Live)
        };
        let slots = match self.share {
            SlotShare::Whole => document.slots_per_replica,
            SlotShare::Bounded => document.slots_per_replica.div_ceil(FALLBACK_PARTS),
        };
        let usable: Vec<RunnerId> = ready.into_iter().filter(usable).collect();
        queue.balancer.set_runners(&usable, now);
        let replicas = usable.into_iter().map(|runner| (runner, slots));
        queue.waiting.slots_mut().set_replicas(replicas);
    }

    /// Takes changes of the view in.
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
        let late = queue.waiting.expire(now).into_iter();
        let mut replies: Vec<OwnerReply> = late.map(|refusal| refused(key, refusal)).collect();
        let grants = queue.waiting.grant_by(now, &mut queue.balancer).into_iter();
        replies.extend(grants.map(|grant| OwnerReply::Granted {
            queue: key.clone(),
            grant,
        }));
        replies
    }

    /// Refuses what is late, takes unused grants back and forgets idle queues.
    pub fn tick(&mut self, now: Timestamp) -> Vec<OwnerReply> {
        let mut replies = Vec::new();
        for key in self.keys() {
            if let Some(queue) = self.queues.get_mut(&key) {
                let late = queue.waiting.expire(now).into_iter();
                replies.extend(late.map(|refusal| refused(&key, refusal)));
            }
            replies.extend(self.grant(&key, now));
        }
        self.forget_idle(now);
        replies
    }

    fn forget_idle(&mut self, now: Timestamp) {
        let ended = &mut self.ended;
        self.queues.retain(|_, queue| {
            let keep = !queue.waiting.is_idle() || now.since(queue.used_at) < KEEP_IDLE;
            if !keep {
                ended.add(&QueueTotals::of(queue));
            }
            keep
        });
    }

    /// Counters since the start.
    #[must_use]
    pub fn totals(&self) -> QueueTotals {
        let mut totals = self.ended;
        for queue in self.queues.values() {
            totals.add(&QueueTotals::of(queue));
        }
        totals
    }

    /// Runners that are ejected now, once for each queue.
    #[must_use]
    pub fn ejected(&self) -> usize {
        let queues = self.queues.values();
        queues.map(|queue| queue.balancer.ejected()).sum()
    }

    /// Drops what a lost holder has here.
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

    /// Adds the demand since the last call to `reports`.
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

    /// Tickets that wait in all queues together.
    #[must_use]
    pub fn waiting(&self) -> courseshunt_queue::WaitingByClass {
        let mut sum = courseshunt_queue::WaitingByClass::default();
        for queue in self.queues.values() {
            sum.add(&queue.waiting.waiting());
        }
        sum
    }
}

/// Whether a request has taken its slot for as long as it needed it.
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
