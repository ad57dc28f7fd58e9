//! Chooses the instance for a request by the predicted time to its first
//! answer, and keeps what that prediction rests on.
//!
//! What other routers have sent is known from the feed, with a lag. What they may
//! have sent since is drawn at random, so that routers that know the same do not
//! all choose the same instance; homes are spread already and need no draw. Among instances
//! of which a router knows nothing that tells them apart it follows an order of its own.
//! Requests that share the beginning of their prompt have a common home among the
//! instances (rendezvous hashing), so that routers agree on it without messages.

mod absence;
mod health;
mod limits;
mod local;
mod prefixes;
mod prompt;
mod pushback;

use crate::instance::{InstanceState, InstanceView};
use crate::limit::local::RouterLimits;
use courseshunt_types::{Millis, RunnerId, Timestamp, Zone};
use local::{Choice, Local};
use prefixes::PrefixKey;
use prompt::work_tokens;
pub use prompt::{PrefixPart, PromptShape};
pub use pushback::{Pushback, Pushbacks};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt tokens read in a millisecond, until measured.
const DEFAULT_TOKENS_PER_MS: f64 = 38.0;
/// Cost of a hop to another zone, in milliseconds; covers the bytes' price.
const OTHER_ZONE_MS: f64 = 4.0;
/// Part of their reading speed that other routers' requests may use, unseen, while
/// what is known of them is on its way.
const UNSEEN_PART: f64 = 0.3;
/// Cost of one more request in a batch, in milliseconds.
const BATCH_MS: f64 = 1.0;
/// How long an instance that failed is avoided.
const SUSPECT_FOR: Millis = Millis(1_000);
/// Longest time that a repeatedly failing instance is avoided.
const SUSPECT_AT_MOST: Millis = Millis(8_000);
/// An instance that fails all its requests is avoided for so many times longer.
const SUSPECT_FACTOR: f64 = 7.0;
/// Cost of an instance all of whose requests fail, in milliseconds: of an engine
/// and of a plain one.
const FAILURE_MS: f64 = 400.0;
const PLAIN_FAILURE_MS: f64 = 20.0;
/// Weight of the newest measurement of an instance's slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// Bounds of an instance's measured slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 20.0);

/// Which instances may be chosen by their own word.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Gate {
    /// Those that may be sent a request now.
    Now,
    /// Those, too, whose limit allows one later.
    LaterTurn,
}

/// What speaks for and against a choice.
struct Score {
    /// Predicted cost, in milliseconds; the least is chosen.
    cost: f64,
    /// At the same cost: who was chosen longest ago.
    last_chosen: u64,
    predicted_ms: f64,
    uncached_tokens: u32,
}

/// A chosen instance and why.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The instance.
    pub instance: RunnerId,
    /// Predicted time to the first answer, in milliseconds.
    pub predicted_ms: f64,
    /// Prompt tokens that it has to read.
    pub uncached_tokens: u32,
    /// Number of the choice.
    pub ticket: u64,
}

/// See the module.
#[derive(Debug)]
pub struct Selector {
    zone: Zone,
    /// Sets this router's draws apart from those of others.
    seed: u64,
    /// When the use of others was told, and how old it was then.
    told_at: Timestamp,
    told_late: Millis,
    locals: HashMap<RunnerId, Local>,
    /// Routers that choose among the same instances, this one included.
    routers: u32,
    /// What instances asked for. Outlives their place in `locals`.
    pushbacks: Pushbacks,
    /// Limits that instances named.
    limits: RouterLimits,
    choices: u64,
}

