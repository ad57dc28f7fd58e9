//! The retry budget: retries are limited to a share of the first attempts, so
//! that they do not amplify an overload.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

/// Tokens that each first attempt adds; one token pays for one retry.
const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.2;
/// Tokens in a new budget.
const INITIAL_TOKENS: f64 = 10.0;
/// Maximum number of tokens.
const MAX_TOKENS: f64 = 100.0;

/// Token bucket for retries.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: Mutex<f64>,
    limited: AtomicBool,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: Mutex::new(INITIAL_TOKENS),
            limited: AtomicBool::new(true),
        }
    }
}

impl RetryBudget {
    /// Turns the limit on or off; without it every retry is allowed. For
    /// benchmarks.
    pub fn set_limited(&self, limited: bool) {
        self.limited.store(limited, Ordering::Relaxed);
    }

    fn with<T>(&self, change: impl FnOnce(&mut f64) -> T) -> T {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut tokens)
    }

    /// Adds the tokens for a first attempt.
    pub fn deposit(&self) {
        self.with(|tokens| *tokens = (*tokens + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS));
    }

    /// Takes a token for a retry; `false` if the budget is exhausted.
    pub fn withdraw(&self) -> bool {
        if !self.limited.load(Ordering::Relaxed) {
            return true;
        }
        self.with(|tokens| {
            let enough = *tokens >= 1.0;
            if enough {
                *tokens -= 1.0;
            }
            enough
        })
    }

    /// Number of tokens left.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.with(|tokens| *tokens)
    }
}
