//! Orders to one instance: those sent, those in progress, and the answers and reports about them.
//!
//! Invariant: an order is sent only with a sequence number that a report or an accepted order has
//! confirmed, so that the instance refuses it if another order came first.

use super::{
    Adapter, FinishedLoad, Instance, InstanceReport, LoadSource, Reservation, RunningOrder,
};
use crate::configuration::{Engine, ModelSpecification};
use crate::instance::{CachedWeights, InstanceState};
use crate::placement::{Order, OrderAction, OrderOutcome};
use courseshunt_types::{Millis, ModelName, Timestamp};
use std::collections::BTreeMap;

/// Maximum age of a report on arrival.
const REPORT_LAG: Millis = Millis(700);
/// Delay of the query after a conflict.
const QUERY_DELAY_AFTER_CONFLICT: Millis = Millis(300);
/// Delay of the query after an order without an answer.
const QUERY_DELAY_AFTER_UNKNOWN: Millis = Millis(150);
/// Interval between queries while an order takes longer than expected.
const QUERY_INTERVAL: Millis = Millis(400);
/// Delay after an order that could not be sent.
const RETRY_DELAY: Millis = Millis(250);
/// Delay after an order for which no connection could be made, or a query without an answer: a live
/// instance registers within this time.
const UNREACHABLE_DELAY: Millis = Millis(1_300);
/// Key of the leader's own failed connections among those of the routers.
const LEADER: &str = "leader";
/// Maximum time for which an instance stays reserved for a model.
const RESERVATION_LIMIT: Millis = Millis(8_000);
/// Fixed part of an adapter's load time, besides the transfer.
const ADAPTER_BASE_MS: f64 = 6.0;
/// Transfer part of an adapter's load time, in milliseconds per MB.
const ADAPTER_MS_PER_MB: f64 = 0.25;
/// Minimum estimate of the time until an instance can take an order, for one that only has to be
/// queried or to answer.
const MIN_WAIT: Millis = Millis(100);
/// Assumed load time of a model that is not in the configuration.
const DEFAULT_LOAD_TIME: Millis = Millis(1_000);
/// Time by which a load may exceed its expected end before the instance is queried.
const OVERDUE_MARGIN: Millis = Millis(150);

impl Instance {
    pub(super) fn finish_order(&mut self, engine: Option<&Engine>, now: Timestamp) {
        let Some(running) = self.running.take() else {
            return;
        };
        self.cached.record_order_end();
        let model = running.action.model().clone();
        match running.action.loads() {
            true => {
                let duration = now.since(running.started_at);
                if let Some(engine) = engine {
                    self.cached.record_load_end(&model, engine);
                }
                self.finished_load = Some(FinishedLoad {
                    model: model.clone(),
                    source: running.source.unwrap_or(LoadSource::Store),
                    duration,
                });
                let held = self.held.entry(model).or_default();
                held.since = now;
                held.load_duration = duration;
                held.unloading = false;
                if held.version == 0 {
                    held.version = 1;
                }
            }
            false => {
                self.held.remove(&model);
                self.remove_size(&model);
            }
        }
        self.changed_at = Some(now);
    }

    pub(in crate::placement) fn on_report(
        &mut self,
        report: Option<InstanceReport>,
        engine: Option<&Engine>,
        now: Timestamp,
    ) {
        self.query_in_flight = false;
        let Some(report) = report else {
            self.on_unanswered_query(now);
            return;
        };
        if self.is_from_before_an_order(&report) {
            self.next_call_at = now + QUERY_INTERVAL;
            return;
        }
        self.last_contact_at = now;
        let is_current = self.is_settled(now);
        if let Some(running) = &self.running {
            let name = running.action.model();
            let is_held = report.models.iter().any(|model| model.name == *name);
            if is_held == running.action.loads() {
                self.finish_order(engine, now);
            } else if !report.busy && is_current {
                self.running = None;
                self.cached.record_order_end();
                for held in self.held.values_mut() {
                    held.unloading = false;
                }
            }
        }
        if !report.busy && !is_current && self.unanswered_sequence == Some(report.sequence) {
            // The order had not been accepted when the report was made: the state before it still
            // holds, and an order with this number is refused if it has been accepted since.
            self.sequence = self.unanswered_sequence.take();
            self.replace_cached_weights(report.cached_weights);
            return;
        }
        if report.busy || !is_current {
            self.next_call_at = now + QUERY_INTERVAL;
        }
        if !report.busy && is_current {
            self.unanswered_sequence = None;
            self.sequence = Some(report.sequence);
            self.is_disputed = false;
            self.replace_cached_weights(report.cached_weights);
            if self.sent_order.is_none() {
                self.replace_held(&report.models, &report.pending, now);
            }
        }
    }

    /// A load that the instance was reserved for may go to another one.
    fn on_unanswered_query(&mut self, now: Timestamp) {
        self.report_unreachable(LEADER, now);
        self.reservation = None;
        let delay = match self.running {
            Some(_) => QUERY_INTERVAL,
            None => UNREACHABLE_DELAY,
        };
        self.next_call_at = now + delay;
    }

