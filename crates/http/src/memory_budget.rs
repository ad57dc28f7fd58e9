//! One budget for the memory of all bodies that a process holds.
//!
//! Invariant: memory is reserved before bytes are kept in it, counted as what it occupies, and
//! returned when the last use of the bytes has ended.

use crate::budget_ledger::{ArrivalKey, BodySource, BudgetLimits, Holding, Ledger, Need};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Instant;

/// All bodies of a process together may occupy its memory divided by this.
const BODIES_DIVISOR: usize = 4;
/// Small bodies have a pool of what all bodies may occupy divided by this.
const SMALL_POOL_DIVISOR: usize = 4;

impl BudgetLimits {
    /// The limits of a process with this memory, in bytes.
    #[must_use]
    pub fn of_process(memory_bytes: usize) -> Self {
        let all = memory_bytes / BODIES_DIVISOR;
        let small_bytes = all / SMALL_POOL_DIVISOR;
        Self {
            large_bytes: all - small_bytes,
            small_bytes,
        }
    }
}

/// Why no memory was reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotReserved {
    /// The budget is used up, and no body has stopped arriving.
    Exhausted,
    /// The body itself had stopped arriving and was given up for another one.
    GivenUp,
}

/// What a budget holds at a moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Occupied in the pool of small bodies, in bytes.
    pub small_bytes: usize,
    /// Occupied in the other pool, which small bodies overflow into, in bytes.
    pub large_bytes: usize,
    /// Bodies that have not arrived whole.
    pub arriving: usize,
    /// Bodies that were given up for others since the start.
    pub given_up: u64,
}

/// The budget. Clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started: Instant,
    state: Mutex<State>,
    given_up: AtomicU64,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    arrivals: BTreeMap<ArrivalKey, Arc<Arrival>>,
}

/// A body that has not arrived whole, shared between its reader and the budget.
#[derive(Debug, Default)]
struct Arrival {
    last_ms: AtomicU64,
    is_given_up: AtomicBool,
    waker: Mutex<Option<Waker>>,
}

impl Arrival {
    fn wake(&self) {
        let waker = self.waker.lock();
        let waker = waker.unwrap_or_else(PoisonError::into_inner).take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl MemoryBudget {
    /// A budget with these limits.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        let state = State {
            ledger: Ledger::new(limits),
            arrivals: BTreeMap::new(),
        };
        let shared = Shared {
            started: Instant::now(),
            state: Mutex::new(state),
            given_up: AtomicU64::new(0),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The budget of a process with this memory, in bytes.
    #[must_use]
    pub fn of_process(memory_bytes: usize) -> Self {
        Self::new(BudgetLimits::of_process(memory_bytes))
    }

    /// A reservation of nothing, which grows.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            held: Holding::NONE,
            arrival: None,
        }
    }

    /// Gives up the client's body that has stopped arriving for the longest time, so that its
    /// connection closes. Returns whether there was one.
    #[must_use]
    pub fn give_up_stopped(&self) -> bool {
        let now_ms = self.at_ms(Instant::now());
        let given_up = self.lock().give_up_one(Need::Connection, now_ms);
        if let Some(arrival) = &given_up {
            self.wake_given_up(arrival);
        }
        given_up.is_some()
    }

    fn wake_given_up(&self, arrival: &Arrival) {
        self.shared.given_up.fetch_add(1, Ordering::Relaxed);
        arrival.wake();
    }

    /// What is held now.
    #[must_use]
    pub fn usage(&self) -> BudgetUsage {
        let state = self.lock();
        let (small_bytes, large_bytes) = state.ledger.held();
        BudgetUsage {
            small_bytes,
            large_bytes,
            arriving: state.ledger.arriving_count(),
            given_up: self.shared.given_up.load(Ordering::Relaxed),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// A time in milliseconds since the start of the budget.
    fn at_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.shared.started);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

impl State {
    /// Gives up one stopped body; returns it.
    fn give_up_one(&mut self, need: Need, now_ms: u64) -> Option<Arc<Arrival>> {
        let arrivals = &self.arrivals;
        let last_ms = |key| {
            let arrival = arrivals.get(&key);
            arrival.map_or(0, |one: &Arc<Arrival>| one.last_ms.load(Ordering::Relaxed))
        };
        let key = self.ledger.give_up_one(need, now_ms, last_ms)?;
        let arrival = self.arrivals.remove(&key)?;
        arrival.is_given_up.store(true, Ordering::Release);
        Some(arrival)
    }
}

/// Memory of one body. Dropping it returns the memory.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    held: Holding,
    arrival: Option<(ArrivalKey, Arc<Arrival>)>,
}

impl Reservation {
    /// What is reserved, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.held.bytes
    }

