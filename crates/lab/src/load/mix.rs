//! What a load asks for: deployments, classes, forms.

use super::record::{PlannedRequest, RequestForm};
use courseshunt_types::PriorityClass;
use rand::{Rng, RngExt};
use std::time::Duration;

/// One choice with its weight.
#[derive(Debug, Clone, PartialEq)]
pub struct Share<T> {
    /// The choice.
    pub choice: T,
    /// Its weight; all weights together need not be 1.
    pub weight: f64,
}

/// See the module. Shares of once-only requests, jobs and streams are from 0
/// to 1; a job is never once-only or a stream here, and a once-only request is
/// never a stream.
#[derive(Debug, Clone, PartialEq)]
pub struct Mix {
    /// Models, as callers name them.
    pub models: Vec<Share<String>>,
    /// Classes.
    pub classes: Vec<Share<PriorityClass>>,
    /// Share of requests that may run once only.
    pub once_only: f64,
    /// Share of deferred jobs.
    pub jobs: f64,
    /// Share of streams among the rest.
    pub streams: f64,
    /// Time from the planned time to the deadline.
    pub deadline: Duration,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Length of a prompt, in bytes, at the least.
    pub prompt_bytes: usize,
}

impl Mix {
    /// Draws one request. The prompt holds a nonce, so that no two requests
    /// have the same answer.
    pub fn draw(&self, number: usize, at: Duration, random: &mut impl Rng) -> PlannedRequest {
        let nonce: u64 = random.random();
        let mut prompt = format!("request {number} {nonce:016x}");
        while prompt.len() < self.prompt_bytes {
            prompt.push_str(" soil");
        }
        let model = pick(&self.models, random).cloned().unwrap_or_default();
        let class = pick(&self.classes, random).copied().unwrap_or_default();
        PlannedRequest {
            number,
            at,
            model,
            class,
            form: self.form(random),
            key: format!("load-{number}-{nonce:016x}"),
            prompt,
            max_tokens: self.max_tokens,
            deadline: self.deadline,
        }
    }

    fn form(&self, random: &mut impl Rng) -> RequestForm {
        let drawn: f64 = random.random();
        if drawn < self.once_only {
            return RequestForm::OnceOnly;
        }
        if drawn < self.once_only + self.jobs {
            return RequestForm::Job;
        }
        let streamed: f64 = random.random();
        match streamed < self.streams {
            true => RequestForm::Stream,
            false => RequestForm::Whole,
        }
    }
}

fn pick<'a, T>(shares: &'a [Share<T>], random: &mut impl Rng) -> Option<&'a T> {
    let total: f64 = shares.iter().map(|share| share.weight).sum();
    let mut drawn = random.random::<f64>() * total;
    for share in shares {
        if drawn < share.weight {
            return Some(&share.choice);
        }
        drawn -= share.weight;
    }
    shares.last().map(|share| &share.choice)
}
