//! When one deployment is called: hazard of the next call by the time since the
//! last one, and its mean rate. Pure.
//!
//! Only urgent calls (critical and interactive) count: batch work waits for its
//! window anyway and says nothing about cold starts.

use courseshunt_types::{Millis, Timestamp};

/// Lower edges of the bins of idle time, in seconds.
const EDGES: [f64; 11] = [
    0.0, 15.0, 30.0, 60.0, 120.0, 240.0, 480.0, 960.0, 1920.0, 3840.0, 7680.0,
];
/// Bins from this one on are longer than a burst.
const FIRST_QUIET_BIN: usize = 5;
/// Calls closer together than this are one session.
const SESSION_GAP: Millis = Millis::from_secs(60);
/// Weight of the prior, in events of one bin.
const PRIOR_EVENTS: f64 = 2.0;
/// Sessions that the prior of the mean rate counts for.
const PRIOR_SESSIONS: f64 = 1.0;

/// Events and the time at risk, by idle time: their ratio is the hazard.
#[derive(Debug, Clone, Default)]
pub struct HazardTable {
    events: [f64; EDGES.len()],
    seconds: [f64; EDGES.len()],
}

impl HazardTable {
    /// Takes in that a call came after `gap` of idle time.
    pub fn add_gap(&mut self, gap: Millis) {
        let gap = gap.as_secs_f64();
        for (bin, edge) in EDGES.iter().enumerate() {
            let end = EDGES.get(bin + 1).copied().unwrap_or(f64::INFINITY);
            if gap <= *edge && bin > 0 {
                break;
            }
            self.seconds[bin] += gap.min(end) - edge;
            if gap <= end {
                self.events[bin] += 1.0;
                break;
            }
        }
    }

    /// Calls a second in one bin; `None` without any time at risk.
    fn rate(&self, bin: usize) -> Option<f64> {
        (self.seconds[bin] > 0.0).then(|| self.events[bin] / self.seconds[bin])
    }
}

fn bin_of(idle: Millis) -> usize {
    let idle = idle.as_secs_f64();
    EDGES.partition_point(|edge| *edge <= idle) - 1
}

/// The calls of one deployment.
#[derive(Debug, Clone)]
pub struct CallHistory {
    table: HazardTable,
    began: Timestamp,
    last: Option<Timestamp>,
    sessions: f64,
}

impl CallHistory {
    /// No calls since `began`.
    #[must_use]
    pub fn new(began: Timestamp) -> Self {
        Self {
            table: HazardTable::default(),
            began,
            last: None,
            sessions: 0.0,
        }
    }

    /// Takes in a call; gives the idle time before it, and whether it begins a
    /// session.
    pub fn call(&mut self, at: Timestamp) -> (Option<Millis>, bool) {
        let gap = self.last.map(|last| at.since(last));
        self.last = Some(at);
        if let Some(gap) = gap {
            self.table.add_gap(gap);
        }
        let begins = gap.is_none_or(|gap| gap >= SESSION_GAP);
        if begins {
            self.sessions += 1.0;
        }
        (gap, begins)
    }

    /// The last call.
    #[must_use]
    pub fn last(&self) -> Option<Timestamp> {
        self.last
    }

    /// Sessions a second, shrunk towards `pooled`, the mean of all deployments.
    #[must_use]
    pub fn session_rate(&self, pooled: f64, now: Timestamp) -> f64 {
        let observed = now.since(self.began).as_secs_f64();
        let prior_seconds = PRIOR_SESSIONS / pooled.max(1e-9);
        (self.sessions + PRIOR_SESSIONS) / (observed + prior_seconds)
    }

    /// Calls a second to expect now, from the idle time so far. `rate` is the
    /// deployment's session rate; the bins of a burst are shrunk towards those
    /// of `pooled`.
    #[must_use]
    pub fn hazard(&self, pooled: &HazardTable, rate: f64, now: Timestamp) -> f64 {
        let Some(last) = self.last else {
            return rate;
        };
        let bin = bin_of(now.since(last));
        if bin >= FIRST_QUIET_BIN {
            return rate;
        }
        let prior = pooled.rate(bin).unwrap_or(rate).max(rate);
        let prior_seconds = PRIOR_EVENTS / prior.max(1e-9);
        let events = self.table.events[bin] + PRIOR_EVENTS;
        (events / (self.table.seconds[bin] + prior_seconds)).max(rate)
    }
}
