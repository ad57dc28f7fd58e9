//! What a router knows of limits that instances name, and what it sends without a leader.
//!
//! Invariant: an answer ends a limit only if its request was sent after the limit was last
//! heard, so that an answer that was overtaken ends nothing.

use super::{LEAST_OWN_BURST, LIFTED_KEPT, LimitReport, LimitVerdict, RequestRate, account};
use crate::token_bucket::TokenBucket;
use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::HashMap;

/// Instances whose word is kept at the most; the oldest goes first.
const MAX_KEPT: usize = 16_384;
/// Questions on one instance that are under way at once: those of so long at its rate, and
/// one at least. All that wait for the same moment would ask at once without it.
const ASKED_AT_ONCE_S: f64 = 0.1;
/// A question is answered within this time, about.
const ANSWER_TIME: Millis = Millis(10);
/// Shortest time for which a refusal is remembered.
const LEAST_WAIT: Millis = Millis(10);
/// Longest time for which a refusal without a leader is remembered: one may be back.
const LONGEST_WAIT_ALONE: Millis = Millis(500);
/// Part of an equal part that a router without a leader sends: the leader may grant all of
/// the limit to others meanwhile.
const ALONE_PART: f64 = 0.5;
/// From so many requests a second on, a router's own part is an account instead of turns:
/// one request of each router is little beside it.
const OWN_ACCOUNT_FROM: f64 = 1.0;

/// What an answer changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// Nothing.
    None,
    /// The instance names a limit, or another one than before.
    Reported(RequestRate),
    /// It names none any more.
    Removed,
}

/// What to do with a request that was chosen for an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitStep {
    /// The instance names no limit.
    Unlimited,
    /// To ask the leader, telling it this; to be ended with [`RouterLimits::finish_query`].
    Query(LimitReport),
    /// To send it when its turn comes: the leader has granted it.
    Granted {
        /// Time until its turn.
        after: Millis,
    },
    /// To send it when its turn comes: it is within this router's own part.
    LocalShare {
        /// Time until its turn.
        after: Millis,
    },
    /// Not to send it there now.
    Refuse {
        /// Time after which it may be tried again.
        fits_after: Millis,
    },
}

#[derive(Debug)]
struct Word {
    /// None once the instance names no limit any more.
    rate: Option<RequestRate>,
    named_at: Timestamp,
    /// Whether the present leader knows.
    told: bool,
    /// Nobody is asked before.
    waits_until: Timestamp,
    /// When a request would fit, as it was told last.
    fits_at: Timestamp,
    /// Questions under way.
    asking: u32,
    /// The last turn that was taken without a leader.
    turn_at: Option<Timestamp>,
    /// What is left of this router's own part.
    own: Option<TokenBucket>,
}

impl Word {
    fn new(rate: Option<RequestRate>, named_at: Timestamp, told: bool) -> Self {
        Self {
            rate,
            named_at,
            told,
            waits_until: Timestamp::default(),
            fits_at: Timestamp::default(),
            asking: 0,
            turn_at: None,
            own: None,
        }
    }

    fn is_over(&self, now: Timestamp) -> bool {
        self.rate.is_none() && self.asking == 0 && now.since(self.named_at) > LIFTED_KEPT
    }

    /// Time until a request fits into this router's own account; taken if it may wait so long.
    fn account_wait(&mut self, part: f64, patience: Millis, now: Timestamp) -> Millis {
        let full = account(part, LEAST_OWN_BURST, now);
        let own = self.own.get_or_insert(full);
        own.resize(full.rate(), full.capacity(), now);
        let wait = own.time_until(1.0, now);
        if wait <= patience {
            own.charge(1.0, now);
        }
        wait
    }

    /// Time until this router's next turn; taken if the request may wait so long.
    fn turn_wait(&mut self, rounds: &Rounds, patience: Millis, now: Timestamp) -> Millis {
        let turn = rounds.next_turn(self.turn_at, now);
        let wait = turn.since(now);
        if wait <= patience {
            self.turn_at = Some(turn);
        }
        wait
    }

    /// Whether as many questions are under way as may be at once.
    fn asks_enough(&self) -> bool {
        let rate = self.rate.map_or(f64::MAX, RequestRate::granted_per_second);
        f64::from(self.asking) >= (rate * ASKED_AT_ONCE_S).max(1.0)
    }

