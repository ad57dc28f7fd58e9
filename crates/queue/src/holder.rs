//! The side of the router that holds callers' requests: which ticket waits
//! where, which grants run, and what to do when an owner changes or is lost.
//!
//! Invariant: a request that is held gets exactly one answer: a grant or a
//! refusal. A grant for a request that is not held (any more) is returned.

use crate::members::{Member, Members, QueueSite};
use crate::outcome::AttemptOutcome;
use crate::ownership::QueueKey;
use crate::ticket::{Grant, GrantId, RunningGrant, Ticket, TicketRefusal};
use crate::waiting::NEW_ARRIVAL;
use courseshunt_types::{
    Epoch, Millis, Refusal, RefusalReason, RequestId, RouterId, RunnerId, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// A call to the site of a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerCall {
    /// Let this ticket wait.
    Offer(Ticket),
    /// A waiting request is gone.
    Cancel(RequestId),
    /// These grants of the caller run, and no others. The first call of a
    /// session, and of a new owner.
    Adopt(Vec<RunningGrant>),
    /// The granted request is being sent.
    Started(GrantId),
    /// The slot is free.
    Returned(GrantId, AttemptOutcome),
}

/// What the caller of a [`Holder`] must carry out, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderOutput {
    /// Send a call. A call that can't be sent may be dropped: when the site is
    /// reached again, [`Holder::connected`] repeats what it must know.
    Call {
        /// Where to.
        site: QueueSite,
        /// The queue.
        queue: QueueKey,
        /// The call.
        call: OwnerCall,
    },
    /// Give a request its grant.
    Granted {
        /// The grant.
        grant: Grant,
        /// Start before this moment.
        expires: Timestamp,
    },
    /// Give a request its refusal.
    Refused {
        /// The request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
}

#[derive(Debug, Clone)]
struct HeldTicket {
    ticket: Ticket,
    queue: QueueKey,
    deadline: Timestamp,
    since: Timestamp,
    site: QueueSite,
    /// Whether a site has seen it, and counted its arrival.
    seen: bool,
}

#[derive(Debug, Clone)]
struct Running {
    request: RequestId,
    runner: RunnerId,
    queue: QueueKey,
    site: QueueSite,
}

/// Counters for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HolderCounts {
    /// Tickets offered, resends not counted.
    pub tickets: u64,
    /// Tickets offered again because the site changed or was reached again.
    pub resent: u64,
    /// Times that tickets had to move to another site.
    pub site_changes: u64,
    /// Grants taken.
    pub grants: u64,
    /// Grants returned because nobody waited for them (any more).
    pub grants_unwanted: u64,
    /// Tickets offered to the fallback queue.
    pub fallback: u64,
}

/// See the module.
#[derive(Debug)]
pub struct Holder {
    members: Members,
    held: BTreeMap<RequestId, HeldTicket>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
    running: BTreeMap<GrantId, Running>,
    /// Owners that calls reach.
    sessions: BTreeSet<RouterId>,
    counts: HolderCounts,
}

impl Holder {
    /// Holds nothing.
    #[must_use]
    pub fn new(me: RouterId) -> Self {
        Self {
            members: Members::new(me),
            held: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            running: BTreeMap::new(),
            sessions: BTreeSet::new(),
            counts: HolderCounts::default(),
        }
    }

    /// The routers that may own queues.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Counters.
    #[must_use]
    pub fn counts(&self) -> HolderCounts {
        self.counts
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.held.len()
    }

    /// Whether a connection to `owner` is of use: something waits or runs
    /// there, or would if it could be reached.
    #[must_use]
    pub fn uses(&self, owner: &RouterId) -> bool {
        if self.members.is_unreachable(owner) {
            return true;
        }
        let at = |site: &QueueSite| matches!(site, QueueSite::Owner(one) if one == owner);
        self.held.values().any(|one| at(&one.site))
            || self.running.values().any(|one| at(&one.site))
    }

    /// Lets a request wait.
    pub fn offer(&mut self, queue: QueueKey, ticket: Ticket, now: Timestamp) -> Vec<HolderOutput> {
        if ticket.deadline_in == Millis(0) {
            let request = ticket.request;
            return vec![late(request, "the deadline has passed")];
        }
        self.counts.tickets += 1;
        let request = ticket.request.clone();
        let mut held = HeldTicket {
            deadline: now + ticket.deadline_in,
            since: now - ticket.waited,
            site: self.members.site_of(&queue),
            queue,
            ticket,
            seen: false,
        };
        let output = self.offer_held(&mut held, now);
        self.deadlines.insert((held.deadline, request.clone()));
        self.held.insert(request, held);
        vec![output]
    }

