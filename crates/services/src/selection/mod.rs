//! Selects the instance for a request by the predicted time to its first answer, and keeps
//! the state from which that time is predicted.
//!
//! Invariant: all requests, including retries and requests that were queued, pass the same
//! eligibility check, [`Selector::pushback`].
//!
//! The load from other routers is known from the feed, with a lag. The work that they may have
//! sent since the last update is estimated by a random draw, so that routers with the same
//! data do not all select the same instance. Ties between instances are broken by an order
//! that differs between routers.
//! Requests that share a prompt prefix have a common preferred instance, determined by
//! rendezvous hashing, so that routers agree on it without messages. Preferred instances are
//! spread over the fleet by the hash and need no draw.

mod absence;
mod avoidance;
mod health;
mod limits;
mod loads;
mod local;
mod pause_cost;
mod prefixes;
mod prompt;
mod pushback;
mod request;
mod score;

use crate::instance::{InstanceState, InstanceView};
use crate::limit::local::RouterLimits;
use courseshunt_instance_load::RouterLoads;
use courseshunt_types::{Millis, RunnerId, Timestamp, Zone};
use local::{InstanceOption, LocalState};
pub use prompt::{PrefixPart, PromptShape};
pub use pushback::{Pushback, Pushbacks};
pub use request::SelectionRequest;
use score::Score;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt tokens that an instance is assumed to process per millisecond.
const DEFAULT_TOKENS_PER_MS: f64 = 38.0;
/// Weight of the newest measurement in an instance's moving slowness factor.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// Bounds of an instance's slowness factor: measured time to the first answer divided by the
/// predicted time.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 20.0);

/// Which instances are eligible with regard to their pushbacks.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Eligibility {
    /// Only instances that accept a request now.
    Now,
    /// Also instances whose rate limit admits a request later.
    IncludingRateLimited,
}

/// A selected instance with the prediction on which the selection is based.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The instance.
    pub instance: RunnerId,
    /// Predicted time to the first answer, in milliseconds.
    pub predicted_ms: f64,
    /// Predicted longest pause of the stream, in milliseconds; `None` for an instance without a
    /// condition.
    pub predicted_pause_ms: Option<f64>,
    /// Prompt tokens that the instance has to process, without those of cached prefixes.
    pub uncached_tokens: u32,
    /// Prompt and output tokens that the request holds in the instance's memory while it is in
    /// flight, without those of cached prefixes.
    pub held_tokens: u32,
    /// Duration of work relative to the usual one (slowness and work factor) that `predicted_ms`
    /// contains.
    pub duration_factor: f64,
    /// Work factor of the instance at the selection; 1 if unknown.
    pub work_factor: f64,
    /// Sequence number of the selection, unique within the selector.
    pub ticket: u64,
}

/// Selects instances for the requests of one router. See the module documentation.
#[derive(Debug)]
pub struct Selector {
    zone: Zone,
    /// Makes this router's random draws differ from those of other routers.
    seed: u64,
    /// When the usage of other routers was received, and its age at that time.
    usage_received_at: Timestamp,
    usage_age: Millis,
    locals: HashMap<RunnerId, LocalState>,
    /// Number of routers that select among the same instances, including this one.
    routers: u32,
    /// Pushbacks from instances. They are kept when the entry in `locals` is removed.
    pushbacks: Pushbacks,
    /// Rate limits that instances reported.
    limits: RouterLimits,
    /// Load and speed of instances that report them.
    loads: RouterLoads,
    choices: u64,
}

