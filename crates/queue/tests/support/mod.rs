//! Routers in virtual time: the real holders and queues, with messages that
//! take time, get lost with their session, and routers that die.

#![allow(dead_code, reason = "each test file uses its own part")]

use courseshunt_queue::{
    AttemptOutcome, Grant, GrantId, Holder, HolderOutput, Member, OwnerCall, QueueKey, QueueLimits,
    QueueSite, Ticket, TicketRefusal, WaitingQueue,
};
use courseshunt_types::{
    Epoch, Incarnation, Millis, PriorityClass, Refusal, RequestId, RouterId, RunnerId, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// The only deployment.
pub const DEPLOYMENT: &str = "climate-ctl";
/// One-way time of a message.
pub const DELAY: Millis = Millis(1);
/// Time after which a dead owner counts as unreachable.
pub const DETECTION: Millis = Millis(1500);
/// Time between ticks.
const TICK: Millis = Millis(50);

/// A ticket of router `holder`.
pub fn ticket(request: &str, holder: usize, class: PriorityClass, deadline_in: u64) -> Ticket {
    Ticket {
        request: request.into(),
        holder: name(holder),
        deployment: DEPLOYMENT.into(),
        adapter: None,
        tenant: "souss".into(),
        class,
        deadline_in: Millis(deadline_in),
        waited: Millis(0),
        prefix_hashes: Vec::new(),
        prompt_tokens: 10,
        max_tokens: 10,
        avoid: Vec::new(),
    }
}

/// Name of a router.
pub fn name(router: usize) -> RouterId {
    format!("router-{router}").into()
}

/// The only queue.
pub fn queue_key() -> QueueKey {
    QueueKey {
        deployment: DEPLOYMENT.into(),
        shard: 0,
    }
}

#[derive(Debug, Clone)]
enum Event {
    Call(QueueSite, OwnerCall),
    Granted(QueueSite, Grant),
    Refused(QueueSite, TicketRefusal),
    Connected(RouterId),
    Disconnected(RouterId),
    Unreachable(RouterId),
    HolderLost(RouterId),
    Tick,
}

#[derive(Debug)]
struct Envelope {
    from: usize,
    to: usize,
    event: Event,
}

/// An answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Granted(Grant, Timestamp),
    Refused(Refusal, Timestamp),
}

#[derive(Debug)]
struct Router {
    holder: Holder,
    owned: WaitingQueue,
    fallback: WaitingQueue,
    sessions: BTreeSet<RouterId>,
    alive: bool,
}

/// See the module.
#[derive(Debug)]
pub struct Cluster {
    pub now: Timestamp,
    routers: Vec<Router>,
    events: BTreeMap<(Timestamp, u64), Envelope>,
    sequence: u64,
    epoch: u64,
    /// Answers in order.
    pub answers: Vec<(RequestId, Answer)>,
    /// Loses the next grant between routers, with its session.
    pub lose_next_grant: bool,
    /// Messages between routers.
    pub messages: u64,
}

impl Cluster {
    /// Routers that know each other.
    pub fn new(routers: usize) -> Self {
        let make = |number: usize| {
            let queue = |first| {
                let mut queue = WaitingQueue::new(DEPLOYMENT.into(), QueueLimits::default());
                queue.slots_mut().number_from(GrantId(first));
                queue
            };
            Router {
                holder: Holder::new(name(number)),
                owned: queue(1_000_000 * (number as u64 + 1)),
                fallback: queue(1_000_000_000 * (number as u64 + 1)),
                sessions: BTreeSet::new(),
                alive: true,
            }
        };
        let mut cluster = Self {
            now: Timestamp(0),
            routers: (0..routers).map(make).collect(),
            events: BTreeMap::new(),
            sequence: 0,
            epoch: 0,
            answers: Vec::new(),
            lose_next_grant: false,
            messages: 0,
        };
        for router in 0..routers {
            cluster.post(router, router, TICK, Event::Tick);
        }
        cluster.tell_fleet();
        cluster
    }

    /// Number of the router that owns the queue now.
    pub fn owner(&self) -> usize {
        let alive = (0..self.routers.len()).filter(|one| self.routers[*one].alive);
        let names: Vec<RouterId> = alive.map(name).collect();
        let owner = courseshunt_queue::owner_of(&queue_key(), &names).unwrap();
        self.number(owner)
    }

    /// A router that lives and is not the owner.
    pub fn other(&self) -> usize {
        let owner = self.owner();
        let mut all = 0..self.routers.len();
        all.find(|one| *one != owner && self.routers[*one].alive)
            .unwrap_or(owner)
    }

    fn number(&self, router: &RouterId) -> usize {
        let number = router.as_str().trim_start_matches("router-");
        number.parse().unwrap()
    }

