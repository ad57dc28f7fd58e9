//! Deadlines of the steps of a planned stop of a controller.
//!
//! Invariant: all of them are shares of the grace period, so that no step outlasts it.

use courseshunt_settings::service::ServiceLimits;
use std::time::Duration;
use tokio::time::Instant;

/// Part of the grace period that is reserved for the exit of the process; in proportion shorter for
/// a short grace period.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Calls without a response are answered this much before the end of the stop, whatever they wait
/// for; in proportion less for a short grace period.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Share of the grace period for the leadership transfer.
const TRANSFER_SHARE: f64 = 0.25;
/// Longest wait for the leadership transfer, however long the grace period is.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(2);
/// Longest wait, once the replica has stopped, for the last write of the log; a disk may stall for
/// longer.
const MAX_LAST_WRITE_TIME: Duration = Duration::from_secs(2);

/// When the steps of a planned stop end at the latest.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StopDeadlines {
    /// The leadership is handed over, or another member wins an election later.
    pub(crate) transfer: Instant,
    /// The replica has stopped, and calls without a response are answered.
    pub(crate) last_answers: Instant,
    /// All responses are written.
    pub(crate) end: Instant,
}

impl StopDeadlines {
    /// Deadlines of a stop that begins now.
    pub(crate) fn from_now(limits: &ServiceLimits) -> Self {
        let now = Instant::now();
        let grace = limits.grace();
        let end = now + grace - limits.stop_margin(STOP_MARGIN);
        Self {
            transfer: now + grace.mul_f64(TRANSFER_SHARE).min(MAX_TRANSFER_TIME),
            last_answers: end - limits.stop_margin(LAST_ANSWER_MARGIN),
            end,
        }
    }

    /// When the log is closed at the latest, from the moment at which the replica has stopped.
    pub(crate) fn last_write(&self) -> Instant {
        self.end.min(Instant::now() + MAX_LAST_WRITE_TIME)
    }
}