impl Selector {
    /// Creates a selector for a router in `zone`, with the seed 0 and no other routers.
    #[must_use]
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            seed: 0,
            usage_received_at: Timestamp::default(),
            usage_age: Millis(0),
            locals: HashMap::new(),
            routers: 1,
            pushbacks: Pushbacks::default(),
            limits: RouterLimits::new(0.0),
            loads: RouterLoads::default(),
            choices: 0,
        }
    }

    /// Sets the seed of this router's random draws and of its time slots under rate limits.
    #[must_use]
    pub fn seeded(self, seed: u64) -> Self {
        // The phase need not be evenly distributed: it only separates the time slots of routers.
        let phase = seed as f64 / u64::MAX as f64;
        let limits = RouterLimits::new(phase);
        Self {
            seed,
            limits,
            ..self
        }
    }

    /// Sets the number of routers that select among the same instances, including this one.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers;
        self.limits.set_routers(routers);
    }

    /// Updates the usage of all routers, including this one, whose own requests in flight are
    /// subtracted because they are tracked exactly here. `age` is the age of the usage when it is
    /// received.
    pub fn set_usage(&mut self, usage: &[crate::feed::InstanceUsage], age: Millis, now: Timestamp) {
        self.usage_received_at = now;
        self.usage_age = age;
        for local in self.locals.values_mut() {
            local.others_in_flight = 0;
            local.others_pending_tokens = 0;
        }
        for one in usage {
            let local = self.locals.entry(one.instance.clone()).or_default();
            local.others_in_flight = one.in_flight.saturating_sub(local.in_flight);
            local.others_pending_tokens = one.prompt_tokens.saturating_sub(local.pending_tokens);
        }
    }

    /// Removes the state of instances that no longer exist, unless requests are in flight
    /// there. Pushbacks are kept.
    pub fn retain(&mut self, exists: impl Fn(&RunnerId) -> bool) {
        self.locals
            .retain(|id, local| local.in_flight > 0 || exists(id));
        self.limits.retain(&exists);
        self.loads.retain(&exists);
    }

    /// Requests of this router in flight, by instance, in the order of identities.
    #[must_use]
    pub fn usage(&self) -> Vec<crate::feed::InstanceUsage> {
        let busy = self.locals.iter().filter(|(_, one)| one.in_flight > 0);
        let usage = busy.map(|(id, one)| crate::feed::InstanceUsage {
            instance: id.clone(),
            in_flight: one.in_flight,
            prompt_tokens: one.pending_tokens,
        });
        let mut usage: Vec<crate::feed::InstanceUsage> = usage.collect();
        // Equal usage gives equal reports, which are not sent again.
        usage.sort_by(|left, right| left.instance.cmp(&right.instance));
        usage
    }

    /// Selects one of `views` for a request, except the instances in `avoid`, which have already
    /// rejected it. `own_limit` bounds the requests of this router in flight at one instance.
    pub fn choose<'a, 'r>(
        &mut self,
        request: impl Into<SelectionRequest<'r>>,
        views: impl Iterator<Item = &'a InstanceView>,
        avoid: &[RunnerId],
        own_limit: u32,
        now: Timestamp,
    ) -> Option<Candidate> {
        let request = request.into();
        self.choose_eligible(&request, views, avoid, own_limit, Eligibility::Now, now)
    }

    /// Like [`Self::choose`], but includes instances whose rate limit admits a request only
    /// later.
    pub fn choose_with_wait<'a, 'r>(
        &mut self,
        request: impl Into<SelectionRequest<'r>>,
        views: impl Iterator<Item = &'a InstanceView>,
        own_limit: u32,
        now: Timestamp,
    ) -> Option<Candidate> {
        self.choose_eligible(
            &request.into(),
            views,
            &[],
            own_limit,
            Eligibility::IncludingRateLimited,
            now,
        )
    }

    fn choose_eligible<'a>(
        &mut self,
        request: &SelectionRequest<'_>,
        views: impl Iterator<Item = &'a InstanceView>,
        avoid: &[RunnerId],
        own_limit: u32,
        eligibility: Eligibility,
        now: Timestamp,
    ) -> Option<Candidate> {
        let usable = self.usable(request.shape, views, avoid, own_limit, eligibility, now);
        let (option, score) = self.best(request, &usable, now)?;
        let candidate = Candidate {
            instance: option.view.id.clone(),
            predicted_ms: score.prediction.first_answer_ms,
            predicted_pause_ms: score.prediction.pause_ms,
            uncached_tokens: score.uncached_tokens,
            held_tokens: loads::held_tokens(request.shape, score.uncached_tokens),
            duration_factor: score.prediction.duration_factor,
            work_factor: self.loads.work_factor(&option.view.id, now),
            ticket: self.choices + 1,
        };
        self.choices += 1;
        let chosen = self.locals.entry(candidate.instance.clone());
        chosen.or_default().last_chosen = candidate.ticket;
        Some(candidate)
    }

    /// The instances to which a request of this shape may be sent.
    fn usable<'s, 'a: 's>(
        &'s self,
        shape: &PromptShape,
        views: impl Iterator<Item = &'a InstanceView>,
        avoid: &[RunnerId],
        own_limit: u32,
        eligibility: Eligibility,
        now: Timestamp,
    ) -> Vec<InstanceOption<'s>> {
        let usable = views
            .filter(|view| view.state == InstanceState::Ready)
            .filter(|view| !avoid.contains(&view.id))
            .filter(|view| {
                shape.model.is_empty() || view.holds(&shape.model, shape.adapter.as_deref())
            })
            // All requests pass this check: first attempts, retries and queued requests.
            .filter(|view| self.is_eligible(view, eligibility, now))
            .map(|view| InstanceOption {
                view,
                local: self.locals.get(&view.id),
            })
            .filter(|option| option.is_reachable(now) && option.has_room(own_limit))
            .filter(|option| !option.lacks(shape, now));
        usable.collect()
    }

    /// The usable instance with the lowest cost.
    fn best<'b, 'a>(
        &self,
        request: &SelectionRequest<'_>,
        usable: &'b [InstanceOption<'a>],
        now: Timestamp,
    ) -> Option<(&'b InstanceOption<'a>, Score)> {
        let keys = request.shape.prefix_keys();
        let affinity_key = request.shape.affinity_key(&keys);
        let preferred = affinity_key.and_then(|key| preferred_instance(key, usable));
        let scored = usable.iter().map(|option| {
            let is_preferred = preferred == Some(&option.view.id);
            (
                option,
                self.score(request, &keys, option, is_preferred, now),
            )
        });
        scored.min_by(|(one, left), (other, right)| {
            let order = left.cost.total_cmp(&right.cost);
            let order = order.then_with(|| left.last_chosen.cmp(&right.last_chosen));
            // Without this, all routers of a fleet start with the same instance, and most
            // instances of a plain service get no requests.
            order.then_with(|| self.own_order(one).cmp(&self.own_order(other)))
        })
    }

    /// Position of an instance in the order of this router (highest random weight).
    fn own_order(&self, option: &InstanceOption<'_>) -> u64 {
        xxh3_64_with_seed(option.view.id.as_str().as_bytes(), self.seed)
    }

    /// Records that a request is sent.
    pub fn begin(&mut self, candidate: &Candidate, shape: &PromptShape, now: Timestamp) {
        let local = self.locals.entry(candidate.instance.clone()).or_default();
        local.in_flight += 1;
        local.pending_tokens += candidate.uncached_tokens;
        local
            .health
            .sent(candidate.ticket, candidate.predicted_ms, now);
        let keys = shape.prefix_keys();
        local.prefixes.begin(candidate.ticket, &keys, now);
        self.loads
            .add_held_tokens(&candidate.instance, candidate.held_tokens);
        self.pushbacks
            .begin(&candidate.instance, candidate.ticket, now);
    }

    /// Records the first answer, which came `waited` after the request was sent; `succeeded` unless
    /// it reports a failure. Returns whether an instance that recovers from a backoff accepts more
    /// requests now.
    pub fn first_answer(&mut self, candidate: &Candidate, waited: Millis, succeeded: bool) -> bool {
        let (instance, ticket) = (&candidate.instance, candidate.ticket);
        let has_room = succeeded && self.pushbacks.answered(instance, ticket);
        self.update_from_answer(candidate, waited, succeeded);
        has_room
    }

    fn update_from_answer(&mut self, candidate: &Candidate, waited: Millis, succeeded: bool) {
        let Some(local) = self.locals.get_mut(&candidate.instance) else {
            return;
        };
        local.health.finished(candidate.ticket);
        local.prefixes.processed(candidate.ticket);
        local.pending_tokens = local
            .pending_tokens
            .saturating_sub(candidate.uncached_tokens);
        if !succeeded {
            return;
        }
        local.failures = 0;
        // The speed of an instance with a condition is known from all routers.
        if candidate.predicted_pause_ms.is_some() {
            return;
        }
        let expected = candidate.predicted_ms.max(20.0) + loads::FIXED_FIRST_ANSWER_MS;
        let ratio = (waited.0 as f64 / expected).clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        let before = local.slowness.unwrap_or(1.0);
        let after = before + (ratio * before.sqrt() - before) * SLOWNESS_WEIGHT;
        local.slowness = Some(after.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1));
    }

    /// Records the end of a request; `answered` states whether its first answer came. Returns
    /// whether an instance that recovers from a backoff accepts another request in its place.
    pub fn end(&mut self, candidate: &Candidate, answered: bool) -> bool {
        let (instance, ticket) = (&candidate.instance, candidate.ticket);
        let has_room = self.pushbacks.ended(instance, ticket);
        self.loads
            .remove_held_tokens(instance, candidate.held_tokens);
        let Some(local) = self.locals.get_mut(instance) else {
            return has_room;
        };
        local.in_flight = local.in_flight.saturating_sub(1);
        local.health.finished(candidate.ticket);
        local.prefixes.processed(candidate.ticket);
        if !answered {
            local.pending_tokens = local
                .pending_tokens
                .saturating_sub(candidate.uncached_tokens);
        }
        has_room
    }

    /// Records that an instance rejected a request and has processed nothing of its prompt.
    pub fn rejected(&mut self, candidate: &Candidate) {
        if let Some(local) = self.locals.get_mut(&candidate.instance) {
            local.prefixes.rejected(candidate.ticket);
        }
    }
}

/// The instance with the highest hash of its identity under `key` (rendezvous hashing).
fn preferred_instance<'a>(key: u64, usable: &[InstanceOption<'a>]) -> Option<&'a RunnerId> {
    let ids = usable.iter().map(|option| &option.view.id);
    ids.max_by_key(|id| xxh3_64_with_seed(id.as_str().as_bytes(), key))
}
