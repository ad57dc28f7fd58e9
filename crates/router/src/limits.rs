//! Limit on the total memory for callers' request bodies.
//!
//! Invariant: a body is read only after its length has been reserved, and the
//! sum of all reservations never exceeds the limit.

use courseshunt_types::{Millis, Refusal, RefusalReason};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Retry delay sent to a caller when the limit is reached.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// Limit on reserved bytes; clones share the same counter.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

/// A reservation of bytes, released when dropped.
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

    /// Number of bytes currently reserved.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Reserves `bytes` until the reservation is dropped.
    ///
    /// # Errors
    /// [`RefusalReason::QueueFull`] when the reservation would exceed the limit.
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
    /// Releases the part of the reservation that exceeds `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.used.fetch_sub(excess, Ordering::Relaxed);
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