    /// Replaces the cached weights by those of a report; an instance that has none may leave them out.
    fn replace_cached_weights(&mut self, reported: Option<CachedWeights>) {
        self.cached.replace(&reported.unwrap_or_default());
    }

    /// Whether the report does not include an order that the instance has accepted. An instance that
    /// restarted without a start time counts anew as well; it is silent until it is added again.
    fn is_from_before_an_order(&self, report: &InstanceReport) -> bool {
        self.sequence
            .is_some_and(|accepted| report.sequence < accepted)
    }

    /// Whether the last change is old enough for a report to include it.
    fn is_settled(&self, now: Timestamp) -> bool {
        self.changed_at
            .is_none_or(|changed| now.since(changed) >= REPORT_LAG)
    }

    /// Applies the outcome of an order; returns whether the order was certainly not started.
    pub(in crate::placement) fn on_outcome(
        &mut self,
        order: &Order,
        outcome: OrderOutcome,
        engine: Option<&Engine>,
        now: Timestamp,
    ) -> bool {
        self.sent_order = None;
        match outcome {
            OrderOutcome::Accepted => {
                self.sequence = self.sequence.map(|sequence| sequence + 1);
                self.apply_accepted(&order.action, engine, now);
                false
            }
            OrderOutcome::AlreadyDone => {
                self.apply_already_done(&order.action, now);
                true
            }
            OrderOutcome::Conflict | OrderOutcome::Refused => {
                self.sequence = None;
                self.next_call_at = now + QUERY_DELAY_AFTER_CONFLICT;
                true
            }
            OrderOutcome::NotSent | OrderOutcome::OtherInstance => {
                self.next_call_at = now + RETRY_DELAY;
                true
            }
            OrderOutcome::Unreachable => {
                self.report_unreachable(LEADER, now);
                self.reservation = None;
                self.next_call_at = now + UNREACHABLE_DELAY;
                true
            }
            OrderOutcome::Unknown => {
                self.sequence = None;
                self.unanswered_sequence = Some(order.expected_sequence);
                self.changed_at = Some(now);
                self.next_call_at = now + QUERY_DELAY_AFTER_UNKNOWN;
                false
            }
        }
    }

    /// Starts a backoff of the instance. A load that it was reserved for may go to another one.
    pub(in crate::placement) fn start_backoff(&mut self, duration: Millis, now: Timestamp) {
        self.reservation = None;
        self.next_call_at = self.next_call_at.max(now.surely_after(duration));
    }

    pub(super) fn apply_accepted(
        &mut self,
        action: &OrderAction,
        engine: Option<&Engine>,
        now: Timestamp,
    ) {
        self.changed_at = Some(now);
        let specification = engine.and_then(|engine| engine.model(action.model().as_str()));
        match action {
            OrderAction::LoadModel(model) => {
                let source = self.cached.source(model);
                let load_time =
                    specification.map_or(DEFAULT_LOAD_TIME, |one| source.load_time(one));
                if let Some(engine) = engine {
                    self.cached.record_load_start(model, engine);
                    self.record_loaded_size(model, engine);
                }
                self.running = Some(RunningOrder {
                    action: action.clone(),
                    started_at: now,
                    due: now + load_time,
                    source: Some(source),
                });
                if self.reserved_for() == Some(model) {
                    self.reservation = None;
                }
            }
            OrderAction::UnloadModel(model) => {
                if let Some(held) = self.held.get_mut(model) {
                    held.unloading = true;
                }
                self.running = Some(RunningOrder {
                    action: action.clone(),
                    started_at: now,
                    due: now,
                    source: None,
                });
            }
            OrderAction::LoadAdapter(model, adapter) => {
                let size_mb = specification.map_or(0.0, |one| one.adapter_mb);
                let load_time = ADAPTER_BASE_MS + size_mb * ADAPTER_MS_PER_MB;
                let entry = Adapter {
                    ready_at: now + Millis(load_time as u64),
                    used_at: now,
                };
                if let Some(held) = self.held.get_mut(model) {
                    held.adapters.insert(adapter.clone(), entry);
                }
            }
            OrderAction::UnloadAdapter(model, adapter) => self.remove_adapter(model, adapter),
        }
    }

    /// Time of a load of the model on this instance at full speed.
    pub(in crate::placement) fn load_time(&self, one: &ModelSpecification) -> Millis {
        self.cached.source(&one.name).load_time(one)
    }

    /// Takes the load that has ended since the last call.
    pub(in crate::placement) fn take_finished_load(&mut self) -> Option<FinishedLoad> {
        self.finished_load.take()
    }

    /// Whether a load from the weight store may be in progress.
    pub(in crate::placement) fn may_load_from_store(&self) -> bool {
        let running = self.running.as_ref().and_then(|running| running.source);
        self.sent_order.is_some()
            || self.unanswered_sequence.is_some()
            || running == Some(LoadSource::Store)
    }

