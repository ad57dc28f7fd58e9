//! The engine of one loaded deployment: continuous batching in steps.
//!
//! A step gives each running request one token. Requests join and leave
//! between steps only. Equal steps in a row are computed at once, unless every
//! token is wanted as an event; the moments are the same either way.
//!
//! Invariant: no more requests run than there are slots, and no waiting request
//! is more urgent than a running one of a lower class at the begin of a step.

use super::prefix::{PREFIX_BLOCK_TOKENS, PrefixCache};
use super::sequence::{EngineRequest, EngineTiming, ExportedSequence, SequenceKey};
use courseshunt_types::{Millis, Timestamp};

/// Tokens of context for which the timing names a price.
const CONTEXT_UNIT_TOKENS: f64 = 1000.0;

/// See the module.
#[derive(Debug)]
pub(crate) struct Engine {
    slots: usize,
    timing: EngineTiming,
    every_token: bool,
    running: Vec<Sequence>,
    /// Ordered by class, then arrival.
    waiting: Vec<Sequence>,
    steps: Option<Steps>,
    arrivals: u64,
}

#[derive(Debug, Clone)]
struct Sequence {
    request: EngineRequest,
    arrival: u64,
    tokens_done: u32,
    /// Whether its keys and values are in the engine's memory.
    prefilled: bool,
}

/// Equal steps in a row.
#[derive(Debug, Clone, Copy)]
struct Steps {
    started: Timestamp,
    length: Millis,
    count: u32,
}

impl Steps {
    fn end(&self) -> Timestamp {
        self.started + Millis(self.length.0 * u64::from(self.count))
    }
}

/// A token that an engine generated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EngineToken {
    pub(crate) key: SequenceKey,
    pub(crate) position: u32,
    pub(crate) last: bool,
}

impl Sequence {
    fn remaining(&self) -> u32 {
        let wanted = self.request.max_tokens.max(1);
        wanted.saturating_sub(self.tokens_done)
    }
}

