//! Routers that own waiting queues: tickets in, grants out.

use super::event::{DeploymentNumber, Event, Process, RequestNumber};
use super::requests::{Request, Stage};
use super::site::SiteRouter;
use super::world::World;
use courseshunt_queue::{GrantId, QueueKey, QueueLimits, Ticket, WaitingQueue, owner_of};
use courseshunt_state::ReplicaPhase;
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::{Incarnation, Millis, RefusalReason, RunnerId};
use std::collections::{BTreeMap, BTreeSet};

/// Time until returned slots are reported; arrivals are reported at once.
const REPORT_INTERVAL: Millis = Millis(500);

/// One router.
#[derive(Debug)]
pub struct Router {
    /// Name and zone.
    pub site: SiteRouter,
    /// Grows with each start.
    pub incarnation: Incarnation,
    /// Whether it runs.
    pub up: bool,
    /// Whether it takes new callers and owns queues.
    pub accepting: bool,
    /// Queues that it owns, or owned.
    pub queues: BTreeMap<DeploymentNumber, WaitingQueue>,
    /// Queues whose demand will be reported.
    reporting: BTreeSet<DeploymentNumber>,
}

impl Router {
    /// A router just started.
    #[must_use]
    pub fn new(site: SiteRouter) -> Self {
        Self {
            site,
            incarnation: Incarnation(1),
            up: true,
            accepting: true,
            queues: BTreeMap::new(),
            reporting: BTreeSet::new(),
        }
    }

    /// Starts again, with nothing of the past.
    pub fn restart(&mut self) {
        let site = self.site.clone();
        let incarnation = self.incarnation.next();
        *self = Self::new(site);
        self.incarnation = incarnation;
    }
}

impl World {
    /// Draws the owners of all queues from the live routers.
    pub(super) fn choose_owners(&mut self) {
        for deployment in 0..self.site.len() {
            let key = QueueKey {
                deployment: self.site[deployment].document.name.clone(),
                shard: 0,
            };
            let live = self.routers.iter().filter(|one| one.up && one.accepting);
            let owner = owner_of(&key, live.map(|one| &one.site.router)).cloned();
            let same = |one: &Router| Some(&one.site.router) == owner.as_ref();
            self.owners[deployment] = self.routers.iter().position(same);
        }
    }

    /// Whether a message to this router incarnation still finds it.
    pub(super) fn is_there(&self, router: Process) -> bool {
        let known = &self.routers[router.number];
        known.up && known.incarnation == router.incarnation
    }

    pub(super) fn receive_ticket(
        &mut self,
        ticket: Ticket,
        owner: Process,
        request: RequestNumber,
    ) {
        if !self.is_there(owner) {
            return;
        }
        let deployment = self.requests[request].deployment;
        self.refresh(owner.number, deployment);
        let now = self.now;
        let limit = now + ticket.deadline_in;
        let Some(queue) = self.routers[owner.number].queues.get_mut(&deployment) else {
            return;
        };
        match queue.offer(ticket, now) {
            Ok(()) => {
                let expire = Event::Expire { owner, deployment };
                self.events.push(limit, expire);
                self.grant(owner, deployment);
                self.report_demand(owner, deployment, Millis(0));
            }
            Err(refusal) => {
                let deadline = refusal.reason == RefusalReason::DeadlineExceeded;
                self.refuse(owner, request, deadline);
            }
        }
    }

    fn refuse(&mut self, owner: Process, request: RequestNumber, deadline: bool) {
        let delay = self.between_routers(owner, self.requests[request].holder);
        self.push(delay, Event::Refused { request, deadline });
    }

    pub(super) fn between_routers(&self, one: Process, other: Process) -> Millis {
        let zone = |process: Process| &self.routers[process.number].site.zone;
        self.delay(zone(one), zone(other))
    }

    /// Brings a queue's replicas up to date with the feed.
    fn refresh(&mut self, router: usize, deployment: DeploymentNumber) {
        let document = self.site[deployment].document.clone();
        let ready = self.ready_replicas(deployment);
        let limits = QueueLimits {
            classes: document.limits,
            ..QueueLimits::default()
        };
        let queues = &mut self.routers[router].queues;
        let queue = queues.entry(deployment);
        let queue = queue.or_insert_with(|| WaitingQueue::new(document.name.clone(), limits));
        let slots = document.slots_per_replica;
        let replicas = ready.into_iter().map(|runner| (runner, slots));
        queue.slots_mut().set_replicas(replicas);
    }