    /// Takes over another limit than before. What was taken of this router's own part stays
    /// taken: a number may change with each answer.
    fn change(&mut self, rate: Option<RequestRate>) {
        self.rate = rate;
        self.waits_until = Timestamp::default();
    }
}

/// Time without a leader: rounds, and in each a turn for each router. One request may be sent
/// in a router's turn; what is not used is lost, so that routers that were idle don't all send
/// at once.
struct Rounds {
    round_ms: f64,
    turn_ms: f64,
    /// Where this router's turns begin, as a part of a round.
    phase: f64,
}

impl Rounds {
    fn of(rate: RequestRate, routers: u32, phase: f64) -> Self {
        let turn_ms = 1_000.0 / (rate.granted_per_second() * ALONE_PART);
        Self {
            round_ms: turn_ms * f64::from(routers),
            turn_ms,
            phase,
        }
    }

    /// Number of the round in which a moment lies.
    fn round_of(&self, at: Timestamp) -> f64 {
        (at.0 as f64 / self.round_ms + self.phase).floor()
    }

    fn begin_of(&self, round: f64) -> f64 {
        (round - self.phase) * self.round_ms
    }

    /// The next moment in a turn that is not taken.
    fn next_turn(&self, taken: Option<Timestamp>, now: Timestamp) -> Timestamp {
        let present = self.round_of(now);
        let taken = taken.map(|at| self.round_of(at));
        let in_turn = (now.0 as f64) < self.begin_of(present) + self.turn_ms;
        if in_turn && taken.is_none_or(|taken| taken < present) {
            return now;
        }
        let next = taken.map_or(present, |taken| taken.max(present)) + 1.0;
        Timestamp(self.begin_of(next).ceil() as i64)
    }
}

/// See the module.
#[derive(Debug)]
pub struct RouterLimits {
    words: HashMap<RunnerId, Word>,
    /// Where this router's turns lie among those of all routers, from 0 to 1.
    phase: f64,
    routers: u32,
}

impl RouterLimits {
    /// No limit is known. `phase`, from 0 to 1, is this router's own.
    #[must_use]
    pub fn new(phase: f64) -> Self {
        Self {
            words: HashMap::new(),
            phase,
            routers: 1,
        }
    }

    /// Takes over how many routers there are, this one included.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Takes note of what an answer says, or does not say, to a request that was sent at
    /// `asked_at`.
    pub fn observe(
        &mut self,
        instance: &RunnerId,
        rate: Option<RequestRate>,
        asked_at: Timestamp,
        now: Timestamp,
    ) -> LimitChange {
        let known = self.words.get_mut(instance);
        match (known, rate) {
            (None, None) => LimitChange::None,
            (None, Some(rate)) => {
                self.keep(instance, Word::new(Some(rate), now, false), now);
                LimitChange::Reported(rate)
            }
            (Some(word), Some(rate)) => {
                word.named_at = now;
                if word.rate == Some(rate) {
                    return LimitChange::None;
                }
                word.change(Some(rate));
                word.told = false;
                LimitChange::Reported(rate)
            }
            (Some(word), None) => {
                if word.rate.is_none() || asked_at < word.named_at {
                    return LimitChange::None;
                }
                word.change(None);
                word.named_at = now;
                word.told = false;
                LimitChange::Removed
            }
        }
    }

    /// Takes over what the leader tells that others heard later than this router; returns
    /// the instances of which that is news.
    pub fn apply_leader_reports(
        &mut self,
        words: &[LimitReport],
        now: Timestamp,
    ) -> Vec<LimitReport> {
        let mut news = Vec::new();
        for told in words {
            let named_at = now - told.age;
            match self.words.get_mut(&told.instance) {
                Some(word) if named_at <= word.named_at => continue,
                Some(word) => {
                    word.named_at = named_at;
                    word.told = true;
                    if word.rate == told.rate {
                        continue;
                    }
                    word.change(told.rate);
                }
                None if told.rate.is_none() => continue,
                None => self.keep(&told.instance, Word::new(told.rate, named_at, true), now),
            }
            news.push(told.clone());
        }
        news
    }

    /// What the leader has to be told.
    pub fn take_unreported(&mut self, now: Timestamp) -> Vec<LimitReport> {
        let untold = self.words.iter_mut().filter(|(_, word)| !word.told);
        let untold = untold.map(|(instance, word)| {
            word.told = true;
            word_of(instance, word, now)
        });
        untold.collect()
    }