impl Engine {
    pub(crate) fn new(slots: u32, timing: EngineTiming, every_token: bool) -> Self {
        Self {
            slots: slots as usize,
            timing,
            every_token,
            running: Vec::new(),
            waiting: Vec::new(),
            steps: None,
            arrivals: 0,
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    pub(crate) fn contains(&self, key: &SequenceKey) -> bool {
        self.find(key).is_some()
    }

    fn find(&self, key: &SequenceKey) -> Option<&Sequence> {
        let all = self.running.iter().chain(&self.waiting);
        all.into_iter().find(|one| one.request.key == *key)
    }

    pub(crate) fn submit(
        &mut self,
        request: EngineRequest,
        now: Timestamp,
        prefixes: &mut PrefixCache,
    ) {
        self.enqueue(request, 0, false);
        self.interrupt(now, prefixes);
    }

    /// Takes in a sequence that another runner exported, with its keys and
    /// values, so that the prompt is not computed again.
    pub(crate) fn import(
        &mut self,
        sequence: ExportedSequence,
        now: Timestamp,
        prefixes: &mut PrefixCache,
    ) {
        self.enqueue(sequence.request, sequence.tokens_done, true);
        self.interrupt(now, prefixes);
    }

    fn enqueue(&mut self, request: EngineRequest, tokens_done: u32, prefilled: bool) {
        self.arrivals += 1;
        let sequence = Sequence {
            request,
            arrival: self.arrivals,
            tokens_done,
            prefilled,
        };
        self.wait(sequence);
    }

    fn wait(&mut self, sequence: Sequence) {
        let order = |one: &Sequence| (one.request.class, one.arrival);
        let wanted = order(&sequence);
        let place = self.waiting.partition_point(|one| order(one) <= wanted);
        self.waiting.insert(place, sequence);
    }

    /// Takes a request out. Returns it with its progress.
    pub(crate) fn remove(
        &mut self,
        key: &SequenceKey,
        now: Timestamp,
        prefixes: &mut PrefixCache,
    ) -> Option<ExportedSequence> {
        if self.contains(key) {
            self.interrupt(now, prefixes);
        }
        let same = |one: &Sequence| one.request.key == *key;
        let removed = if let Some(place) = self.running.iter().position(same) {
            self.running.remove(place)
        } else {
            let place = self.waiting.iter().position(same)?;
            self.waiting.remove(place)
        };
        if self.running.is_empty() {
            self.steps = None;
            self.start_steps(now, prefixes);
        }
        Some(ExportedSequence {
            request: removed.request,
            tokens_done: removed.tokens_done,
        })
    }

    /// Tokens that a request has at `now`.
    pub(crate) fn tokens_done(&self, key: &SequenceKey, now: Timestamp) -> Option<u32> {
        let sequence = self.find(key)?;
        let runs = self.running.iter().any(|one| one.request.key == *key);
        let passed = self.steps.filter(|_| runs).map_or(0, |steps| {
            let whole = now.since(steps.started).0 / steps.length.0;
            whole.min(u64::from(steps.count)) as u32
        });
        Some(sequence.tokens_done + passed)
    }

    /// Ends a row of equal steps after the step in progress, so that others
    /// may join.
    fn interrupt(&mut self, now: Timestamp, prefixes: &mut PrefixCache) {
        let Some(steps) = &mut self.steps else {
            self.start_steps(now, prefixes);
            return;
        };
        let passed = now.since(steps.started).0 / steps.length.0;
        let passed = passed.min(u64::from(steps.count - 1)) as u32;
        steps.started = steps.started + Millis(steps.length.0 * u64::from(passed));
        steps.count = 1;
        for sequence in &mut self.running {
            sequence.tokens_done += passed;
        }
    }

    fn start_steps(&mut self, now: Timestamp, prefixes: &mut PrefixCache) {
        self.preempt();
        let mut length = 0.0;
        let mut admitted = false;
        while self.running.len() < self.slots && !self.waiting.is_empty() {
            let mut sequence = self.waiting.remove(0);
            length += self.prefill_ms(&sequence, prefixes);
            sequence.prefilled = true;
            self.running.push(sequence);
            admitted = true;
        }
        let Some(shortest) = self.running.iter().map(Sequence::remaining).min() else {
            self.steps = None;
            return;
        };
        length += self.decode_ms();
        let single = admitted || self.every_token;
        self.steps = Some(Steps {
            started: now,
            length: Millis(length.ceil().max(1.0) as u64),
            count: if single { 1 } else { shortest.max(1) },
        });
    }

    /// Puts running requests back for waiting ones of a higher class. Their
    /// keys and values are dropped and computed again later.
    fn preempt(&mut self) {
        let mut urgent = 0;
        while let Some(waiting) = self.waiting.get(urgent) {
            if self.running.len() + urgent < self.slots {
                urgent += 1;
                continue;
            }
            let least = self.running.iter().enumerate();
            let least = least.max_by_key(|(_, one)| (one.request.class, one.arrival));
            let Some((place, least)) = least else { break };
            if least.request.class <= waiting.request.class {
                break;
            }
            let mut sequence = self.running.remove(place);
            sequence.prefilled = false;
            self.wait(sequence);
            urgent += 1;
        }
    }

    fn prefill_ms(&self, sequence: &Sequence, prefixes: &mut PrefixCache) -> f64 {
        if sequence.prefilled {
            return 0.0;
        }
        let request = &sequence.request;
        let hits = prefixes.admit(&request.deployment, &request.prefix_hashes);
        let cached = hits * PREFIX_BLOCK_TOKENS;
        let tokens = request.prompt_tokens.saturating_sub(cached) + sequence.tokens_done;
        self.timing.first_token_ms + f64::from(tokens) * self.timing.prompt_token_ms
    }

    fn decode_ms(&self) -> f64 {
        let others = self.running.len().saturating_sub(1) as f64;
        let prompts = self.running.iter().map(|one| one.request.prompt_tokens);
        let context: f64 = prompts.map(f64::from).sum();
        let timing = &self.timing;
        timing.token_ms
            + timing.token_per_request_ms * others
            + timing.token_per_context_ms * context / CONTEXT_UNIT_TOKENS
    }

    pub(crate) fn next_event(&self) -> Option<Timestamp> {
        self.steps.map(|steps| steps.end())
    }

    /// Moves on to `now` and returns the tokens.
    pub(crate) fn advance(
        &mut self,
        now: Timestamp,
        prefixes: &mut PrefixCache,
    ) -> Vec<EngineToken> {
        let mut tokens = Vec::new();
        while let Some(steps) = self.steps.filter(|steps| steps.end() <= now) {
            self.finish_steps(steps, &mut tokens);
            self.start_steps(steps.end(), prefixes);
        }
        tokens
    }

    fn finish_steps(&mut self, steps: Steps, tokens: &mut Vec<EngineToken>) {
        for sequence in &mut self.running {
            sequence.tokens_done += steps.count;
            let position = sequence.tokens_done - 1;
            let last = sequence.remaining() == 0;
            if last || position == 0 || self.every_token {
                tokens.push(EngineToken {
                    key: sequence.request.key.clone(),
                    position,
                    last,
                });
            }
        }
        self.running.retain(|one| one.remaining() > 0);
    }
}
