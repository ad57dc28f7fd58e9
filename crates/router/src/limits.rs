//! A bound on the memory that callers' bodies take together.
//!
//! Invariant: a body is read only after its length was reserved; the
//! reservations never exceed the limit.

use courseshunt_types::{Millis, Refusal, RefusalReason};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// When a caller should come back after the memory was full.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// See the module; cheap to clone.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

/// Reserved bytes, given back when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    bytes: usize,
    used: Arc<AtomicUsize>,
}

impl BodyBudget {
    /// A budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: Arc::default(),
        }
    }

    /// Bytes that are reserved.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Reserves `bytes`.
    ///
    /// # Errors
    /// When the bodies of other requests take too much.
    pub fn reserve(&self, bytes: usize) -> Result<BodyReservation, Refusal> {
        let fits = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        let reserved = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits);
        if reserved.is_err() {
            let message = "the bodies of other requests take all memory for bodies";
            let refusal = Refusal::not_run(RefusalReason::QueueFull, message);
            return Err(refusal.with_retry_after(RETRY_AFTER));
        }
        Ok(BodyReservation {
            bytes,
            used: self.used.clone(),
        })
    }
}

impl BodyReservation {
    /// Gives back what is over `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let over = self.bytes.saturating_sub(bytes);
        self.bytes -= over;
        self.used.fetch_sub(over, Ordering::Relaxed);
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