    /// Tells all living routers which live.
    pub fn tell_fleet(&mut self) {
        self.epoch += 1;
        let alive = (0..self.routers.len()).filter(|one| self.routers[*one].alive);
        let members: Vec<Member> = alive
            .map(|one| Member {
                router: name(one),
                incarnation: Incarnation(1),
                leaving: false,
            })
            .collect();
        for router in 0..self.routers.len() {
            if self.routers[router].alive {
                let (epoch, members, now) = (Epoch(self.epoch), members.clone(), self.now);
                let outputs = self.routers[router].holder.set_live(epoch, members, now);
                self.carry_out(router, outputs);
            }
        }
    }

    /// Lets runners serve, as far as the routers know.
    pub fn place(&mut self, replicas: &[(&str, u32)]) {
        for router in 0..self.routers.len() {
            let known = replicas
                .iter()
                .map(|(runner, slots)| ((*runner).into(), *slots));
            let known: Vec<(RunnerId, u32)> = known.collect();
            let bounded = known
                .iter()
                .map(|(runner, slots)| (runner.clone(), slots.div_ceil(4)));
            let bounded: Vec<(RunnerId, u32)> = bounded.collect();
            self.routers[router].owned.slots_mut().set_replicas(known);
            self.routers[router]
                .fallback
                .slots_mut()
                .set_replicas(bounded);
            self.grant(router);
        }
    }

    /// Lets a request wait.
    pub fn offer(&mut self, router: usize, ticket: Ticket) {
        let now = self.now;
        let outputs = self.routers[router].holder.offer(queue_key(), ticket, now);
        self.carry_out(router, outputs);
    }

    /// The caller leaves.
    pub fn cancel(&mut self, router: usize, request: &str) {
        let outputs = self.routers[router].holder.cancel(&request.into());
        self.carry_out(router, outputs);
    }

    /// A granted request ends.
    pub fn finish(&mut self, router: usize, grant: GrantId) {
        let done = AttemptOutcome::Done {
            first_byte: Millis(1),
            total: Millis(100),
        };
        let outputs = self.routers[router].holder.returned(grant, done);
        self.carry_out(router, outputs);
    }

    /// A router dies. The others lose their sessions with it at once, and find
    /// after [`DETECTION`] that it can't be reached.
    pub fn kill(&mut self, dead: usize) {
        self.routers[dead].alive = false;
        for router in 0..self.routers.len() {
            self.routers[router].sessions.remove(&name(dead));
            self.routers[router].holder.disconnected(&name(dead));
            self.post(dead, router, DELAY, Event::HolderLost(name(dead)));
            self.post(dead, router, DETECTION, Event::Unreachable(name(dead)));
        }
    }

    /// A router stops as planned.
    pub fn stop(&mut self, router: usize) {
        let (me, now) = (name(router), self.now);
        let outputs = self.routers[router].holder.leaving(&me, now);
        self.carry_out(router, outputs);
        for other in 0..self.routers.len() {
            let outputs = self.routers[other].holder.leaving(&me, now);
            self.carry_out(other, outputs);
        }
    }

    /// Whether a router lives.
    pub fn is_alive(&self, router: usize) -> bool {
        self.routers[router].alive
    }

    /// Tickets that wait at the queues of all living routers.
    pub fn waiting(&self) -> u32 {
        let alive = self.routers.iter().filter(|router| router.alive);
        alive
            .map(|one| one.owned.waiting().total() + one.fallback.waiting().total())
            .sum()
    }

    /// Demand as the living routers report it.
    pub fn arrivals(&mut self) -> u32 {
        let now = self.now;
        let alive = self.routers.iter_mut().filter(|router| router.alive);
        alive.map(|one| one.owned.report(now).arrived.total()).sum()
    }

    /// Requests that were granted, in order.
    pub fn granted(&self) -> Vec<String> {
        let granted = self.answers.iter().filter_map(|(request, answer)| {
            let is_grant = matches!(answer, Answer::Granted(..));
            is_grant.then(|| request.to_string())
        });
        granted.collect()
    }

    /// The answer of one request.
    pub fn answer(&self, request: &str) -> Option<&Answer> {
        let mut found = self
            .answers
            .iter()
            .filter(|(one, _)| one.as_str() == request);
        let answer = found.next().map(|(_, answer)| answer);
        assert!(found.next().is_none(), "{request} was answered twice");
        answer
    }