    /// Reserves `bytes` in all. If the budget is used up, bodies that have stopped arriving are
    /// given up, the one that stopped first before the others. Their tasks are woken and drop their
    /// buffers when they run next, before further bytes can arrive for this one.
    ///
    /// # Errors
    /// If the memory is not to be had; what was reserved stays reserved.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), NotReserved> {
        self.grow_at(bytes, Instant::now())
    }

    /// The same for a body of which bytes have arrived now.
    pub(crate) fn grow_at(&mut self, bytes: usize, now: Instant) -> Result<(), NotReserved> {
        let now_ms = self.budget.at_ms(now);
        self.record_arrival(now_ms);
        let budget = self.budget.clone();
        let mut state = budget.lock();
        // Under the lock, since another task may give this body up.
        if self.is_given_up() {
            return Err(NotReserved::GivenUp);
        }
        let mut woken = Vec::new();
        let resized = loop {
            match state.ledger.resize(self.held, bytes) {
                Ok(held) => break Ok(held),
                Err(_) => match state.give_up_one(Need::Memory(bytes), now_ms) {
                    Some(arrival) => woken.push(arrival),
                    None => break Err(NotReserved::Exhausted),
                },
            }
        };
        if let (Ok(held), Some((key, _))) = (resized, &self.arrival) {
            state.ledger.update_arrival(*key, held, now_ms);
        }
        drop(state);
        for arrival in woken {
            budget.wake_given_up(&arrival);
        }
        self.held = resized?;
        Ok(())
    }

    /// Whether the body was given up for another one. Its memory counts as returned: its bytes must
    /// be dropped.
    #[must_use]
    pub fn is_given_up(&self) -> bool {
        let arrival = self.arrival.as_ref();
        arrival.is_some_and(|(_, arrival)| arrival.is_given_up.load(Ordering::Acquire))
    }

    /// Records that bytes of an arriving body have come.
    pub(crate) fn touch(&self, now: Instant) {
        if self.arrival.is_some() {
            self.record_arrival(self.budget.at_ms(now));
        }
    }

    fn record_arrival(&self, now_ms: u64) {
        if let Some((_, arrival)) = &self.arrival {
            arrival.last_ms.store(now_ms, Ordering::Relaxed);
        }
    }

    /// Waits for the rest of the body: it may be given up from now on, and `waker` is woken then.
    pub(crate) fn wait_for_rest(&mut self, source: BodySource, waker: &Waker) {
        if self.arrival.is_none() {
            self.begin_arrival(source);
        }
        if let Some((_, arrival)) = &self.arrival {
            let registered = arrival.waker.lock();
            let mut registered = registered.unwrap_or_else(PoisonError::into_inner);
            if !registered.as_ref().is_some_and(|one| one.will_wake(waker)) {
                *registered = Some(waker.clone());
            }
        }
    }

    fn begin_arrival(&mut self, source: BodySource) {
        let now_ms = self.budget.at_ms(Instant::now());
        let arrival = Arc::new(Arrival::default());
        arrival.last_ms.store(now_ms, Ordering::Relaxed);
        let mut state = self.budget.lock();
        let key = state.ledger.begin_arrival(self.held, source, now_ms);
        state.arrivals.insert(key, arrival.clone());
        drop(state);
        self.arrival = Some((key, arrival));
    }

    /// Moves what is reserved into another reservation.
    pub(crate) fn take(&mut self) -> Self {
        let empty = self.budget.reservation();
        std::mem::replace(self, empty)
    }

    /// Ends the arrival: the body is whole and is not given up any more.
    ///
    /// # Errors
    /// If it was given up before.
    pub(crate) fn complete(&mut self) -> Result<(), NotReserved> {
        let Some((key, arrival)) = self.arrival.take() else {
            return Ok(());
        };
        let mut state = self.budget.lock();
        state.ledger.end_arrival(key);
        if state.arrivals.remove(&key).is_some() {
            return Ok(());
        }
        drop(state);
        self.arrival = Some((key, arrival));
        Err(NotReserved::GivenUp)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.arrival.is_none() && self.held.bytes == 0 {
            return;
        }
        let mut state = self.budget.lock();
        if let Some((key, _)) = self.arrival.take() {
            state.ledger.end_arrival(key);
            if state.arrivals.remove(&key).is_none() {
                // Its memory was returned when it was given up.
                return;
            }
        }
        state.ledger.release(self.held);
    }
}
