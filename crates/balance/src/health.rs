//! Health of one runner: ejection of failing or slow runners, their return by
//! probe, slow start of fresh ones.

use courseshunt_types::{Millis, Timestamp};

/// Failures in a row after which a runner is ejected.
pub const EJECTION_FAILURES: u32 = 3;
/// First time of an ejection; doubles with each that follows.
pub const FIRST_EJECTION: Millis = Millis::from_secs(1);
/// Longest time of an ejection.
pub const MAX_EJECTION: Millis = Millis::from_secs(30);
/// A runner that refused work because it drains gets none for this long; by
/// then the feed knows better.
pub const DRAINING_HOLD: Millis = Millis::from_secs(60);
/// A fresh or returned runner reaches its full share after this time.
pub const SLOW_START: Millis = Millis::from_secs(10);
/// Share of a fresh runner at the start.
const FIRST_SHARE: f64 = 0.1;
/// A runner is slow when its first bytes take this many times the median.
pub const SLOW_FACTOR: f64 = 5.0;
/// Answers after which a runner may be judged slow.
pub const SLOW_SAMPLES: u32 = 10;
/// Weight of a new time in the mean.
const TIME_WEIGHT: f64 = 0.2;

/// A probe without an outcome is given up after this time.
const PROBE_TIMEOUT: Millis = Millis::from_secs(10);
/// A runner that served this long starts again with short ejections.
const FORGIVEN_AFTER: Millis = Millis::from_secs(60);

/// Counters for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HealthCounts {
    /// Ejections.
    pub ejections: u64,
    /// Returns after a probe.
    pub returns: u64,
    /// Refusals because a runner drains.
    pub draining_refusals: u64,
}

impl HealthCounts {
    /// Adds the numbers of another balancer.
    pub fn add(&mut self, other: &Self) {
        self.ejections += other.ejections;
        self.returns += other.returns;
        self.draining_refusals += other.draining_refusals;
    }
}

/// Whether a runner gets work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Serving,
    /// Gets none until this moment, then one probe at a time.
    Ejected {
        until: Timestamp,
        /// Whether the runner has a probe. Outcomes of what was sent before
        /// the ejection tell nothing new.
        probing: bool,
    },
}

/// See the module.
#[derive(Debug, Clone)]
pub struct RunnerHealth {
    since: Timestamp,
    state: State,
    failures: u32,
    ejections: u32,
    draining_until: Option<Timestamp>,
    /// It asked to be left alone until then.
    resting_until: Timestamp,
    first_byte: Option<f64>,
    samples: u32,
}

/// What an outcome did to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// Nothing new.
    None,
    /// It gets no work for a while.
    Ejected,
    /// It serves again.
    Returned,
}

impl RunnerHealth {
    /// A runner that is first seen at `now`.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            since: now,
            state: State::Serving,
            failures: 0,
            ejections: 0,
            draining_until: None,
            resting_until: Timestamp(0),
            first_byte: None,
            samples: 0,
        }
    }

    /// Whether the runner said that it drains.
    #[must_use]
    pub fn is_draining(&self, now: Timestamp) -> bool {
        self.draining_until.is_some_and(|until| now < until)
    }

    /// Notes that the runner refused work because it drains.
    pub fn draining(&mut self, now: Timestamp) {
        self.draining_until = Some(now + DRAINING_HOLD);
    }

    /// Whether the runner asked for no work at all, since it drains or rests: neither a
    /// probe nor a last resort.
    #[must_use]
    pub fn is_left_alone(&self, now: Timestamp) -> bool {
        self.is_draining(now) || now < self.resting_until
    }

    /// Notes that the runner asked to be left alone for so long. It then begins with a small
    /// share again: what waited for it would bring it down at once.
    pub fn asked_rest(&mut self, rest: Millis, now: Timestamp) {
        self.resting_until = self.resting_until.max(now.surely_after(rest));
        self.since = self.resting_until;
    }

    /// Whether the runner is ejected.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// Whether an ejected runner may get a probe.
    #[must_use]
    pub fn wants_probe(&self, now: Timestamp) -> bool {
        matches!(self.state, State::Ejected { until, .. } if until <= now)
    }

    /// Notes that a request goes to the runner.
    pub fn sent(&mut self, now: Timestamp) {
        if self.is_ejected() {
            self.state = State::Ejected {
                until: now + PROBE_TIMEOUT,
                probing: true,
            };
        }
    }

    /// Notes that a request never got to the runner.
    pub fn unused(&mut self, now: Timestamp) {
        if self.is_probed() {
            self.state = State::Ejected {
                until: now,
                probing: false,
            };
        }
    }

    fn is_probed(&self) -> bool {
        matches!(self.state, State::Ejected { probing: true, .. })
    }

    /// Notes a whole answer and the time to its first byte.
    pub fn succeeded(&mut self, first_byte: Millis, now: Timestamp) -> HealthChange {
        self.failures = 0;
        let time = first_byte.0 as f64;
        let mean = self.first_byte.get_or_insert(time);
        *mean += (time - *mean) * TIME_WEIGHT;
        self.samples = self.samples.saturating_add(1);
        if now.since(self.since) > FORGIVEN_AFTER {
            self.ejections = 0;
        }
        if !self.is_probed() {
            return HealthChange::None;
        }
        self.state = State::Serving;
        self.since = now;
        self.samples = 0;
        self.first_byte = None;
        HealthChange::Returned
    }

    /// Notes a failure. Others may forbid the ejection.
    pub fn failed(&mut self, may_eject: bool, now: Timestamp) -> HealthChange {
        self.failures = self.failures.saturating_add(1);
        let ejects = match self.state {
            State::Serving => self.failures >= EJECTION_FAILURES && may_eject,
            State::Ejected { probing, .. } => probing,
        };
        match ejects {
            true => self.eject(now),
            false => HealthChange::None,
        }
    }

    /// Ejects the runner for a while.
    pub fn eject(&mut self, now: Timestamp) -> HealthChange {
        let doubled = FIRST_EJECTION.0 << self.ejections.min(10);
        let length = Millis(doubled).min(MAX_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        self.state = State::Ejected {
            until: now + length,
            probing: false,
        };
        HealthChange::Ejected
    }

    /// Mean time to the first byte, when there are enough answers.
    #[must_use]
    pub fn first_byte_ms(&self) -> Option<f64> {
        self.first_byte.filter(|_| self.samples >= SLOW_SAMPLES)
    }

    /// Share of its slots that a fresh runner should get, from 0.1 to 1.
    #[must_use]
    pub fn share(&self, now: Timestamp) -> f64 {
        let age = now.since(self.since).0 as f64 / SLOW_START.0 as f64;
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * age).min(1.0)
    }
}