    pub(super) fn apply_already_done(&mut self, action: &OrderAction, now: Timestamp) {
        match action {
            OrderAction::LoadModel(model) => {
                let held = self.held.entry(model.clone()).or_default();
                held.unloading = false;
                self.reservation = None;
            }
            OrderAction::UnloadModel(model) => {
                self.held.remove(model);
                self.remove_size(model);
            }
            OrderAction::LoadAdapter(model, adapter) => {
                let entry = Adapter {
                    ready_at: now,
                    used_at: now,
                };
                if let Some(held) = self.held.get_mut(model) {
                    held.adapters.insert(adapter.clone(), entry);
                }
            }
            OrderAction::UnloadAdapter(model, adapter) => {
                self.sequence = self.sequence.map(|sequence| sequence + 1);
                self.remove_adapter(model, adapter);
            }
        }
        self.changed_at = Some(now);
    }

    /// The model that is being loaded.
    pub(in crate::placement) fn loading(&self) -> Option<&ModelName> {
        let running = self.running.as_ref()?;
        running.action.loads().then(|| running.action.model())
    }

    /// The model that the instance is reserved for.
    pub(in crate::placement) fn reserved_for(&self) -> Option<&ModelName> {
        self.reservation
            .as_ref()
            .map(|reservation| &reservation.model)
    }

    /// Time until the load that the instance is reserved for is expected to end.
    pub(in crate::placement) fn reserved_model_due_in(&self, now: Timestamp) -> Millis {
        let reservation = self.reservation.as_ref();
        reservation.map_or(Millis(0), |reservation| {
            reservation.due.since(now).max(MIN_WAIT)
        })
    }

    /// Reserves the instance for a model that is expected to be loaded at `due`.
    pub(in crate::placement) fn reserve_for(
        &mut self,
        model: &ModelName,
        due: Timestamp,
        now: Timestamp,
    ) {
        self.reservation = Some(Reservation {
            model: model.clone(),
            until: now + RESERVATION_LIMIT,
            due,
        });
    }

    /// Time since the last order, or since the instance was added.
    pub(in crate::placement) fn idle_for(&self, now: Timestamp) -> Millis {
        now.since(self.changed_at.unwrap_or(self.added_at))
    }

    /// Time until an order may be sent; `None` for a leaving instance.
    pub(in crate::placement) fn available_after(&self, now: Timestamp) -> Option<Millis> {
        if self.can_take_order(now) {
            return Some(Millis(0));
        }
        if self.state != InstanceState::Ready {
            return None;
        }
        let available_after = match &self.running {
            None => MIN_WAIT,
            Some(running) => running.due.since(now).max(MIN_WAIT),
        };
        Some(available_after)
    }

    /// Models that are queued for the weight store without a load target, with the times at which
    /// they are expected; sent to routers in the view of this instance.
    pub(in crate::placement) fn announced(&self) -> &BTreeMap<ModelName, Timestamp> {
        &self.announced
    }

    /// Replaces these announcements; returns whether they have changed.
    pub(in crate::placement) fn announce(&mut self, due: BTreeMap<ModelName, Timestamp>) -> bool {
        let changed = self.announced != due;
        self.announced = due;
        changed
    }

    pub(in crate::placement) fn expire_reservation(&mut self, now: Timestamp) {
        if self.reservation.as_ref().is_some_and(|one| one.until < now) {
            self.reservation = None;
        }
    }

    pub(in crate::placement) fn clear_reservation(&mut self) {
        self.reservation = None;
    }

    /// Whether an order may be sent now, once its sequence number is known.
    pub(in crate::placement) fn can_take_order(&self, now: Timestamp) -> bool {
        self.state == InstanceState::Ready
            && self.sent_order.is_none()
            && self.running.is_none()
            && !self.query_in_flight
            && now >= self.next_call_at
    }

    /// Whether the end of an order is overdue and the instance should be queried.
    pub(in crate::placement) fn is_overdue(&self, now: Timestamp) -> bool {
        let overdue = self
            .running
            .as_ref()
            .is_some_and(|running| now >= running.due + OVERDUE_MARGIN);
        overdue && !self.query_in_flight && now >= self.next_call_at
    }

    /// Whether a registration disputes what orders and reports established, and the instance should
    /// be queried.
    pub(in crate::placement) fn needs_report(&self, now: Timestamp) -> bool {
        self.is_disputed && self.is_settled(now) && self.can_take_order(now)
    }

    pub(in crate::placement) fn sequence(&self) -> Option<u64> {
        self.sequence
    }

    pub(in crate::placement) fn start_query(&mut self) {
        self.query_in_flight = true;
    }

    pub(in crate::placement) fn start_order(&mut self, action: OrderAction) {
        if let OrderAction::LoadModel(model) = &action {
            self.remove_size(model);
            self.last_load = Some(model.clone());
        }
        self.sent_order = Some(action);
    }
}
