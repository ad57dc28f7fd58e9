//! Time as plain numbers, so that code without I/O runs under virtual time as well as real time.
//!
//! Invariant: arithmetic saturates; it never wraps around.

use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A duration in milliseconds.
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
    /// A duration of whole seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1000)
    }

    /// The duration in seconds.
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

/// A point on a monotonic clock, in milliseconds since the process (or the
/// simulation) started; negative before that. Peers report ages of events that they observed before
/// this process started. Clamping these to the start would make them all equal, so they keep
/// distinct negative values. Timestamps of different processes are never compared.
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
    /// The timestamp `milliseconds` after the start.
    #[must_use]
    pub const fn at(milliseconds: u64) -> Self {
        Self(0_i64.saturating_add_unsigned(milliseconds))
    }

    /// A timestamp that is never reached.
    pub const NEVER: Timestamp = Timestamp(i64::MAX);

    /// Time passed since `earlier`; zero when `earlier` is in the future.
    #[must_use]
    pub fn since(self, earlier: Timestamp) -> Millis {
        let passed = self.0.saturating_sub(earlier.0);
        Millis(u64::try_from(passed).unwrap_or_default())
    }

    /// Index of the window of this length that contains the timestamp; the first window after the
    /// start has index 0, the one before it -1. A length of zero counts as one millisecond.
    #[must_use]
    pub fn window_index(self, length: Millis) -> i64 {
        self.0
            .div_euclid(i64::try_from(length.0.max(1)).unwrap_or(i64::MAX))
    }

    /// Start of the window of this length that contains the timestamp.
    #[must_use]
    pub fn window_start(self, length: Millis) -> Timestamp {
        let length = i64::try_from(length.0.max(1)).unwrap_or(i64::MAX);
        Timestamp(self.0 - self.0.rem_euclid(length))
    }

    /// The first timestamp at which at least `length` has passed since this one. Clock readings are
    /// rounded down to whole milliseconds, so without the extra millisecond a delay that a peer
    /// requested could end up to one millisecond early.
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

/// Wall-clock time in milliseconds since the Unix epoch. Only the leader reads the wall
/// clock; it writes the value into the log, and replicas use the value from the log.
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
    /// Time passed since `earlier`; zero when `earlier` is in the future.
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

/// The clock that advances while the machine is suspended. The monotonic clock of the standard
/// library stops during a suspend, so that a resumed process would underestimate the age of
/// everything that expires.
#[cfg(any(target_os = "linux", target_os = "android"))]
const SUSPEND_AWARE_CLOCK: nix::time::ClockId = nix::time::ClockId::CLOCK_BOOTTIME;
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const SUSPEND_AWARE_CLOCK: nix::time::ClockId = nix::time::ClockId::CLOCK_MONOTONIC;

/// Time since the machine booted.
fn since_boot() -> Duration {
    let reading = nix::time::clock_gettime(SUSPEND_AWARE_CLOCK);
    // The read does not fail: every supported kernel has this clock.
    reading.map(Duration::from).unwrap_or_default()
}

/// The monotonic clock of a process, read as [`Timestamp`]s. It includes the time during which the
/// machine was suspended, since all expiry times are compared with it.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    origin: Duration,
    /// Time that a test has added to the clock, in milliseconds.
    added_ms: Option<&'static AtomicU64>,
}

impl MonotonicClock {
    /// Starts a clock at timestamp 0.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
            added_ms: None,
        }
    }

    /// A clock that a test can move forward, as a suspend of the machine does, by increasing the
    /// returned number of milliseconds. The number is leaked, so that it lives as long as the
    /// process.
    #[must_use]
    pub fn skippable() -> (Self, &'static AtomicU64) {
        let added_ms: &'static AtomicU64 = Box::leak(Box::default());
        let clock = Self {
            added_ms: Some(added_ms),
            ..Self::start()
        };
        (clock, added_ms)
    }

    /// The current timestamp.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let elapsed = since_boot().saturating_sub(self.origin);
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let added_ms = self
            .added_ms
            .map_or(0, |added| added.load(Ordering::Relaxed));
        Timestamp::default() + Millis(elapsed) + Millis(added_ms)
    }
}

/// Detects that the machine was suspended, by comparing a clock that advances during a suspend with
/// one that does not.
#[derive(Debug)]
pub struct SuspendDetector {
    monotonic_start: Instant,
    start: Timestamp,
    /// Total suspended time that has been reported.
    reported: Millis,
}

/// Shorter differences are jitter between the readings of the two clocks.
const MIN_SUSPEND: Millis = Millis(50);

impl SuspendDetector {
    /// Starts the detection; suspends before this call are not reported.
    #[must_use]
    pub fn start(clock: &MonotonicClock) -> Self {
        Self {
            monotonic_start: Instant::now(),
            start: clock.now(),
            reported: Millis(0),
        }
    }

    /// Time for which the machine was suspended since the last reported suspend, if it was.
    pub fn check(&mut self, clock: &MonotonicClock) -> Option<Millis> {
        let elapsed = clock.now().since(self.start);
        let running = u64::try_from(self.monotonic_start.elapsed().as_millis()).unwrap_or(u64::MAX);
        let total = Millis(elapsed.0.saturating_sub(running));
        let suspended = Millis(total.0.saturating_sub(self.reported.0));
        if suspended < MIN_SUSPEND {
            return None;
        }
        self.reported = total;
        Some(suspended)
    }
}