    /// Lets time pass.
    pub fn run_for(&mut self, length: Millis) {
        let end = self.now + length;
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let envelope = entry.remove();
            self.now = at;
            if self.routers[envelope.to].alive {
                self.take(envelope);
            }
        }
        self.now = end;
    }

    fn post(&mut self, from: usize, to: usize, after: Millis, event: Event) {
        self.sequence += 1;
        let at = self.now + after;
        self.events
            .insert((at, self.sequence), Envelope { from, to, event });
    }

    fn take(&mut self, envelope: Envelope) {
        let Envelope { from, to, event } = envelope;
        let now = self.now;
        let router = &mut self.routers[to];
        let outputs = match event {
            Event::Call(site, call) => {
                self.serve(to, from, site, call);
                return;
            }
            Event::Granted(site, grant) => router.holder.granted(site, queue_key(), grant, now),
            Event::Refused(site, refusal) => router.holder.refused(&site, refusal),
            Event::Connected(owner) => {
                let owner_number = self.number(&owner);
                if !self.routers[owner_number].alive {
                    return;
                }
                self.routers[owner_number].owned.holder_lost(&name(to), now);
                let router = &mut self.routers[to];
                router.sessions.insert(owner.clone());
                router.holder.connected(&owner, now)
            }
            Event::Disconnected(owner) => {
                router.sessions.remove(&owner);
                router.holder.disconnected(&owner);
                self.post(to, to, DELAY, Event::Connected(owner));
                return;
            }
            Event::Unreachable(owner) => router.holder.unreachable(&owner, now),
            Event::HolderLost(holder) => {
                router.owned.holder_lost(&holder, now);
                self.grant(to);
                return;
            }
            Event::Tick => {
                self.post(to, to, TICK, Event::Tick);
                self.grant(to);
                self.routers[to].holder.expire(now)
            }
        };
        self.carry_out(to, outputs);
    }

    fn carry_out(&mut self, router: usize, outputs: Vec<HolderOutput>) {
        for output in outputs {
            match output {
                HolderOutput::Call { site, call, .. } => self.call(router, site, call),
                HolderOutput::Granted { grant, .. } => {
                    let request = grant.request.clone();
                    self.answers
                        .push((request, Answer::Granted(grant, self.now)));
                }
                HolderOutput::Refused { request, refusal } => {
                    self.answers
                        .push((request, Answer::Refused(refusal, self.now)));
                }
            }
        }
    }

    fn call(&mut self, router: usize, site: QueueSite, call: OwnerCall) {
        let owner = match &site {
            QueueSite::Owner(owner) if *owner != name(router) => owner.clone(),
            _ => return self.serve(router, router, site, call),
        };
        let number = self.number(&owner);
        if !self.routers[router].sessions.contains(&owner) {
            // No session yet: one is made, and the holder tells it everything.
            self.post(router, router, Millis(2 * DELAY.0), Event::Connected(owner));
            return;
        }
        self.messages += 1;
        self.post(router, number, DELAY, Event::Call(site, call));
    }

    /// A queue of `router` takes a call of `holder`.
    fn serve(&mut self, router: usize, holder: usize, site: QueueSite, call: OwnerCall) {
        let now = self.now;
        let served = &mut self.routers[router];
        let queue = match site {
            QueueSite::Owner(_) => &mut served.owned,
            QueueSite::Fallback => &mut served.fallback,
        };
        match call {
            OwnerCall::Offer(ticket) => {
                let request = ticket.request.clone();
                if let Err(refusal) = queue.offer(ticket, now) {
                    let refusal = TicketRefusal {
                        request,
                        holder: name(holder),
                        refusal,
                    };
                    self.reply(router, holder, Event::Refused(site, refusal));
                }
            }
            OwnerCall::Cancel(request) => {
                queue.cancel(&request);
            }
            OwnerCall::Adopt(grants) => queue.adopt(&name(holder), &grants),
            OwnerCall::Started(grant) => queue.slots_mut().started(grant),
            OwnerCall::Returned(grant, _) => queue.slots_mut().release(grant),
        }
        self.grant(router);
    }

    fn grant(&mut self, router: usize) {
        let now = self.now;
        for is_owned in [true, false] {
            let one = &mut self.routers[router];
            let (queue, site) = match is_owned {
                true => (&mut one.owned, QueueSite::Owner(name(router))),
                false => (&mut one.fallback, QueueSite::Fallback),
            };
            for refusal in queue.expire(now) {
                let holder = refusal.holder.clone();
                let event = Event::Refused(site.clone(), refusal);
                self.reply(router, self.number(&holder), event);
            }
            let one = &mut self.routers[router];
            let queue = match is_owned {
                true => &mut one.owned,
                false => &mut one.fallback,
            };
            for grant in queue.grant(now) {
                let holder = self.number(&grant.holder);
                self.reply(router, holder, Event::Granted(site.clone(), grant));
            }
        }
    }

    fn reply(&mut self, router: usize, holder: usize, event: Event) {
        if router == holder {
            self.post(router, router, Millis(0), event);
            return;
        }
        self.messages += 1;
        if self.lose_next_grant && matches!(event, Event::Granted(..)) {
            self.lose_next_grant = false;
            self.post(router, holder, DELAY, Event::Disconnected(name(router)));
            return;
        }
        self.post(router, holder, DELAY, event);
    }
}
