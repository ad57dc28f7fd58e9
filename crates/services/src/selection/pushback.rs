//! What instances have asked of this process in their answers: to be left alone for a
//! while, or for good since they leave.
//!
//! Invariants: a word is of one life of an instance, and was said to this process alone.
//! Rest ends with its time; leaving holds for the rest of that life, whatever is told of
//! the instance later. Neither a feed nor a configuration changes it.
//!
//! Cost: bounded by [`MAX_KEPT`].

use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::HashMap;

/// Instances whose word is kept at the most: several times those of the largest fleet that
/// leave or rest at once. The oldest word goes first.
const MAX_KEPT: usize = 16_384;

/// What an instance asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pushback {
    /// To be sent nothing for so long from now on.
    Rest(Millis),
    /// To be sent nothing any more.
    Leaving,
}

impl Pushback {
    /// Name for logs and metrics.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Rest(_) => "rest",
            Self::Leaving => "leaving",
        }
    }
}

#[derive(Debug)]
struct Asked {
    noted_at: Timestamp,
    rest_until: Timestamp,
    leaving: bool,
}

/// See the module.
#[derive(Debug, Default)]
pub struct Pushbacks {
    asked: HashMap<RunnerId, Asked>,
}

impl Pushbacks {
    /// Notes that an instance asked for rest; one that asked for longer keeps that.
    pub fn asked_rest(&mut self, instance: &RunnerId, rest: Millis, now: Timestamp) {
        let asked = self.asked(instance, now);
        asked.rest_until = asked.rest_until.max(now + rest);
    }

    /// Notes that an instance leaves; returns whether that is news.
    pub fn leaves(&mut self, instance: &RunnerId, now: Timestamp) -> bool {
        let asked = self.asked(instance, now);
        !std::mem::replace(&mut asked.leaving, true)
    }

    /// What an instance asked for that holds now.
    #[must_use]
    pub fn of(&self, instance: &RunnerId, now: Timestamp) -> Option<Pushback> {
        let asked = self.asked.get(instance)?;
        if asked.leaving {
            return Some(Pushback::Leaving);
        }
        let rests = now < asked.rest_until;
        rests.then(|| Pushback::Rest(asked.rest_until.since(now)))
    }

    fn asked(&mut self, instance: &RunnerId, now: Timestamp) -> &mut Asked {
        if !self.asked.contains_key(instance) {
            self.make_room(now);
        }
        let asked = self.asked.entry(instance.clone()).or_insert(Asked {
            noted_at: now,
            rest_until: now,
            leaving: false,
        });
        asked.noted_at = now;
        asked
    }

    /// Forgets rests that are over, then the oldest word, once there are too many.
    fn make_room(&mut self, now: Timestamp) {
        if self.asked.len() < MAX_KEPT {
            return;
        }
        self.asked
            .retain(|_, asked| asked.leaving || now < asked.rest_until);
        if self.asked.len() < MAX_KEPT {
            return;
        }
        let oldest = self.asked.iter().min_by_key(|(_, asked)| asked.noted_at);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.asked.remove(&oldest);
        }
    }
}