    fn offer_held(&mut self, held: &mut HeldTicket, now: Timestamp) -> HolderOutput {
        if held.site == QueueSite::Fallback {
            self.counts.fallback += 1;
        }
        let mut ticket = held.ticket.clone();
        ticket.deadline_in = held.deadline.since(now);
        ticket.waited = now.since(held.since);
        if held.seen {
            // It is no new arrival.
            ticket.waited = ticket.waited.max(Millis(NEW_ARRIVAL.0 + 1));
        }
        held.seen |= self.reaches(&held.site);
        call(&held.site, &held.queue, OwnerCall::Offer(ticket))
    }

    fn reaches(&self, site: &QueueSite) -> bool {
        match site {
            QueueSite::Owner(owner) => owner == self.members.me() || self.sessions.contains(owner),
            QueueSite::Fallback => true,
        }
    }

    /// Offers tickets again, at their sites.
    fn offer_again(&mut self, requests: Vec<RequestId>, now: Timestamp) -> Vec<HolderOutput> {
        let mut outputs = Vec::new();
        for request in requests {
            let Some(mut held) = self.held.remove(&request) else {
                continue;
            };
            if held.seen {
                self.counts.resent += 1;
            }
            outputs.push(self.offer_held(&mut held, now));
            self.held.insert(request, held);
        }
        outputs
    }

    /// Takes a request out whose caller has left.
    pub fn cancel(&mut self, request: &RequestId) -> Vec<HolderOutput> {
        let held = self.take(request);
        let cancelled = held.map(|held| {
            let cancel = OwnerCall::Cancel(request.clone());
            call(&held.site, &held.queue, cancel)
        });
        cancelled.into_iter().collect()
    }

    fn take(&mut self, request: &RequestId) -> Option<HeldTicket> {
        let held = self.held.remove(request)?;
        self.deadlines.remove(&(held.deadline, request.clone()));
        Some(held)
    }

    /// Takes a grant in. It is returned at once when the request has gone or
    /// its deadline has passed.
    pub fn granted(
        &mut self,
        site: QueueSite,
        queue: QueueKey,
        grant: Grant,
        now: Timestamp,
    ) -> Vec<HolderOutput> {
        let unused = OwnerCall::Returned(grant.grant, AttemptOutcome::Unused);
        let Some(held) = self.take(&grant.request) else {
            self.counts.grants_unwanted += 1;
            return vec![call(&site, &queue, unused)];
        };
        let mut outputs = Vec::new();
        if held.site != site {
            let cancel = OwnerCall::Cancel(grant.request.clone());
            outputs.push(call(&held.site, &held.queue, cancel));
        }
        if held.deadline <= now {
            self.counts.grants_unwanted += 1;
            outputs.push(call(&site, &queue, unused));
            outputs.push(late(
                grant.request,
                "the deadline passed before the dispatch",
            ));
            return outputs;
        }
        self.counts.grants += 1;
        let running = Running {
            request: grant.request.clone(),
            runner: grant.runner.clone(),
            queue,
            site,
        };
        self.running.insert(grant.grant, running);
        let expires = now + grant.valid_for;
        outputs.push(HolderOutput::Granted { grant, expires });
        outputs
    }

    /// Takes a refusal in, unless the ticket has moved elsewhere meanwhile.
    pub fn refused(&mut self, site: &QueueSite, refusal: TicketRefusal) -> Vec<HolderOutput> {
        let held = self.held.get(&refusal.request);
        if held.is_none_or(|held| held.site != *site) {
            return Vec::new();
        }
        self.take(&refusal.request);
        vec![HolderOutput::Refused {
            request: refusal.request,
            refusal: refusal.refusal,
        }]
    }

    /// Tells the site that a granted request is being sent.
    pub fn started(&mut self, grant: GrantId) -> Vec<HolderOutput> {
        let running = self.running.get(&grant);
        let started = running.map(|one| call(&one.site, &one.queue, OwnerCall::Started(grant)));
        started.into_iter().collect()
    }

    /// Gives a slot back.
    pub fn returned(&mut self, grant: GrantId, outcome: AttemptOutcome) -> Vec<HolderOutput> {
        let running = self.running.remove(&grant);
        let returned = running.map(|one| {
            let returned = OwnerCall::Returned(grant, outcome);
            call(&one.site, &one.queue, returned)
        });
        returned.into_iter().collect()
    }

    /// Takes the live routers in and moves what has another owner now.
    pub fn set_live(
        &mut self,
        epoch: Epoch,
        members: impl IntoIterator<Item = Member>,
        now: Timestamp,
    ) -> Vec<HolderOutput> {
        self.members.set_live(epoch, members);
        self.move_all(now)
    }

    /// Notes that a router stops, and moves what waits there.
    pub fn leaving(&mut self, router: &RouterId, now: Timestamp) -> Vec<HolderOutput> {
        match self.members.set_leaving(router) {
            true => self.move_all(now),
            false => Vec::new(),
        }
    }

