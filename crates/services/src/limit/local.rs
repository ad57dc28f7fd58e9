//! What a router knows of limits that instances name.
//!
//! Invariant: an answer ends a limit only if its request was sent after the limit was last
//! heard, so that an answer that was overtaken ends nothing.

use super::RequestRate;
use courseshunt_types::{RunnerId, Timestamp};
use std::collections::HashMap;

/// Instances whose word is kept at the most; the oldest goes first.
const MAX_KEPT: usize = 16_384;

/// What an answer changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitNews {
    /// Nothing.
    None,
    /// The instance names a limit, or another one than before.
    Named(RequestRate),
    /// It names none any more.
    Lifted,
}

#[derive(Debug)]
struct Word {
    rate: RequestRate,
    named_at: Timestamp,
}

/// See the module.
#[derive(Debug, Default)]
pub struct RouterLimits {
    words: HashMap<RunnerId, Word>,
}

impl RouterLimits {
    /// Takes note of what an answer says, or does not say, to a request that was sent at
    /// `asked_at`.
    pub fn heard(
        &mut self,
        instance: &RunnerId,
        rate: Option<RequestRate>,
        asked_at: Timestamp,
        now: Timestamp,
    ) -> LimitNews {
        let Some(rate) = rate else {
            let known = self.words.get(instance);
            return match known.is_some_and(|word| asked_at >= word.named_at) {
                true => {
                    self.words.remove(instance);
                    LimitNews::Lifted
                }
                false => LimitNews::None,
            };
        };
        self.make_room(instance);
        let word = Word {
            rate,
            named_at: now,
        };
        match self.words.insert(instance.clone(), word) {
            Some(before) if before.rate == rate => LimitNews::None,
            Some(_) | None => LimitNews::Named(rate),
        }
    }

    /// The limit that an instance names.
    #[must_use]
    pub fn limit_of(&self, instance: &RunnerId) -> Option<RequestRate> {
        self.words.get(instance).map(|word| word.rate)
    }

    /// Forgets instances that are gone.
    pub fn retain(&mut self, exists: impl Fn(&RunnerId) -> bool) {
        self.words.retain(|instance, _| exists(instance));
    }

    fn make_room(&mut self, instance: &RunnerId) {
        if self.words.len() < MAX_KEPT || self.words.contains_key(instance) {
            return;
        }
        let oldest = self.words.iter().min_by_key(|(_, word)| word.named_at);
        if let Some(oldest) = oldest.map(|(instance, _)| instance.clone()) {
            self.words.remove(&oldest);
        }
    }
}
