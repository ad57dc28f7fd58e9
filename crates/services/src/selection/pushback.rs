//! What instances have asked of this process in their answers: to be left alone for a
//! while, or for good since they leave.
//!
//! Invariants: a word is of one life of an instance, and was said to this process alone.
//! Rest ends with its time; leaving holds for the rest of that life, whatever is told of
//! the instance later. Neither a feed nor a configuration changes it.
//!
//! For as long as it rested, an instance then gets few requests at once: one, one more for
//! each good answer, and at most this process's share of its slots. Its callers waited for
//! it, here and elsewhere; all at once they would turn its rest into the next one.
//!
//! Cost: bounded by [`MAX_KEPT`].

use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::{BTreeSet, HashMap};

/// Instances whose word is kept at the most: several times those of the largest fleet that
/// leave or rest at once. The oldest word goes first.
const MAX_KEPT: usize = 16_384;
/// Requests that an instance gets at once right after its rest.
const FIRST_WINDOW: usize = 1;

/// What an instance asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pushback {
    /// To be sent nothing for so long from now on.
    Backoff(Millis),
    /// Its rest is over, and it has as many requests as it gets at once at first.
    Recovering,
    /// To be sent nothing for so long: its limit is used up.
    Limited(Millis),
    /// To be sent nothing any more.
    Leaving,
}

impl Pushback {
    /// Name for logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Backoff(_) => "rest",
            Self::Recovering => "returns",
            Self::Limited(_) => "limited",
            Self::Leaving => "leaving",
        }
    }
}

#[derive(Debug)]
struct Asked {
    noted_at: Timestamp,
    rest_until: Timestamp,
    /// Until then it gets few requests at once.
    few_until: Timestamp,
    leaving: bool,
    /// Requests that it may have at once after its rest.
    window: usize,
    /// Tickets of those that it has.
    under_way: BTreeSet<u64>,
}

impl Asked {
    fn is_over(&self, now: Timestamp) -> bool {
        !self.leaving && now >= self.few_until
    }
}

/// See the module.
#[derive(Debug, Default)]
pub struct Pushbacks {
    asked: HashMap<RunnerId, Asked>,
}

impl Pushbacks {
    /// Notes that an instance asked for rest; one that asked for longer keeps that.
    pub fn start_backoff(&mut self, instance: &RunnerId, rest: Millis, now: Timestamp) {
        let asked = self.asked(instance, now);
        asked.rest_until = asked.rest_until.max(now.surely_after(rest));
        asked.few_until = asked.few_until.max(asked.rest_until + rest);
        asked.window = FIRST_WINDOW;
    }

    /// Notes that an instance leaves; returns whether that is news.
    pub fn note_leaving(&mut self, instance: &RunnerId, now: Timestamp) -> bool {
        let asked = self.asked(instance, now);
        !std::mem::replace(&mut asked.leaving, true)
    }

    /// What an instance asked for that holds now: to rest, or that it leaves.
    #[must_use]
    pub fn active_pushback(&self, instance: &RunnerId, now: Timestamp) -> Option<Pushback> {
        let asked = self.asked.get(instance)?;
        if asked.leaving {
            return Some(Pushback::Leaving);
        }
        let rests = now < asked.rest_until;
        rests.then(|| Pushback::Backoff(asked.rest_until.since(now)))
    }

    /// Why an instance is not to be sent a request now; none: it may be. `share` is this
    /// process's part of its slots.
    #[must_use]
    pub fn blocked_by(
        &self,
        instance: &RunnerId,
        share: usize,
        now: Timestamp,
    ) -> Option<Pushback> {
        if let Some(asked_for) = self.active_pushback(instance, now) {
            return Some(asked_for);
        }
        let asked = self.asked.get(instance)?;
        let window = asked.window.min(share.max(FIRST_WINDOW));
        let has_all = !asked.is_over(now) && asked.under_way.len() >= window;
        has_all.then_some(Pushback::Recovering)
    }

    /// Instances that said that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = &RunnerId> {
        let leaving = self.asked.iter().filter(|(_, asked)| asked.leaving);
        leaving.map(|(id, _)| id)
    }

    /// Notes that a request is sent.
    pub fn begin(&mut self, instance: &RunnerId, ticket: u64, now: Timestamp) {
        let Some(asked) = self.asked.get_mut(instance) else {
            return;
        };
        match asked.is_over(now) {
            true => drop(self.asked.remove(instance)),
            false => drop(asked.under_way.insert(ticket)),
        }
    }

    /// Notes a good answer; returns whether the instance may have more than before.
    pub fn answered(&mut self, instance: &RunnerId, ticket: u64) -> bool {
        let Some(asked) = self.asked.get_mut(instance) else {
            return false;
        };
        // One that was under way before the rest tells nothing of the time after it.
        if !asked.under_way.remove(&ticket) {
            return false;
        }
        asked.window += 1;
        true
    }

    /// Notes that a request has ended, however; returns whether the instance may have
    /// another one in its place.
    pub fn ended(&mut self, instance: &RunnerId, ticket: u64) -> bool {
        let asked = self.asked.get_mut(instance);
        asked.is_some_and(|asked| asked.under_way.remove(&ticket))
    }

    fn asked(&mut self, instance: &RunnerId, now: Timestamp) -> &mut Asked {
        if !self.asked.contains_key(instance) {
            self.make_room(now);
        }
        let asked = self.asked.entry(instance.clone()).or_insert(Asked {
            noted_at: now,
            rest_until: now,
            few_until: now,
            leaving: false,
            window: FIRST_WINDOW,
            under_way: BTreeSet::new(),
        });
        asked.noted_at = now;
        asked
    }

    /// Forgets what is over, then the oldest word, once there are too many.
    fn make_room(&mut self, now: Timestamp) {
        if self.asked.len() < MAX_KEPT {
            return;
        }
        self.asked.retain(|_, asked| !asked.is_over(now));
        if self.asked.len() < MAX_KEPT {
            return;
        }
        let oldest = self.asked.iter().min_by_key(|(_, asked)| asked.noted_at);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.asked.remove(&oldest);
        }
    }
}
