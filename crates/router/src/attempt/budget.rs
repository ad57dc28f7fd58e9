//! The retry budget: a share of the first attempts, so that retries never
//! multiply an overload.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

/// Tokens that each first attempt adds.
const DEPOSIT: f64 = 0.2;
/// Tokens that are there at the start and that quiet times refill to.
const RESERVE: f64 = 10.0;
/// Tokens at the most.
const CAPACITY: f64 = 100.0;

/// See the module.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: Mutex<f64>,
    limited: AtomicBool,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: Mutex::new(RESERVE),
            limited: AtomicBool::new(true),
        }
    }
}

impl RetryBudget {
    /// Lets every retry pass, or no more than the budget; for comparisons.
    pub fn set_limited(&self, limited: bool) {
        self.limited.store(limited, Ordering::Relaxed);
    }

    fn with<T>(&self, change: impl FnOnce(&mut f64) -> T) -> T {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut tokens)
    }

    /// Notes a first attempt.
    pub fn deposit(&self) {
        self.with(|tokens| *tokens = (*tokens + DEPOSIT).min(CAPACITY));
    }

    /// Takes a token for a retry; false when the budget is used up.
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

    /// Tokens that are left.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.with(|tokens| *tokens)
    }
}
