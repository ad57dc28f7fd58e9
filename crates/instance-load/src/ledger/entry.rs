//! Load and speed of one instance at the leader.

use super::HELD_TOKENS_LIFETIME;
use crate::decay::DecayingAverage;
use crate::report::DatedReport;
use crate::slowness::{
    SLOWNESS_HALF_LIFE, USUAL_SPEED_WEIGHT, bounded_ratio, from_permille, to_permille,
};
use crate::{InstanceLoad, LoadSample};
use courseshunt_types::{RunnerId, Timestamp};
use std::collections::BTreeMap;

/// Weight below which the average is no longer sent, in measurements.
const MIN_WEIGHT: f64 = 0.1;
/// Largest number of measurements that one sample counts as: a router sends a few a second to one
/// instance.
const MAX_SAMPLE_COUNT: u32 = 1_000;
/// Smallest relative change of the average that is sent. An average of ten measurements deviates
/// by chance as much.
const NOTICEABLE_SLOWNESS_FRACTION: f64 = 0.1;
/// Smallest change of the sum of held tokens that is sent: a small part of an engine's memory. A
/// smaller rest is not corrected, since that would double the traffic of a large fleet whose
/// instances run single requests.
const NOTICEABLE_HELD_TOKENS: u32 = 2_344;

/// Tokens of one router's requests.
#[derive(Debug, Clone, Copy)]
struct HeldTokens {
    tokens: u32,
    reported_at: Timestamp,
}

/// The values of the instance that were last sent to routers.
#[derive(Debug, Default)]
struct Sent {
    report: Option<DatedReport>,
    held_tokens: u32,
    slowness_permille: Option<u32>,
}

/// Load and speed of one instance at the leader.
#[derive(Debug, Default)]
pub(super) struct Entry {
    report: Option<DatedReport>,
    /// By the number of the router.
    held_tokens: BTreeMap<u32, HeldTokens>,
    slowness: DecayingAverage,
    sent: Sent,
}

impl Entry {
    pub(super) fn record(&mut self, router: u32, sample: &LoadSample, now: Timestamp) {
        if let Some((report, age)) = sample.report {
            let report = DatedReport::received(report, age, now);
            let known = self.report.filter(|known| known.sent_at >= report.sent_at);
            self.report = known.or(Some(report));
        }
        self.record_held(router, sample.held_tokens, now);
        self.record_slowness(sample, now);
    }

    fn record_held(&mut self, router: u32, tokens: u32, now: Timestamp) {
        if tokens == 0 {
            self.held_tokens.remove(&router);
            return;
        }
        let held = HeldTokens {
            tokens,
            reported_at: now,
        };
        self.held_tokens.insert(router, held);
    }

    fn record_slowness(&mut self, sample: &LoadSample, now: Timestamp) {
        let count = sample.slowness_samples;
        if count == 0 {
            return;
        }
        let average = from_permille(sample.slowness_permille_sum) / f64::from(count);
        let Some(average) = bounded_ratio(average) else {
            return;
        };
        let count = count.min(MAX_SAMPLE_COUNT);
        let sum = average * f64::from(count);
        self.slowness.add(sum, count, SLOWNESS_HALF_LIFE, now);
    }

    pub(super) fn remove_router(&mut self, router: u32) {
        self.held_tokens.remove(&router);
    }

    /// Removes what is too old to be used.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.held_tokens
            .retain(|_, held| now.since(held.reported_at) <= HELD_TOKENS_LIFETIME);
        self.report = self.report.filter(|report| report.is_usable(now));
    }

    /// Present load and speed.
    pub(super) fn load(&self, instance: &RunnerId, now: Timestamp) -> InstanceLoad {
        let held = self.held_tokens.values().map(|held| held.tokens);
        InstanceLoad {
            instance: instance.clone(),
            report: self.report.map(|report| report.with_age(now)),
            held_tokens: held.fold(0, u32::saturating_add),
            slowness_permille: self.slowness_permille(now),
        }
    }

    /// The average over all routers; without recent measurements it approaches the usual speed
    /// and then ends.
    fn slowness_permille(&self, now: Timestamp) -> Option<u32> {
        let weight = self.slowness.weight(SLOWNESS_HALF_LIFE, now);
        (weight >= MIN_WEIGHT).then(|| {
            let average =
                self.slowness
                    .with_prior(1.0, USUAL_SPEED_WEIGHT, SLOWNESS_HALF_LIFE, now);
            to_permille(average)
        })
    }

    /// The present load and speed, if routers must be sent it.
    pub(super) fn take_change(
        &mut self,
        instance: &RunnerId,
        now: Timestamp,
    ) -> Option<InstanceLoad> {
        let load = self.load(instance, now);
        if !self.has_changed(&load, now) {
            return None;
        }
        self.sent = Sent {
            report: self.report,
            held_tokens: load.held_tokens,
            slowness_permille: load.slowness_permille,
        };
        Some(load)
    }

    fn has_changed(&self, load: &InstanceLoad, now: Timestamp) -> bool {
        let report = self.report;
        report.is_some_and(|report| report.must_replace(self.sent.report.as_ref(), now))
            || held_tokens_differ(load.held_tokens, self.sent.held_tokens)
            || slowness_differs(load.slowness_permille, self.sent.slowness_permille)
    }
}

fn held_tokens_differ(one: u32, other: u32) -> bool {
    one.abs_diff(other) >= NOTICEABLE_HELD_TOKENS
}

fn slowness_differs(one: Option<u32>, other: Option<u32>) -> bool {
    let (Some(one), Some(other)) = (one, other) else {
        return one != other;
    };
    let threshold = f64::from(one.min(other)) * NOTICEABLE_SLOWNESS_FRACTION;
    f64::from(one.abs_diff(other)) >= threshold
}
