//! Streams that paused for longer than their route allows, by model, and what they say about the
//! replicas that a model needs.
//!
//! Invariants: a model without reported streams needs and keeps no replica because of them. The
//! evidence for another replica starts anew with each load, so that pauses from before a load cause
//! no further one.

use super::round::SURPLUS_UTILISATION_RATIO;
use super::work::MIN_SCALING_RATE;
use crate::decay::DecayingSum;
use courseshunt_instance_load::ModelPauses;
use courseshunt_types::{Millis, ModelName, Timestamp};
use std::collections::BTreeMap;

/// Time constant of all sums of streams, in milliseconds: that of the rates that decide which
/// replicas are surplus. A stream takes several seconds, so that a shorter time holds too few.
const TIME_CONSTANT_MS: f64 = super::demand::STEADY_TIME_CONSTANT_MS;
/// A model gets another replica above this share of paused streams. This is the share that the
/// fleet as a whole has to stay under; a model below it needs nothing.
const MAX_PAUSED_SHARE: f64 = 0.05;
/// Paused streams that the evidence must hold, weighted by age. One or two paused streams may be
/// due to a single long prompt; at a true share of 2 %, three of 20 streams are paused in 0.7 % of
/// the samples.
const MIN_PAUSED_STREAMS: f64 = 3.0;
/// Streams per replica and second below which a model gets no further replica: streams take some
/// seconds, so that a replica then mostly serves one stream of the model at a time, and another
/// one would not separate them. This allows a second replica from [`MIN_SCALING_RATE`].
const MIN_RATE_PER_REPLICA: f64 = MIN_SCALING_RATE / 2.0;
/// Streams that end within this time after a load have mostly run without the new replica.
const SETTLE_TIME: Millis = Millis(3_000);
/// A rate at which streams paused is forgotten after this time, because the speed of instances and
/// the size of prompts change.
const PAUSED_RATE_VALIDITY: Millis = Millis(600_000);
/// A leader that has received reports for a shorter time does not know yet which replicas keep
/// streams from pausing, and counts none of a model with streams as surplus.
const REPORTS_WARM_UP: Millis = Millis(60_000);
/// Time over which the streams count that another replica keeps from pausing, in seconds: the same
/// over which the absence of a model counts.
const VALUE_HORIZON_S: f64 = super::value::HORIZON_S;
/// Upper bound of this value, in late requests: a little less than that of a load that a single
/// request waits for, and enough for a load from the weight store. Without it, a model whose streams
/// pause evicts the only replica of one that is requested, whose absence counts only until it is
/// loaded again.
const MAX_VALUE: f64 = 0.9;
/// Cost of evicting a replica that is kept because of pauses, in late requests: as much as another
/// model whose streams pause may spend on evictions, so that models do not evict each other for
/// their pauses. Models that requests wait for may spend more.
pub(super) const KEPT_REPLICA_COST: f64 = MAX_VALUE / super::candidates::SCALING_MARGIN;
/// A model for which no load target was found is not tried again for this time, so that a model
/// without any target does not keep others from being tried.
const RETRY_DELAY: Millis = Millis(1_000);
/// A model without streams for this time is forgotten.
const MODEL_RETENTION: Millis = PAUSED_RATE_VALIDITY;

/// Replicas that a model needs because of its pauses, in addition to those that its demand needs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct PauseNeed {
    /// Whether it needs one more than it has.
    pub(super) needs_another: bool,
    /// Whether its streams would pause with one less.
    pub(super) keeps_all: bool,
    /// Whether it is not known yet whether its streams would pause with one less.
    pub(super) is_unknown: bool,
    /// Share of the streams that paused for too long.
    pub(super) paused_share: f64,
    /// Value of another replica, in late requests: the streams that pause too long within
    /// [`VALUE_HORIZON_S`] at the rate before the last load. One replica may remove all of these
    /// pauses, since they begin at some number of streams per replica.
    pub(super) value: f64,
}

impl PauseNeed {
    /// Whether replicas that the work of the model does not need are kept because of pauses.
    pub(super) fn keeps_replicas(&self) -> bool {
        self.needs_another || self.keeps_all || self.is_unknown
    }