    /// Notes that an owner can't be reached: its tickets wait here meanwhile.
    pub fn unreachable(&mut self, router: &RouterId, now: Timestamp) -> Vec<HolderOutput> {
        self.sessions.remove(router);
        match self.members.set_reachable(router, false) {
            true => self.move_all(now),
            false => Vec::new(),
        }
    }

    /// Notes a new session with an owner, and tells it all that it must know.
    pub fn connected(&mut self, router: &RouterId, now: Timestamp) -> Vec<HolderOutput> {
        self.sessions.insert(router.clone());
        if self.members.set_reachable(router, true) {
            return self.move_all(now);
        }
        let site = QueueSite::Owner(router.clone());
        let mut outputs = self.adopt_calls(|one| one.site == site);
        let waiting = self.held.iter().filter(|(_, held)| held.site == site);
        let waiting = waiting.map(|(request, _)| request.clone()).collect();
        outputs.extend(self.offer_again(waiting, now));
        outputs
    }

    /// Notes that a session with an owner ended. Another follows, or
    /// [`Self::unreachable`].
    pub fn disconnected(&mut self, router: &RouterId) {
        self.sessions.remove(router);
    }

    /// Refuses the requests whose deadline has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<HolderOutput> {
        let mut outputs = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            outputs.extend(self.cancel(&request));
            let message = "the deadline passed while the request waited";
            outputs.push(late(request, message));
        }
        outputs
    }

    /// Queues that tickets wait for.
    #[must_use]
    pub fn queues(&self) -> BTreeSet<QueueKey> {
        self.held.values().map(|held| held.queue.clone()).collect()
    }

    /// Gives up on all tickets of a queue.
    pub fn refuse_queue(&mut self, queue: &QueueKey, refusal: &Refusal) -> Vec<HolderOutput> {
        let of_queue = self.held.iter().filter(|(_, held)| held.queue == *queue);
        let requests: Vec<RequestId> = of_queue.map(|(request, _)| request.clone()).collect();
        let mut outputs = Vec::new();
        for request in requests {
            outputs.extend(self.cancel(&request));
            outputs.push(HolderOutput::Refused {
                request,
                refusal: refusal.clone(),
            });
        }
        outputs
    }

    /// Moves tickets and running grants whose queue has another site now.
    fn move_all(&mut self, now: Timestamp) -> Vec<HolderOutput> {
        let mut outputs = self.move_running();
        let mut moved = Vec::new();
        for (request, held) in &mut self.held {
            let site = self.members.site_of(&held.queue);
            if site == held.site {
                continue;
            }
            let cancel = OwnerCall::Cancel(request.clone());
            outputs.push(call(&held.site, &held.queue, cancel));
            held.site = site;
            moved.push(request.clone());
        }
        if !moved.is_empty() {
            self.counts.site_changes += 1;
        }
        outputs.extend(self.offer_again(moved, now));
        outputs
    }

    /// Lets the new sites of running grants know of them.
    fn move_running(&mut self) -> Vec<HolderOutput> {
        let mut outputs = Vec::new();
        let mut changed = BTreeSet::new();
        for (grant, one) in &mut self.running {
            let site = self.members.site_of(&one.queue);
            if site == one.site {
                continue;
            }
            let released = OwnerCall::Returned(*grant, AttemptOutcome::Unused);
            outputs.push(call(&one.site, &one.queue, released));
            one.site = site;
            changed.insert(one.queue.clone());
        }
        outputs.extend(self.adopt_calls(|one| changed.contains(&one.queue)));
        outputs
    }

    fn adopt_calls(&self, wanted: impl Fn(&Running) -> bool) -> Vec<HolderOutput> {
        let mut by_queue: BTreeMap<(QueueSite, QueueKey), Vec<RunningGrant>> = BTreeMap::new();
        for (grant, one) in self.running.iter().filter(|(_, one)| wanted(one)) {
            let key = (one.site.clone(), one.queue.clone());
            by_queue.entry(key).or_default().push(RunningGrant {
                grant: *grant,
                request: one.request.clone(),
                runner: one.runner.clone(),
            });
        }
        let calls = by_queue.into_iter();
        calls
            .map(|((site, queue), grants)| call(&site, &queue, OwnerCall::Adopt(grants)))
            .collect()
    }
}

fn call(site: &QueueSite, queue: &QueueKey, call: OwnerCall) -> HolderOutput {
    HolderOutput::Call {
        site: site.clone(),
        queue: queue.clone(),
        call,
    }
}

fn late(request: RequestId, message: &str) -> HolderOutput {
    HolderOutput::Refused {
        request,
        refusal: Refusal::not_run(RefusalReason::DeadlineExceeded, message),
    }
}
