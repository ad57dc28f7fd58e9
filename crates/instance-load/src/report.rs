//! Reports of instances: which are plausible, what a report says at a later time, and which
//! differences between reports are worth a message.
//!
//! Invariant: a report is older than each report that replaces it.

use crate::LoadReport;
use crate::decay::remaining_fraction;
use courseshunt_types::{Millis, Timestamp};

/// Largest number of slots that is accepted.
const MAX_SLOTS: u32 = 65_536;
/// Largest number of running requests that is accepted, as a multiple of the slots: an engine may
/// admit some requests beyond its slots, for example while requests end.
const MAX_RUNNING_PER_SLOT: u32 = 4;
/// Largest number of waiting requests that is accepted.
const MAX_WAITING: u32 = 1_000_000;
/// Largest duration of work that is accepted, in percent of the usual one.
const MAX_WORK_PERCENT: u32 = 10_000;

/// Time in which the deviation of the work factor from 1 halves. Instances change the figure many
/// times a second, so that a value of several seconds ago is of no use, while the values of one
/// period of slow work are alike.
const WORK_HALF_LIFE: Millis = Millis(1_000);
/// Time in which half of the requests that were reported as running or waiting are assumed to have
/// ended. Requests in flight that routers know are counted by their usage reports, without decay.
pub(crate) const REQUESTS_HALF_LIFE: Millis = Millis(2_000);
/// A report of this age still shows that the instance reports its load; of its figures only the
/// slots are left.
const REPORT_LIFETIME: Millis = Millis::from_secs(600);
/// A report that is not noticeably different is sent again after this time, so that receivers
/// whose copy was lost or will expire get it.
pub(crate) const REFRESH_INTERVAL: Millis = Millis::from_secs(30);

/// Smallest difference in requests that is noticeable.
const NOTICEABLE_REQUESTS: f64 = 2.0;
/// Smallest difference in requests that is noticeable, relative to the larger number: with fewer
/// requests a small difference affects the prediction more.
const NOTICEABLE_REQUESTS_FRACTION: f64 = 0.125;
/// Smallest relative difference of the work factor that is noticeable.
const NOTICEABLE_WORK_FRACTION: f64 = 0.2;

impl LoadReport {
    /// Whether an instance can have sent these figures; a report that is not plausible must be
    /// ignored as a whole.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        (1..=MAX_SLOTS).contains(&self.slots)
            && self.running <= self.slots * MAX_RUNNING_PER_SLOT
            && self.waiting <= MAX_WAITING
            && (1..=MAX_WORK_PERCENT).contains(&self.work_percent)
    }

    fn work_factor(&self) -> f64 {
        f64::from(self.work_percent) / 100.0
    }
}

/// A report with the time at which the instance sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DatedReport {
    pub(crate) report: LoadReport,
    pub(crate) sent_at: Timestamp,
}

/// Figures of a report, decayed to a later time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PresentLoad {
    pub(crate) running: f64,
    pub(crate) waiting: f64,
    pub(crate) work_factor: f64,
}

impl DatedReport {
    /// A report that was sent `age` ago.
    pub(crate) fn received(report: LoadReport, age: Millis, now: Timestamp) -> Self {
        Self {
            report,
            sent_at: now - age,
        }
    }

    pub(crate) fn age(&self, now: Timestamp) -> Millis {
        now.since(self.sent_at)
    }

    /// The report with its age, as it is sent to other processes.
    pub(crate) fn with_age(&self, now: Timestamp) -> (LoadReport, Millis) {
        (self.report, self.age(now))
    }

    /// Whether the report still shows that the instance reports its load.
    pub(crate) fn is_usable(&self, now: Timestamp) -> bool {
        self.age(now) <= REPORT_LIFETIME
    }

    pub(crate) fn present(&self, now: Timestamp) -> PresentLoad {
        let age = self.age(now);
        let requests_left = remaining_fraction(age, REQUESTS_HALF_LIFE);
        let deviation = self.report.work_factor() - 1.0;
        PresentLoad {
            running: f64::from(self.report.running) * requests_left,
            waiting: f64::from(self.report.waiting) * requests_left,
            work_factor: 1.0 + deviation * remaining_fraction(age, WORK_HALF_LIFE),
        }
    }

    /// Whether a receiver that holds `known` must be sent this report: it is newer, and `known`
    /// gives noticeably other values now, or is due for its refresh.
    pub(crate) fn must_replace(&self, known: Option<&DatedReport>, now: Timestamp) -> bool {
        let Some(known) = known else {
            return true;
        };
        if self.sent_at <= known.sent_at {
            return false;
        }
        self.report.slots != known.report.slots
            || known.age(now) >= REFRESH_INTERVAL
            || self.present(now).differs_from(&known.present(now))
    }
}

impl PresentLoad {
    fn differs_from(&self, other: &Self) -> bool {
        let smaller_factor = self.work_factor.min(other.work_factor);
        let work_difference = (self.work_factor - other.work_factor).abs();
        requests_differ(self.running, other.running)
            || requests_differ(self.waiting, other.waiting)
            || work_difference >= smaller_factor * NOTICEABLE_WORK_FRACTION
    }
}

fn requests_differ(one: f64, other: f64) -> bool {
    let threshold = one.max(other) * NOTICEABLE_REQUESTS_FRACTION;
    (one - other).abs() >= threshold.max(NOTICEABLE_REQUESTS)
}