    /// The share of paused streams in thousandths.
    pub(super) fn paused_permille(&self) -> u32 {
        (self.paused_share * 1_000.0) as u32
    }
}

/// Replicas of a model in a round.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ReplicaCounts {
    /// All replicas, including those that are being loaded.
    pub(super) all: usize,
    /// Whether one is being loaded.
    pub(super) is_loading: bool,
    /// Replicas on instances whose streams are predicted to pause for too long.
    pub(super) pausing: usize,
    /// Replicas on instances whose streams are predicted to pause for nearly too long.
    pub(super) nearly_pausing: usize,
}

/// Rate of streams per replica and second at which the streams of a model paused.
#[derive(Debug, Clone, Copy)]
struct PausedRate {
    per_replica: f64,
    measured_at: Timestamp,
}

/// Streams of one model.
#[derive(Debug, Default)]
struct ModelStreams {
    /// All streams.
    streams: DecayingSum,
    /// Streams and paused streams that ended since the last load has settled.
    recent: DecayingSum,
    recent_paused: DecayingSum,
    paused_rate: Option<PausedRate>,
    /// See [`PauseNeed::value`].
    value: f64,
    /// Evidence counts from then on.
    settled_at: Timestamp,
    reported_at: Timestamp,
    /// Another replica is tried from then on.
    deferred_until: Timestamp,
}

impl ModelStreams {
    fn record(&mut self, one: &ModelPauses, now: Timestamp) {
        let streams = f64::from(one.streams);
        let paused = f64::from(one.paused.min(one.streams));
        self.reported_at = now;
        self.streams.add(streams, now, TIME_CONSTANT_MS);
        if now >= self.settled_at {
            self.recent.add(streams, now, TIME_CONSTANT_MS);
            self.recent_paused.add(paused, now, TIME_CONSTANT_MS);
        }
    }

    /// Discards the evidence while a replica is being loaded and until the load has settled.
    fn note_load(&mut self, now: Timestamp) {
        self.recent = DecayingSum::default();
        self.recent_paused = DecayingSum::default();
        self.settled_at = now + SETTLE_TIME;
    }

    /// Streams that ended per second.
    fn rate(&self, now: Timestamp) -> f64 {
        self.streams.per_second(now, TIME_CONSTANT_MS)
    }

    fn paused_share(&self, now: Timestamp) -> f64 {
        let streams = self.recent.at(now, TIME_CONSTANT_MS);
        match streams > 0.0 {
            true => self.recent_paused.at(now, TIME_CONSTANT_MS) / streams,
            false => 0.0,
        }
    }

    /// Whether the evidence shows that too many streams pause.
    fn is_pausing(&self, now: Timestamp) -> bool {
        self.recent_paused.at(now, TIME_CONSTANT_MS) >= MIN_PAUSED_STREAMS
            && self.paused_share(now) > MAX_PAUSED_SHARE
    }

    /// Whether the model is requested often enough for another replica, and has not just been
    /// deferred.
    fn is_worth_scaling(&self, replicas: usize, now: Timestamp) -> bool {
        self.rate(now) / (replicas + 1) as f64 >= MIN_RATE_PER_REPLICA && now >= self.deferred_until
    }

    /// Whether the evidence shows that few streams pause: as many streams are needed as hold
    /// [`MIN_PAUSED_STREAMS`] at [`MAX_PAUSED_SHARE`].
    fn is_flowing(&self, now: Timestamp) -> bool {
        let streams = self.recent.at(now, TIME_CONSTANT_MS);
        streams >= MIN_PAUSED_STREAMS / MAX_PAUSED_SHARE
            && self.paused_share(now) <= MAX_PAUSED_SHARE
    }