impl Selector {
    /// A selector of a router in `zone`.
    #[must_use]
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            seed: 0,
            told_at: Timestamp::default(),
            told_late: Millis(0),
            locals: HashMap::new(),
            routers: 1,
            pushbacks: Pushbacks::default(),
            limits: RouterLimits::new(0.0),
            choices: 0,
        }
    }

    /// Gives this router's draws a seed of their own.
    #[must_use]
    pub fn seeded(self, seed: u64) -> Self {
        // Draws need not be even: this only sets the turns of routers apart.
        let phase = seed as f64 / u64::MAX as f64;
        let limits = RouterLimits::new(phase);
        Self {
            seed,
            limits,
            ..self
        }
    }

    /// Takes over how many routers choose among the same instances, this one included.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers;
        self.limits.set_routers(routers);
    }

    /// Takes over what all routers use, this one included: what it has under way
    /// itself is known better here. It is about `late` old.
    pub fn set_usage(
        &mut self,
        usage: &[crate::feed::InstanceUsage],
        late: Millis,
        now: Timestamp,
    ) {
        self.told_at = now;
        self.told_late = late;
        for local in self.locals.values_mut() {
            local.others_in_flight = 0;
            local.others_unread = 0;
        }
        for one in usage {
            let local = self.locals.entry(one.instance.clone()).or_default();
            local.others_in_flight = one.in_flight.saturating_sub(local.in_flight);
            local.others_unread = one.prompt_tokens.saturating_sub(local.unread_tokens);
        }
    }

    /// Forgets instances that are gone.
    pub fn retain(&mut self, exists: impl Fn(&RunnerId) -> bool) {
        self.locals
            .retain(|id, local| local.in_flight > 0 || exists(id));
        self.limits.retain(&exists);
    }

    /// Requests of this router under way, by instance.
    #[must_use]
    pub fn usage(&self) -> Vec<crate::feed::InstanceUsage> {
        let busy = self.locals.iter().filter(|(_, one)| one.in_flight > 0);
        let usage = busy.map(|(id, one)| crate::feed::InstanceUsage {
            instance: id.clone(),
            in_flight: one.in_flight,
            prompt_tokens: one.unread_tokens,
        });
        let mut usage: Vec<crate::feed::InstanceUsage> = usage.collect();
        // Equal uses make equal reports, which are not told again.
        usage.sort_by(|left, right| left.instance.cmp(&right.instance));
        usage
    }

    /// Chooses among `views` for a request of this shape; `avoid` have turned it
    /// away already. `own_limit` bounds this router's requests at one instance.
    pub fn choose<'a>(
        &mut self,
        shape: &PromptShape,
        views: impl Iterator<Item = &'a InstanceView>,
        avoid: &[RunnerId],
        own_limit: u32,
        now: Timestamp,
    ) -> Option<Candidate> {
        self.choose_by(shape, views, avoid, own_limit, Gate::Now, now)
    }

    /// The same among instances, too, that take a request only in a later turn by their limit.
    pub fn choose_with_wait<'a>(
        &mut self,
        shape: &PromptShape,
        views: impl Iterator<Item = &'a InstanceView>,
        own_limit: u32,
        now: Timestamp,
    ) -> Option<Candidate> {
        self.choose_by(shape, views, &[], own_limit, Gate::LaterTurn, now)
    }

    fn choose_by<'a>(
        &mut self,
        shape: &PromptShape,
        views: impl Iterator<Item = &'a InstanceView>,
        avoid: &[RunnerId],
        own_limit: u32,
        gate: Gate,
        now: Timestamp,
    ) -> Option<Candidate> {
        let keys = shape.prefix_keys();
        let home_key = shape.home_key(&keys);
        let usable = views
            .filter(|view| view.state == InstanceState::Ready)
            .filter(|view| !avoid.contains(&view.id))
            .filter(|view| {
                shape.model.is_empty() || view.holds(&shape.model, shape.adapter.as_deref())
            })
            // The one gate of all that is sent: first sends, repeats, requests that waited.
            .filter(|view| self.is_open(view, gate, now))
            .map(|view| Choice {
                view,
                local: self.locals.get(&view.id),
            })
            .filter(|option| option.is_reachable(now) && option.has_room(own_limit))
            .filter(|option| !option.lacks(shape, now));
        let usable: Vec<Choice<'_>> = usable.collect();
        let home = home_key.and_then(|key| home_of(key, &usable));
        let scored = usable.iter().map(|option| {
            let is_home = home == Some(&option.view.id);
            (option, self.score(shape, &keys, option, is_home, now))
        });
        let best = scored.min_by(|(one, left), (other, right)| {
            let order = left.cost.total_cmp(&right.cost);
            let order = order.then_with(|| left.last_chosen.cmp(&right.last_chosen));
            // Without it all routers of a fleet begin with the same instance, and most
            // instances of a plain service get no request.
            order.then_with(|| self.own_order(one).cmp(&self.own_order(other)))
        });
        let (option, score) = best?;
        let candidate = Candidate {
            instance: option.view.id.clone(),
            predicted_ms: score.predicted_ms,
            uncached_tokens: score.uncached_tokens,
            ticket: self.choices + 1,
        };
        self.choices += 1;
        let chosen = self.locals.entry(candidate.instance.clone());
        chosen.or_default().last_chosen = candidate.ticket;
        Some(candidate)
    }

    fn score(
        &self,
        shape: &PromptShape,
        keys: &[PrefixKey],
        option: &Choice<'_>,
        is_home: bool,
        now: Timestamp,
    ) -> Score {
        let view = option.view;
        let empty = Local::default();
        let local = option.local.unwrap_or(&empty);
        let slowness = local.slowness.unwrap_or(1.0);
        let known = local.prefixes.tokens(keys, now);
        let assumed = match is_home {
            true => keys.len().checked_sub(2).map_or(0, |shared| keys[shared].1),
            false => 0,
        };
        let kept = known.max(assumed).min(shape.prompt_tokens);
        let uncached = work_tokens(shape.prompt_tokens, kept);
        let in_flight = f64::from(local.in_flight + local.others_in_flight);
        let mut cost = match shape.model.is_empty() {
            true => in_flight / f64::from(view.slots.max(1)) * 20.0 * slowness,
            false => {
                let others = self.still_unread(local.others_unread, now);
                let backlog = f64::from(local.unread_tokens) + others;
                let reading = (backlog + f64::from(uncached)) / DEFAULT_TOKENS_PER_MS;
                (reading + in_flight * BATCH_MS) * slowness
            }
        };
        let predicted_ms = cost;
        if !shape.model.is_empty() && !is_home {
            cost += self.unseen_ms(&view.id);
        }
        cost += local.health.overdue(now).0 as f64;
        cost += local.health.failed_part(now)
            * match shape.model.is_empty() {
                true => PLAIN_FAILURE_MS,
                false => FAILURE_MS,
            };
        if view.zone != self.zone {
            cost += OTHER_ZONE_MS;
        }
        if now < local.suspect_until {
            cost += 1e6;
        }
        Score {
            cost,
            last_chosen: local.last_chosen,
            predicted_ms,
            uncached_tokens: uncached,
        }
    }

    /// This router's order of instances (highest random weight).
    fn own_order(&self, option: &Choice<'_>) -> u64 {
        xxh3_64_with_seed(option.view.id.as_str().as_bytes(), self.seed)
    }

    /// What is left of others' unread tokens, which the instance has gone on
    /// reading since they were told.
    fn still_unread(&self, told: u32, now: Timestamp) -> f64 {
        let read = now.since(self.told_at).0 as f64 * DEFAULT_TOKENS_PER_MS;
        (f64::from(told) - read).max(0.0)
    }

    /// Work that others may have sent to an instance since what is known of them,
    /// in milliseconds: drawn for each choice.
    fn unseen_ms(&self, instance: &RunnerId) -> f64 {
        let draw = xxh3_64_with_seed(instance.as_str().as_bytes(), self.seed ^ self.choices);
        let part = draw as f64 / u64::MAX as f64;
        part * self.told_late.0 as f64 * UNSEEN_PART
    }

    /// Notes that a request is sent.
    pub fn begin(&mut self, candidate: &Candidate, shape: &PromptShape, now: Timestamp) {
        let local = self.locals.entry(candidate.instance.clone()).or_default();
        local.in_flight += 1;
        local.unread_tokens += candidate.uncached_tokens;
        local
            .health
            .sent(candidate.ticket, candidate.predicted_ms, now);
        let keys = shape.prefix_keys();
        local.prefixes.begin(candidate.ticket, &keys, now);
        self.pushbacks
            .begin(&candidate.instance, candidate.ticket, now);
    }

    /// Notes the first answer after `waited`; `good` unless it reports a failure. Returns
    /// whether an instance that rested may have more requests now.
    pub fn first_answer(&mut self, candidate: &Candidate, waited: Millis, good: bool) -> bool {
        let (instance, ticket) = (&candidate.instance, candidate.ticket);
        let has_room = good && self.pushbacks.answered(instance, ticket);
        self.learn_from_answer(candidate, waited, good);
        has_room
    }

    fn learn_from_answer(&mut self, candidate: &Candidate, waited: Millis, good: bool) {
        let Some(local) = self.locals.get_mut(&candidate.instance) else {
            return;
        };
        local.health.settled(candidate.ticket);
        local.prefixes.read(candidate.ticket);
        local.unread_tokens = local
            .unread_tokens
            .saturating_sub(candidate.uncached_tokens);
        if !good {
            return;
        }
        local.failures = 0;
        let expected = candidate.predicted_ms.max(20.0) + 15.0;
        let ratio = (waited.0 as f64 / expected).clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        let before = local.slowness.unwrap_or(1.0);
        let after = before + (ratio * before.sqrt() - before) * SLOWNESS_WEIGHT;
        local.slowness = Some(after.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1));
    }

    /// Notes the end of a request; `answered` tells whether its first answer came. Returns
    /// whether an instance that rested may have another request in its place.
    pub fn end(&mut self, candidate: &Candidate, answered: bool) -> bool {
        let (instance, ticket) = (&candidate.instance, candidate.ticket);
        let has_room = self.pushbacks.ended(instance, ticket);
        let Some(local) = self.locals.get_mut(instance) else {
            return has_room;
        };
        local.in_flight = local.in_flight.saturating_sub(1);
        local.health.settled(candidate.ticket);
        local.prefixes.read(candidate.ticket);
        if !answered {
            local.unread_tokens = local
                .unread_tokens
                .saturating_sub(candidate.uncached_tokens);
        }
        has_room
    }

    /// Notes that an instance turned a request away: it has read nothing of its prompt.
    pub fn rejected(&mut self, candidate: &Candidate) {
        if let Some(local) = self.locals.get_mut(&candidate.instance) {
            local.prefixes.turned_away(candidate.ticket);
        }
    }

    /// Notes that an instance said that it is not the one that is meant, or does not have what
    /// the request asks for.
    pub fn note_missing(&mut self, instance: &RunnerId, shape: &PromptShape, now: Timestamp) {
        let local = self.locals.entry(instance.clone()).or_default();
        local.absences.lacks(shape, now);
    }

    /// For how long an instance is not to be asked for the same, by its own word.
    #[must_use]
    pub fn missing_for(
        &self,
        instance: &RunnerId,
        shape: &PromptShape,
        now: Timestamp,
    ) -> Option<Millis> {
        let local = self.locals.get(instance)?;
        local.absences.lacks_for(shape, now)
    }

    /// Notes that what an instance holds was told anew.
    pub fn models_updated(&mut self, instance: &RunnerId) {
        if let Some(local) = self.locals.get_mut(instance) {
            local.absences.forget();
        }
    }

    /// Notes that an instance asked for rest.
    pub fn start_backoff(&mut self, instance: &RunnerId, rest: Millis, now: Timestamp) {
        self.pushbacks.start_backoff(instance, rest, now);
    }

    /// Notes that an instance says that it leaves; returns whether that is news.
    pub fn note_leaving(&mut self, instance: &RunnerId, now: Timestamp) -> bool {
        self.pushbacks.note_leaving(instance, now)
    }

    /// Instances that said that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = &RunnerId> {
        self.pushbacks.leaving()
    }

    /// What an instance asked for that holds now: to rest, or that it leaves.
    #[must_use]
    pub fn active_pushback(&self, instance: &RunnerId, now: Timestamp) -> Option<Pushback> {
        self.pushbacks.active_pushback(instance, now)
    }

    /// Why an instance is not to be sent a request now, by its own word.
    #[must_use]
    pub fn pushback(&self, view: &InstanceView, now: Timestamp) -> Option<Pushback> {
        let share = view.slots / self.routers.max(1);
        let share = usize::try_from(share).unwrap_or(usize::MAX);
        let asked_for = self.pushbacks.blocked_by(&view.id, share, now);
        asked_for.or_else(|| {
            let wait = self.limits.blocked_for(&view.id, now);
            wait.map(Pushback::Limited)
        })
    }

    fn is_open(&self, view: &InstanceView, gate: Gate, now: Timestamp) -> bool {
        match self.pushback(view, now) {
            None => true,
            Some(Pushback::Limited(_)) => {
                gate == Gate::LaterTurn && self.limits.may_query(&view.id)
            }
            Some(_) => false,
        }
    }

    /// Leaves an instance out for a while after it could not be reached: the
    /// longer the more often in a row.
    pub fn unreachable(&mut self, instance: &RunnerId, now: Timestamp) {
        let local = self.locals.entry(instance.clone()).or_default();
        local.failures = (local.failures + 1).min(8);
        let length = SUSPECT_FOR.0 << (local.failures - 1).min(3);
        let until = now + Millis(length.min(SUSPECT_AT_MOST.0));
        local.suspect_until = until;
        local.unreachable_until = until;
    }

    /// Whether an instance is left out.
    #[must_use]
    pub fn is_unreachable(&self, instance: &RunnerId, now: Timestamp) -> bool {
        let local = self.locals.get(instance);
        local.is_some_and(|local| local.is_unreachable(now))
    }

    /// Instances that are left out.
    #[must_use]
    pub fn all_unreachable(&self, now: Timestamp) -> Vec<RunnerId> {
        let locals = self.locals.iter();
        let left_out = locals.filter(|(_, local)| local.is_unreachable(now));
        let mut left_out: Vec<RunnerId> = left_out.map(|(id, _)| id.clone()).collect();
        left_out.sort();
        left_out
    }

    /// Avoids an instance for a while after a failure: the longer the larger a
    /// part of its requests failed lately.
    pub fn suspect(&mut self, instance: &RunnerId, now: Timestamp) {
        let local = self.locals.entry(instance.clone()).or_default();
        local.health.failed(now);
        let part = 1.0 + local.health.failed_part(now) * SUSPECT_FACTOR;
        let length = (SUSPECT_FOR.0 as f64 * part) as u64;
        local.suspect_until = now + Millis(length.min(SUSPECT_AT_MOST.0));
    }
}

/// The instance with the highest hash of its identity under `key`.
fn home_of<'a>(key: u64, usable: &[Choice<'a>]) -> Option<&'a RunnerId> {
    let ids = usable.iter().map(|option| &option.view.id);
    ids.max_by_key(|id| xxh3_64_with_seed(id.as_str().as_bytes(), key))
}
