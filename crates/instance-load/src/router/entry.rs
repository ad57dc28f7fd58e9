//! Load and speed of one instance at a router.

use crate::decay::{DecayingAverage, remaining_fraction};
use crate::report::{DatedReport, REFRESH_INTERVAL, REQUESTS_HALF_LIFE};
use crate::slowness::{
    SLOWNESS_HALF_LIFE, USUAL_SPEED_WEIGHT, bounded_ratio, from_permille, to_permille,
};
use crate::{InstanceCondition, InstanceLoad, LoadReport, LoadSample};
use courseshunt_types::{Millis, RunnerId, Timestamp};

/// Weight of the fleet's average against this router's own newer measurements, in measurements.
/// The average rests on more of them, but the own ones may show a change.
const FLEET_WEIGHT: f64 = 4.0;
/// Time in which the deviation of the fleet's average from the usual speed halves once its leader
/// is lost. Most slow instances stay slow, so that it is longer than the half-life of a single
/// measurement.
const LOST_AVERAGE_HALF_LIFE: Millis = Millis::from_secs(60);
/// Smallest change of the tokens of this router's requests that is reported: less than most requests
/// hold, so that each of them is reported.
const NOTICEABLE_HELD_TOKENS: u32 = 512;
/// An older report is not sent to a leader that lacks it: its figures have decayed.
const MAX_SENT_REPORT_AGE: Millis = Millis(5_000);

/// Number of unsent measurements at which their weight is halved. A router has a few between two
/// reports; many collect only without a leader, which must not be sent old ones with full weight.
const MAX_UNSENT_SAMPLES: u32 = 64;

/// Load and speed of one instance at a router.
#[derive(Debug)]
pub(super) struct Entry {
    /// Newest report, from a response to this router or from the leader.
    report: Option<DatedReport>,
    /// Whether `report` is from a response to this router.
    is_own_report: bool,
    /// Newest report that the present leader is known to have.
    leader_report: Option<DatedReport>,
    /// Own measurements that the fleet's average may not include yet.
    own_slowness: DecayingAverage,
    /// Sum of the own measurements that are not reported yet, in thousandths, and their number.
    unsent_permille_sum: u32,
    unsent_samples: u32,
    /// Average over all routers, as last sent by a leader.
    fleet_slowness: Option<f32>,
    /// Tokens of the requests of other routers, as last sent by a leader.
    others_held_tokens: u32,
    /// Since when the average, and the tokens of other routers, are those of an earlier leader;
    /// [`Timestamp::NEVER`] if they are those of the present one.
    slowness_outdated_since: Timestamp,
    held_outdated_since: Timestamp,
    /// Tokens of this router's requests in flight.
    held_tokens: u32,
    sent_held_tokens: u32,
    held_sent_at: Timestamp,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            report: None,
            is_own_report: false,
            leader_report: None,
            own_slowness: DecayingAverage::default(),
            unsent_permille_sum: 0,
            unsent_samples: 0,
            fleet_slowness: None,
            others_held_tokens: 0,
            slowness_outdated_since: Timestamp::NEVER,
            held_outdated_since: Timestamp::NEVER,
            held_tokens: 0,
            sent_held_tokens: 0,
            held_sent_at: Timestamp::default(),
        }
    }
}

impl Entry {
    pub(super) fn has_usable_report(&self, now: Timestamp) -> bool {
        self.report.is_some_and(|report| report.is_usable(now))
    }

    pub(super) fn work_factor(&self, now: Timestamp) -> f64 {
        let report = self.report.filter(|report| report.is_usable(now));
        report.map_or(1.0, |report| report.present(now).work_factor)
    }

    pub(super) fn has_requests(&self) -> bool {
        self.held_tokens > 0
    }

    pub(super) fn condition(
        &self,
        leader_lost_at: Timestamp,
        now: Timestamp,
    ) -> Option<InstanceCondition> {
        let report = self.report.filter(|report| report.is_usable(now))?;
        let present = report.present(now);
        let outdated_for = |since: Timestamp| now.since(since.min(leader_lost_at));
        let others_held = self.others_held(outdated_for(self.held_outdated_since));
        Some(InstanceCondition {
            running: present.running.round() as u32,
            waiting: present.waiting.round() as u32,
            slots: report.report.slots,
            work_factor: present.work_factor,
            slowness: self.slowness(outdated_for(self.slowness_outdated_since), now),
            held_tokens: self.held_tokens.saturating_add(others_held),
        })
    }

    fn slowness(&self, outdated_for: Millis, now: Timestamp) -> f64 {
        let (prior, weight) = match self.fleet_slowness {
            Some(average) => {
                let left = remaining_fraction(outdated_for, LOST_AVERAGE_HALF_LIFE);
                (1.0 + (f64::from(average) - 1.0) * left, FLEET_WEIGHT)
            }
            None => (1.0, USUAL_SPEED_WEIGHT),
        };
        self.own_slowness
            .with_prior(prior, weight, SLOWNESS_HALF_LIFE, now)
    }