    /// Updates the rate at which streams pause: the present one if they do, none if the present one
    /// is higher and they do not.
    fn update_paused_rate(&mut self, replicas: usize, now: Timestamp) {
        let per_replica = self.rate(now) / replicas.max(1) as f64;
        if self.is_pausing(now) {
            self.paused_rate = Some(PausedRate {
                per_replica,
                measured_at: now,
            });
            return;
        }
        let is_flowing = self.is_flowing(now);
        self.paused_rate = self.paused_rate.filter(|previous| {
            let is_refuted = is_flowing && per_replica > previous.per_replica;
            !is_refuted && now.since(previous.measured_at) < PAUSED_RATE_VALIDITY
        });
    }

    /// Whether `replicas` would serve the streams near the rate at which they paused. A demand that
    /// varies by less than the ratio changes nothing.
    fn would_pause_with(&self, replicas: usize, now: Timestamp) -> bool {
        let per_replica = self.rate(now) / replicas.max(1) as f64;
        self.paused_rate
            .is_some_and(|previous| per_replica >= previous.per_replica * SURPLUS_UTILISATION_RATIO)
    }

    /// What a model with these replicas needs.
    fn need(&mut self, replicas: ReplicaCounts, now: Timestamp) -> PauseNeed {
        if replicas.is_loading {
            self.note_load(now);
        } else {
            self.update_paused_rate(replicas.all, now);
            let paused = self.rate(now) * self.paused_share(now) * VALUE_HORIZON_S;
            self.value = paused.min(MAX_VALUE);
        }
        let is_pausing = self.is_pausing(now) || self.is_predicted_to_pause(replicas, now);
        let others = replicas.all.saturating_sub(1);
        let needs_calm_one = others > 0 && replicas.nearly_pausing >= others;
        let is_requested = self.rate(now) >= MIN_SCALING_RATE;
        PauseNeed {
            needs_another: is_pausing && self.is_worth_scaling(replicas.all, now),
            keeps_all: self.would_pause_with(others, now) || is_requested && needs_calm_one,
            is_unknown: false,
            paused_share: self.paused_share(now),
            value: self.value,
        }
    }

    /// Whether all replicas are on instances that are predicted to pause their streams.
    fn is_predicted_to_pause(&self, replicas: ReplicaCounts, now: Timestamp) -> bool {
        replicas.all > 0 && replicas.pausing == replicas.all && now >= self.settled_at
    }
}

/// Streams by service and model; see the module.
#[derive(Debug, Default)]
pub(super) struct PauseTable {
    services: BTreeMap<String, BTreeMap<ModelName, ModelStreams>>,
    first_report_at: Option<Timestamp>,
}

impl PauseTable {
    pub(super) fn record(&mut self, pauses: &[ModelPauses], now: Timestamp) {
        for one in pauses.iter().filter(|one| one.streams > 0) {
            self.first_report_at.get_or_insert(now);
            let service = self.services.entry(one.service.clone()).or_default();
            let model = service.entry(ModelName::from(one.model.as_str()));
            model.or_default().record(one, now);
        }
    }

    /// Defers another replica of a model for which no load target was found.
    pub(super) fn defer(&mut self, service: &str, model: &ModelName, now: Timestamp) {
        let models = self.services.get_mut(service);
        if let Some(streams) = models.and_then(|models| models.get_mut(model)) {
            streams.deferred_until = now + RETRY_DELAY;
        }
    }

    /// Whether reports have been received for too short a time to identify surplus replicas.
    fn is_warming_up(&self, now: Timestamp) -> bool {
        let since = self.first_report_at;
        since.is_some_and(|since| now.since(since) < REPORTS_WARM_UP)
    }

    /// The needs of all models of a service with streams; `replicas` counts the replicas of a model.
    pub(super) fn needs(
        &mut self,
        service: &str,
        replicas: impl Fn(&ModelName) -> ReplicaCounts,
        now: Timestamp,
    ) -> Vec<(ModelName, PauseNeed)> {
        let is_unknown = self.is_warming_up(now);
        let Some(models) = self.services.get_mut(service) else {
            return Vec::new();
        };
        models.retain(|_, one| now.since(one.reported_at) < MODEL_RETENTION);
        let needs = models.iter_mut().map(|(model, streams)| {
            let need = streams.need(replicas(model), now);
            (model.clone(), PauseNeed { is_unknown, ..need })
        });
        needs.collect()
    }
}
