//! What is expected of each deployment, from what reached the controller.

use super::history::{CallHistory, HazardTable};
use super::period::PeriodDetector;
use courseshunt_types::{DeploymentName, Millis, Timestamp};
use std::collections::BTreeMap;

/// Calls to expect in a due time, as a rate, keep a replica in any case.
const DUE_HAZARD: f64 = 1.0;
/// Present activity is measured over about this time.
const ACTIVITY_TIME: Millis = Millis::from_secs(2 * 3600);
/// Bounds of present activity against the mean.
const ACTIVITY_BOUNDS: (f64, f64) = (0.1, 4.0);

/// The forecasts of all deployments.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    deployments: BTreeMap<DeploymentName, DeploymentForecast>,
    pooled: HazardTable,
    began: Option<Timestamp>,
    sessions: f64,
    recent: DecayingCount,
}

#[derive(Debug, Clone)]
struct DeploymentForecast {
    history: CallHistory,
    period: PeriodDetector,
}

/// A count that halves with time.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingCount {
    count: f64,
    at: Timestamp,
}

impl DecayingCount {
    fn at(&self, now: Timestamp) -> f64 {
        let passed = now.since(self.at).0 as f64 / ACTIVITY_TIME.0 as f64;
        self.count * (-passed).exp()
    }

    fn add(&mut self, now: Timestamp) {
        self.count = self.at(now) + 1.0;
        self.at = now;
    }
}

impl Forecast {
    /// Notes that the deployment is known and observed from now on.
    pub fn know(&mut self, deployment: &DeploymentName, now: Timestamp) {
        self.began.get_or_insert(now);
        if !self.deployments.contains_key(deployment) {
            let forecast = DeploymentForecast {
                history: CallHistory::new(now),
                period: PeriodDetector::default(),
            };
            self.deployments.insert(deployment.clone(), forecast);
        }
    }

    /// Takes in an urgent call.
    pub fn call(&mut self, deployment: &DeploymentName, at: Timestamp) {
        self.know(deployment, at);
        let Some(one) = self.deployments.get_mut(deployment) else {
            return;
        };
        let (gap, begins) = one.history.call(at);
        if let Some(gap) = gap {
            self.pooled.add_gap(gap);
        }
        if begins {
            one.period.session(at);
            self.sessions += 1.0;
            self.recent.add(at);
        }
    }

    /// The last urgent call.
    #[must_use]
    pub fn last_call(&self, deployment: &DeploymentName) -> Option<Timestamp> {
        self.deployments.get(deployment)?.history.last()
    }

    /// Mean sessions a second of one deployment.
    fn pooled_rate(&self, now: Timestamp) -> f64 {
        let observed = now.since(self.began.unwrap_or(now)).as_secs_f64();
        let deployments = self.deployments.len().max(1) as f64;
        (self.sessions + 1.0) / (observed + ACTIVITY_TIME.as_secs_f64()) / deployments
    }

    /// Present activity of all deployments, as a multiple of the mean.
    #[must_use]
    pub fn activity(&self, now: Timestamp) -> f64 {
        let deployments = self.deployments.len().max(1) as f64;
        let recent = self.recent.at(now) / ACTIVITY_TIME.as_secs_f64() / deployments;
        let ratio = recent / self.pooled_rate(now);
        ratio.clamp(ACTIVITY_BOUNDS.0, ACTIVITY_BOUNDS.1)
    }

    /// Mean sessions a second of a deployment, whatever the time of day.
    #[must_use]
    pub fn mean_rate(&self, deployment: &DeploymentName, now: Timestamp) -> f64 {
        let pooled = self.pooled_rate(now);
        let known = self.deployments.get(deployment);
        known.map_or(pooled, |one| one.history.session_rate(pooled, now))
    }

    /// Calls a second to expect of a deployment now. One that is called at a
    /// fixed interval is expected in its due times, and hardly in between.
    #[must_use]
    pub fn hazard(&self, deployment: &DeploymentName, now: Timestamp) -> f64 {
        let Some(one) = self.deployments.get(deployment) else {
            return self.pooled_rate(now);
        };
        if one.period.due(now).any(|due| due.from <= now) {
            return DUE_HAZARD;
        }
        let mut rate = self.mean_rate(deployment, now) * self.activity(now);
        if let Some(period) = one.period.period() {
            let periodic = 1.0 / period.interval.as_secs_f64().max(1.0);
            rate = (rate - periodic).max(0.0);
        }
        one.history.hazard(&self.pooled, rate, now)
    }

    /// The next moment at which a call may be due that is not due yet.
    #[must_use]
    pub fn next_due(&self, deployment: &DeploymentName, now: Timestamp) -> Option<Timestamp> {
        let one = self.deployments.get(deployment)?;
        let due = one.period.due(now).map(|due| due.from);
        due.filter(|from| *from > now).min()
    }

    /// The fixed interval of a deployment, if it has one.
    #[must_use]
    pub fn interval(&self, deployment: &DeploymentName) -> Option<Millis> {
        let one = self.deployments.get(deployment)?;
        one.period.period().map(|period| period.interval)
    }
}