    fn others_held(&self, outdated_for: Millis) -> u32 {
        let left = remaining_fraction(outdated_for, REQUESTS_HALF_LIFE);
        (f64::from(self.others_held_tokens) * left) as u32
    }

    pub(super) fn record_report(&mut self, report: LoadReport, now: Timestamp) {
        self.report = Some(DatedReport {
            report,
            sent_at: now,
        });
        self.is_own_report = true;
    }

    pub(super) fn record_slowness(&mut self, ratio: f64, now: Timestamp) {
        let Some(ratio) = bounded_ratio(ratio).filter(|_| self.has_usable_report(now)) else {
            return;
        };
        self.own_slowness.add(ratio, 1, SLOWNESS_HALF_LIFE, now);
        if self.unsent_samples >= MAX_UNSENT_SAMPLES {
            self.unsent_permille_sum /= 2;
            self.unsent_samples /= 2;
        }
        self.unsent_permille_sum += to_permille(ratio);
        self.unsent_samples += 1;
    }

    pub(super) fn add_held_tokens(&mut self, tokens: u32) {
        self.held_tokens = self.held_tokens.saturating_add(tokens);
    }

    pub(super) fn remove_held_tokens(&mut self, tokens: u32) {
        self.held_tokens = self.held_tokens.saturating_sub(tokens);
    }

    pub(super) fn apply(&mut self, load: &InstanceLoad, now: Timestamp) {
        if let Some((report, age)) = load.report {
            let report = DatedReport::received(report, age, now);
            self.leader_report = Some(report);
            if self.report.is_none_or(|own| own.sent_at < report.sent_at) {
                self.report = Some(report);
                self.is_own_report = false;
            }
        }
        // The sum includes what this router reported last.
        self.others_held_tokens = load.held_tokens.saturating_sub(self.sent_held_tokens);
        self.held_outdated_since = Timestamp::NEVER;
        self.apply_slowness(load.slowness_permille, now);
    }

    fn apply_slowness(&mut self, permille: Option<u32>, now: Timestamp) {
        match permille {
            Some(permille) => {
                self.fleet_slowness = Some(from_permille(permille) as f32);
                self.slowness_outdated_since = Timestamp::NEVER;
                // The average includes the measurements that were reported.
                let unsent_sum = from_permille(self.unsent_permille_sum);
                self.own_slowness = DecayingAverage::of(unsent_sum, self.unsent_samples, now);
            }
            // A new leader has no average yet; that of the earlier one is kept and decays.
            None if self.slowness_outdated_since != Timestamp::NEVER => {}
            None => self.fleet_slowness = None,
        }
    }

    pub(super) fn start_leader_feed(&mut self, outdated_since: Timestamp) {
        self.slowness_outdated_since = self.slowness_outdated_since.min(outdated_since);
        self.held_outdated_since = self.held_outdated_since.min(outdated_since);
        self.leader_report = None;
        self.sent_held_tokens = 0;
    }

    /// The sample to send to the leader; `None` if there is nothing.
    pub(super) fn take_sample(
        &mut self,
        instance: &RunnerId,
        now: Timestamp,
    ) -> Option<LoadSample> {
        if !self.has_usable_report(now) {
            return None;
        }
        let report = self.unsent_report(now);
        if report.is_none() && self.unsent_samples == 0 && !self.must_send_held(now) {
            return None;
        }
        if report.is_some() {
            self.leader_report = report;
        }
        self.sent_held_tokens = self.held_tokens;
        self.held_sent_at = now;
        Some(LoadSample {
            instance: instance.clone(),
            report: report.map(|report| report.with_age(now)),
            held_tokens: self.held_tokens,
            slowness_permille_sum: std::mem::take(&mut self.unsent_permille_sum),
            slowness_samples: std::mem::take(&mut self.unsent_samples),
        })
    }

    /// The newest report, if it is from a response to this router and the leader must be sent it.
    fn unsent_report(&self, now: Timestamp) -> Option<DatedReport> {
        let report = self.report.filter(|_| self.is_own_report)?;
        let is_recent = report.age(now) <= MAX_SENT_REPORT_AGE;
        (is_recent && report.must_replace(self.leader_report.as_ref(), now)).then_some(report)
    }

    /// Whether the tokens of the requests in flight must be reported: they have changed
    /// noticeably, or are due for their refresh, without which the leader would remove them.
    fn must_send_held(&self, now: Timestamp) -> bool {
        let (held, sent) = (self.held_tokens, self.sent_held_tokens);
        if (held == 0) != (sent == 0) {
            return true;
        }
        let is_refresh_due = held > 0 && now.since(self.held_sent_at) >= REFRESH_INTERVAL;
        held.abs_diff(sent) >= NOTICEABLE_HELD_TOKENS || is_refresh_due
    }
}