    /// Runners that serve a deployment, as the feed tells it.
    pub(super) fn ready_replicas(&self, deployment: DeploymentNumber) -> Vec<RunnerId> {
        let name = &self.site[deployment].document.name;
        let placement = &self.control.state.placement;
        let ready = placement.replicas.values().filter(|record| {
            let runner = placement.runners.get(&record.replica.runner);
            let live = runner.is_some_and(|one| one.state == MachineState::Live);
            record.replica.deployment == *name && record.phase == ReplicaPhase::Ready && live
        });
        ready.map(|record| record.replica.runner.clone()).collect()
    }

    /// Replicas changed: the owner learns it.
    pub(super) fn feed(&mut self, deployment: DeploymentNumber) {
        let Some(owner) = self.owners[deployment] else {
            return;
        };
        if self.routers[owner].queues.contains_key(&deployment) {
            self.refresh(owner, deployment);
            self.grant(self.router_process(owner), deployment);
        }
    }

    pub(super) fn grant(&mut self, owner: Process, deployment: DeploymentNumber) {
        let now = self.now;
        let Some(queue) = self.routers[owner.number].queues.get_mut(&deployment) else {
            return;
        };
        for grant in queue.grant(now) {
            let Some(request) = Request::number_of(&grant.request) else {
                continue;
            };
            self.push(grant.valid_for, Event::Expire { owner, deployment });
            let delay = self.between_routers(owner, self.requests[request].holder);
            let granted = Event::Granted {
                grant,
                owner,
                request,
            };
            self.push(delay, granted);
        }
    }

    pub(super) fn expire(&mut self, owner: Process, deployment: DeploymentNumber) {
        if !self.is_there(owner) {
            return;
        }
        let now = self.now;
        let Some(queue) = self.routers[owner.number].queues.get_mut(&deployment) else {
            return;
        };
        for refused in queue.expire(now) {
            if let Some(request) = Request::number_of(&refused.request) {
                self.refuse(owner, request, true);
            }
        }
        self.grant(owner, deployment);
        self.report_demand(owner, deployment, REPORT_INTERVAL);
    }

    pub(super) fn grant_started(
        &mut self,
        owner: Process,
        deployment: DeploymentNumber,
        grant: GrantId,
    ) {
        if !self.is_there(owner) {
            return;
        }
        if let Some(queue) = self.routers[owner.number].queues.get_mut(&deployment) {
            queue.slots_mut().started(grant);
        }
    }

    pub(super) fn grant_returned(
        &mut self,
        owner: Process,
        deployment: DeploymentNumber,
        grant: GrantId,
    ) {
        if !self.is_there(owner) {
            return;
        }
        if let Some(queue) = self.routers[owner.number].queues.get_mut(&deployment) {
            queue.slots_mut().release(grant);
        }
        self.grant(owner, deployment);
        self.report_demand(owner, deployment, REPORT_INTERVAL);
    }

    /// Reports a queue's demand to the leader after `pause`.
    fn report_demand(&mut self, owner: Process, deployment: DeploymentNumber, pause: Millis) {
        let reporting = &mut self.routers[owner.number].reporting;
        let at_once = pause == Millis(0);
        if reporting.insert(deployment) || at_once {
            let network = self.settings.scenario.network.zone_delay_ms.ceil() as u64;
            let delay = Millis(pause.0 + network);
            self.push(delay, Event::Demand { owner, deployment });
        }
    }

    /// Takes a queue's report, as it reaches the leader.
    pub(super) fn receive_demand(&mut self, owner: Process, deployment: DeploymentNumber) {
        if !self.is_there(owner) {
            return;
        }
        let now = self.now;
        let router = &mut self.routers[owner.number];
        router.reporting.remove(&deployment);
        let Some(queue) = router.queues.get_mut(&deployment) else {
            return;
        };
        let report = queue.report(now);
        let name = router.site.router.clone();
        if self.control.leading {
            self.control.demand.record(&name, report, now);
            self.request_plan(self.settings.scenario.control.plan_ms);
        }
    }

    /// Tickets of a lost owner go to the next one.
    pub(super) fn owner_changed(&mut self, deployment: DeploymentNumber) {
        for request in 0..self.requests.len() {
            let one = &self.requests[request];
            let lost = one.stage == Stage::Waiting && one.deployment == deployment;
            if lost && !self.is_there(one.owner) && self.is_there(one.holder) {
                self.send_ticket(request);
            }
        }
    }
}