    /// Another leader has to be told all, and may be asked at once.
    pub fn mark_all_unreported(&mut self) {
        for word in self.words.values_mut() {
            word.told = false;
            word.waits_until = Timestamp::default();
        }
    }

    /// The limit that an instance names.
    #[must_use]
    pub fn limit_of(&self, instance: &RunnerId) -> Option<RequestRate> {
        self.words.get(instance)?.rate
    }

    /// When an instance that is not to be tried now is expected to take a request; none: it may
    /// be tried.
    #[must_use]
    pub fn blocked_for(&self, instance: &RunnerId, now: Timestamp) -> Option<Millis> {
        let word = self.words.get(instance)?;
        word.rate?;
        if now < word.waits_until {
            return Some(word.fits_at.since(now).max(LEAST_WAIT));
        }
        word.asks_enough().then_some(ANSWER_TIME)
    }

    /// Whether a request may ask for a turn that comes later.
    #[must_use]
    pub fn may_query(&self, instance: &RunnerId) -> bool {
        let word = self.words.get(instance);
        word.is_none_or(|word| !word.asks_enough())
    }

    /// What to do with a request for an instance, which may wait so long for its turn. `led`
    /// tells whether a leader can be asked.
    pub fn step(
        &mut self,
        instance: &RunnerId,
        patience: Millis,
        led: bool,
        now: Timestamp,
    ) -> LimitStep {
        if !led {
            return self.step_without_leader(instance, patience, now);
        }
        match self.words.get_mut(instance) {
            Some(word) if word.rate.is_some() => {
                word.asking += 1;
                LimitStep::Query(word_of(instance, word, now))
            }
            Some(_) | None => LimitStep::Unlimited,
        }
    }

    /// Notes the end of a question, with the leader's answer if it came.
    pub fn finish_query(
        &mut self,
        instance: &RunnerId,
        verdict: Option<LimitVerdict>,
        now: Timestamp,
    ) {
        let Some(word) = self.words.get_mut(instance) else {
            return;
        };
        word.asking = word.asking.saturating_sub(1);
        if let Some(LimitVerdict::Refused { fits_after }) = verdict {
            word.waits_until = now.surely_after(fits_after.max(LEAST_WAIT));
            word.fits_at = word.waits_until;
        }
    }

    /// The same as [`Self::step`] without a leader.
    pub fn step_without_leader(
        &mut self,
        instance: &RunnerId,
        patience: Millis,
        now: Timestamp,
    ) -> LimitStep {
        let (routers, phase) = (self.routers, self.phase);
        let limited = self.words.get_mut(instance);
        let limited = limited.and_then(|word| Some((word.rate?, word)));
        let Some((rate, word)) = limited else {
            return LimitStep::Unlimited;
        };
        let part = rate.granted_per_second() * ALONE_PART / f64::from(routers);
        let wait = match part >= OWN_ACCOUNT_FROM {
            true => word.account_wait(part, patience, now),
            false => word.turn_wait(&Rounds::of(rate, routers, phase), patience, now),
        };
        if wait <= patience {
            return LimitStep::LocalShare { after: wait };
        }
        word.waits_until = now + wait.clamp(LEAST_WAIT, LONGEST_WAIT_ALONE);
        word.fits_at = now + wait;
        LimitStep::Refuse { fits_after: wait }
    }

    /// Forgets instances that are gone.
    pub fn retain(&mut self, exists: impl Fn(&RunnerId) -> bool) {
        self.words.retain(|instance, _| exists(instance));
    }

    fn keep(&mut self, instance: &RunnerId, word: Word, now: Timestamp) {
        if self.words.len() >= MAX_KEPT {
            self.words.retain(|_, word| !word.is_over(now));
        }
        if self.words.len() >= MAX_KEPT {
            let oldest = self.words.iter().min_by_key(|(_, word)| word.named_at);
            if let Some(oldest) = oldest.map(|(instance, _)| instance.clone()) {
                self.words.remove(&oldest);
            }
        }
        self.words.insert(instance.clone(), word);
    }
}

fn word_of(instance: &RunnerId, word: &Word, now: Timestamp) -> LimitReport {
    LimitReport {
        instance: instance.clone(),
        rate: word.rate,
        age: now.since(word.named_at),
    }
}
