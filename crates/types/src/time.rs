//! Time as plain numbers, so that pure cores run under virtual and real time.

use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A length of time in milliseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// A length of whole seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1000)
    }

    /// The length in seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl From<Millis> for std::time::Duration {
    fn from(length: Millis) -> Self {
        Self::from_millis(length.0)
    }
}

/// A moment on a monotonic clock, in milliseconds since the process (or the
/// simulation) started; below zero before that. Peers tell ages of what they saw before
/// this process started, and such moments must stay apart: taken for the start itself,
/// they would all be one. Moments of different processes are never compared.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub i64);

impl Timestamp {
    /// The moment so many milliseconds after the start.
    #[must_use]
    pub const fn at(milliseconds: u64) -> Self {
        Self(0_i64.saturating_add_unsigned(milliseconds))
    }

    /// A moment that never comes.
    pub const NEVER: Timestamp = Timestamp(i64::MAX);

    /// Time passed since `earlier`; zero when `earlier` lies ahead.
    #[must_use]
    pub fn since(self, earlier: Timestamp) -> Millis {
        let passed = self.0.saturating_sub(earlier.0);
        Millis(u64::try_from(passed).unwrap_or_default())
    }

    /// Number of the stretch of this length that it falls into; the first one after the start
    /// is zero. A length of zero is taken for a millisecond.
    #[must_use]
    pub fn window_index(self, length: Millis) -> i64 {
        self.0
            .div_euclid(i64::try_from(length.0.max(1)).unwrap_or(i64::MAX))
    }

    /// When the stretch of this length began that it falls into.
    #[must_use]
    pub fn window_start(self, length: Millis) -> Timestamp {
        let length = i64::try_from(length.0.max(1)).unwrap_or(i64::MAX);
        Timestamp(self.0 - self.0.rem_euclid(length))
    }

    /// The first moment at which `length` has surely passed since this one. A clock tells the
    /// millisecond that has begun: counted from it, a time that a peer asked for would end up
    /// to one too early.
    #[must_use]
    pub fn surely_after(self, length: Millis) -> Timestamp {
        self + length + Millis(1)
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Add<Millis> for Timestamp {
    type Output = Timestamp;

    fn add(self, length: Millis) -> Timestamp {
        Timestamp(self.0.saturating_add_unsigned(length.0))
    }
}

impl Sub<Millis> for Timestamp {
    type Output = Timestamp;

    fn sub(self, length: Millis) -> Timestamp {
        Timestamp(self.0.saturating_sub_unsigned(length.0))
    }
}

/// Wall-clock milliseconds since the Unix epoch. Only the leader reads the wall
/// clock; it writes the value into the log, and replicas use the written one.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Reads the wall clock.
    #[must_use]
    pub fn now() -> Self {
        let elapsed = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        Self(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

impl UnixMillis {
    /// Time passed since `earlier`; zero when `earlier` lies ahead.
    #[must_use]
    pub fn since(self, earlier: UnixMillis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for UnixMillis {
    type Output = UnixMillis;

    fn add(self, length: Millis) -> UnixMillis {
        UnixMillis(self.0.saturating_add(length.0))
    }
}

/// The clock that goes on while the machine is suspended. The standard library's steady clock
/// stands still then, so that whatever is valid for some time would be taken for younger
/// than it is by a process that wakes.
#[cfg(any(target_os = "linux", target_os = "android"))]
const COUNTS_SLEEP: nix::time::ClockId = nix::time::ClockId::CLOCK_BOOTTIME;
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const COUNTS_SLEEP: nix::time::ClockId = nix::time::ClockId::CLOCK_MONOTONIC;

/// Time since the machine's start.
fn since_machine_start() -> Duration {
    let read = nix::time::clock_gettime(COUNTS_SLEEP);
    // Every kernel that this runs on has the clock.
    read.map(Duration::from).unwrap_or_default()
}

/// Reads a process's monotonic clock as [`Timestamp`]s. It counts time in which the machine
/// is suspended: everything that expires is judged by it.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    origin: Duration,
    /// By how much a test lets it run ahead, in milliseconds.
    ahead: Option<&'static AtomicU64>,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: since_machine_start(),
            ahead: None,
        }
    }

    /// A clock that a test lets go on at once, as over a sleep: by what it adds to the number,
    /// in milliseconds. The number is never given back to the system.
    #[must_use]
    pub fn skippable() -> (Self, &'static AtomicU64) {
        let ahead: &'static AtomicU64 = Box::leak(Box::default());
        let clock = Self {
            ahead: Some(ahead),
            ..Self::start()
        };
        (clock, ahead)
    }

    /// The present moment.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let elapsed = since_machine_start().saturating_sub(self.origin);
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let ahead = self.ahead.map_or(0, |ahead| ahead.load(Ordering::Relaxed));
        Timestamp::default() + Millis(elapsed) + Millis(ahead)
    }
}

/// Finds out that the machine was suspended, by two clocks of which one stood still.
#[derive(Debug)]
pub struct SuspendDetector {
    steady: Instant,
    began: Timestamp,
    /// How far the counting clock was ahead of the steady one.
    ahead: Millis,
}

/// Shorter differences are jitter between two readings.
const SHORTEST_SLEEP: Millis = Millis(50);

impl SuspendDetector {
    /// Begins to watch.
    #[must_use]
    pub fn start(clock: &MonotonicClock) -> Self {
        Self {
            steady: Instant::now(),
            began: clock.now(),
            ahead: Millis(0),
        }
    }

    /// How long the machine has been suspended since the last look, if it was.
    pub fn check(&mut self, clock: &MonotonicClock) -> Option<Millis> {
        let counted = clock.now().since(self.began);
        let steady = u64::try_from(self.steady.elapsed().as_millis()).unwrap_or(u64::MAX);
        let ahead = Millis(counted.0.saturating_sub(steady));
        let slept = Millis(ahead.0.saturating_sub(self.ahead.0));
        if slept < SHORTEST_SLEEP {
            return None;
        }
        self.ahead = ahead;
        Some(slept)
    }
}
