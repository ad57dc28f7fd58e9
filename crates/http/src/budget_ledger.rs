//! Which memory the bodies of a process may occupy, and which body is given up for another one.
//!
//! Invariant: the bodies together occupy at most both pools, or, where a single body is longer than
//! the pool of the large ones, this body and the pool of the small ones. Nothing here does I/O;
//! times are milliseconds since the start of the budget.

use std::collections::BTreeMap;

/// A body that occupies at most this is small: it has a pool of its own, so that small bodies fit
/// while large ones occupy all that is theirs. In bytes.
pub const SMALL_BODY_BYTES: usize = 16 * 1024;
/// A body without a new byte for longer than this has stopped arriving: it may be given up for
/// another one. In milliseconds.
pub const STOPPED_AFTER_MS: u64 = 1_000;

/// Sizes of the pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// What large bodies occupy together, in bytes. Small ones overflow into it.
    pub large_bytes: usize,
    /// What small bodies occupy together in a pool that large ones never use, in bytes.
    pub small_bytes: usize,
}

/// The pool that a body is counted in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pool {
    Small,
    Large,
}

/// What one body occupies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Holding {
    pub(crate) pool: Pool,
    pub(crate) bytes: usize,
}

impl Holding {
    pub(crate) const NONE: Self = Self {
        pool: Pool::Small,
        bytes: 0,
    };
}

/// Why a body can't occupy more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PoolsFull;

/// What a body is given up for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Need {
    /// Memory of this many bytes in all for the buffer of one body.
    Memory(usize),
    /// Its connection.
    Connection,
}

impl Need {
    fn is_helped_by(self, one: &Arriving) -> bool {
        let holding = one.holding;
        match self {
            Self::Memory(bytes) if bytes <= SMALL_BODY_BYTES => holding.bytes > 0,
            Self::Memory(_) => holding.bytes > 0 && holding.pool == Pool::Large,
            Self::Connection => one.source == BodySource::Client,
        }
    }
}

/// Who sends a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodySource {
    /// A client, at a controller any caller: to give its body up closes its connection.
    Client,
    /// An instance, or another process of the cluster.
    Peer,
}

/// A body that has not arrived whole.
#[derive(Debug)]
struct Arriving {
    holding: Holding,
    source: BodySource,
    /// When its last byte arrived.
    last_arrival_ms: u64,
}

/// Key of an arriving body.
pub(crate) type ArrivalKey = u64;

/// What all bodies of a process occupy.
#[derive(Debug)]
pub(crate) struct Ledger {
    limits: BudgetLimits,
    small_bytes: usize,
    large_bytes: usize,
    arriving: BTreeMap<ArrivalKey, Arriving>,
    next_key: ArrivalKey,
}

impl Ledger {
    pub(crate) fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            small_bytes: 0,
            large_bytes: 0,
            arriving: BTreeMap::new(),
            next_key: 0,
        }
    }

    /// What is occupied, in bytes: in the pool of small bodies, in the other one.
    pub(crate) fn held(&self) -> (usize, usize) {
        (self.small_bytes, self.large_bytes)
    }

    pub(crate) fn arriving_count(&self) -> usize {
        self.arriving.len()
    }

    /// Has a body that occupies `held` occupy `bytes` instead.
    pub(crate) fn resize(&mut self, held: Holding, bytes: usize) -> Result<Holding, PoolsFull> {
        let (mut small, mut large) = self.held();
        match held.pool {
            Pool::Small => small -= held.bytes,
            Pool::Large => large -= held.bytes,
        }
        let pool = choose_pool(&self.limits, small, large, bytes).ok_or(PoolsFull)?;
        match pool {
            Pool::Small => small += bytes,
            Pool::Large => large += bytes,
        }
        (self.small_bytes, self.large_bytes) = (small, large);
        Ok(Holding { pool, bytes })
    }

    /// Returns what a body occupied.
    pub(crate) fn release(&mut self, held: Holding) {
        match held.pool {
            Pool::Small => self.small_bytes -= held.bytes,
            Pool::Large => self.large_bytes -= held.bytes,
        }
    }

    /// Counts a body as arriving from now on.
    pub(crate) fn begin_arrival(
        &mut self,
        holding: Holding,
        source: BodySource,
        now_ms: u64,
    ) -> ArrivalKey {
        let key = self.next_key;
        self.next_key += 1;
        let last_arrival_ms = now_ms;
        let arriving = Arriving {
            holding,
            source,
            last_arrival_ms,
        };
        self.arriving.insert(key, arriving);
        key
    }

    /// Records that an arriving body occupies this, and that bytes of it have arrived.
    pub(crate) fn update_arrival(&mut self, key: ArrivalKey, holding: Holding, now_ms: u64) {
        if let Some(arriving) = self.arriving.get_mut(&key) {
            arriving.holding = holding;
            arriving.last_arrival_ms = now_ms;
        }
    }

    /// Ends the arrival of a body; what it occupies stays counted.
    pub(crate) fn end_arrival(&mut self, key: ArrivalKey) {
        self.arriving.remove(&key);
    }

    /// Gives up the body that has stopped arriving for the longest time of those that help,
    /// releases what it occupies, and returns its key. `last_arrival_ms` is the latest arrival that is
    /// known of a body, which may be later than what was recorded here.
    pub(crate) fn give_up_one(
        &mut self,
        need: Need,
        now_ms: u64,
        last_arrival_ms: impl Fn(ArrivalKey) -> u64,
    ) -> Option<ArrivalKey> {
        let candidates = self.arriving.iter();
        let candidates = candidates.filter(|(_, one)| need.is_helped_by(one));
        let stopped = candidates
            .map(|(key, one)| (one.last_arrival_ms.max(last_arrival_ms(*key)), *key))
            .min()?;
        let (since_ms, key) = stopped;
        if now_ms.saturating_sub(since_ms) <= STOPPED_AFTER_MS {
            return None;
        }
        let given_up = self.arriving.remove(&key)?;
        self.release(given_up.holding);
        Some(key)
    }
}

/// The pool for a body of `bytes` beside others that occupy `small` and `large` bytes. A body that
/// is the only large one always fits.
fn choose_pool(limits: &BudgetLimits, small: usize, large: usize, bytes: usize) -> Option<Pool> {
    if bytes <= SMALL_BODY_BYTES && small + bytes <= limits.small_bytes {
        return Some(Pool::Small);
    }
    let fits = large == 0 || large + bytes <= limits.large_bytes;
    fits.then_some(Pool::Large)
}

/// Capacity of a buffer that must hold `needed_bytes`: it doubles, and never exceeds the announced
/// length of the body, or the longest that is allowed. In bytes.
pub(crate) fn next_capacity(
    capacity: usize,
    needed_bytes: usize,
    announced_bytes: Option<usize>,
    max_bytes: usize,
) -> usize {
    if needed_bytes <= capacity {
        return capacity;
    }
    let first = announced_bytes.map_or(MIN_BUFFER_BYTES, |length| length.min(SMALL_BODY_BYTES));
    let ceiling = announced_bytes.unwrap_or(max_bytes);
    let grown = needed_bytes.max(capacity.saturating_mul(2)).max(first);
    grown.min(ceiling).max(needed_bytes)
}

/// First buffer of a body whose length is not announced, in bytes.
const MIN_BUFFER_BYTES: usize = 512;
