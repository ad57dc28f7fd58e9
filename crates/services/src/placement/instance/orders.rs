//! Orders to one instance: what was sent, what is under way, what the answers
//! and reports say about it.
//!
//! Invariant: an order is given only under a number that a report or an accepted
//! order has confirmed, so that the instance refuses it when another came first.

use super::{Adapter, FinishedLoad, Instance, InstanceReport, Intent, LoadSource, Work};
use crate::configuration::{Engine, ModelSpecification};
use crate::instance::InstanceState;
use crate::placement::{Order, OrderAction, OrderOutcome};
use courseshunt_types::{Millis, ModelName, Timestamp};
use std::collections::BTreeMap;

/// A report is so old when it arrives.
const REPORT_LAG: Millis = Millis(700);
/// Pause after a conflict before the instance is asked how it stands.
const ASK_AFTER_CONFLICT: Millis = Millis(300);
/// Pause after an order without an answer.
const ASK_AFTER_UNKNOWN: Millis = Millis(150);
/// Pause between questions while an order takes longer than expected.
const ASK_AGAIN: Millis = Millis(400);
/// Pause after an order that could not be sent.
const RETRY_PAUSE: Millis = Millis(250);
/// Pause after an order for which no connection could be made: a registration
/// comes meanwhile if the instance lives.
const UNREACHABLE_PAUSE: Millis = Millis(1_300);
/// Name under which the leader's own tries count beside those of the routers.
const LEADER: &str = "leader";
/// Longest time that an instance stays set aside for a model.
const INTENT_LIMIT: Millis = Millis(8_000);
/// Time of an adapter's load besides the transfer.
const ADAPTER_BASE_MS: f64 = 6.0;
/// Time of an adapter's load for each MB.
const ADAPTER_MS_PER_MB: f64 = 0.25;
/// An instance is free about so soon when it has only to be asked or to answer.
const SOON: Millis = Millis(100);
/// Time of a load of a model that the configuration doesn't name.
const UNKNOWN_LOAD_TIME: Millis = Millis(1_000);
/// How much later than computed a load may end before the instance is asked.
const LOAD_GRACE: Millis = Millis(150);

impl Instance {
    pub(super) fn finish_work(&mut self, engine: Option<&Engine>, now: Timestamp) {
        let Some(work) = self.work.take() else {
            return;
        };
        let model = work.action.model().clone();
        match work.action.loads() {
            true => {
                let took = now.since(work.began);
                if let Some(engine) = engine {
                    self.copies.load_ended(&model, engine, now);
                }
                self.finished = Some(FinishedLoad {
                    model: model.clone(),
                    source: work.source.unwrap_or(LoadSource::Store),
                    took,
                });
                let held = self.held.entry(model).or_default();
                held.since = now;
                held.load_took = took;
                held.unloading = false;
                if held.version == 0 {
                    held.version = 1;
                }
            }
            false => {
                self.held.remove(&model);
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
        self.asking = false;
        let Some(report) = report else {
            self.ask_after = now + ASK_AGAIN;
            return;
        };
        self.heard_at = now;
        let fresh = self
            .changed_at
            .is_none_or(|changed| now.since(changed) >= REPORT_LAG);
        if let Some(work) = &self.work {
            let name = work.action.model();
            let there = report.models.iter().any(|model| model.name == *name);
            if there == work.action.loads() {
                self.finish_work(engine, now);
            } else if !report.busy && fresh {
                self.work = None;
                for held in self.held.values_mut() {
                    held.unloading = false;
                }
            }
        }
        if !report.busy && !fresh && self.unanswered == Some(report.sequence) {
            // It was not taken when the report was made: what is believed still
            // holds, and an order under this number is refused if it has been
            // taken since.
            self.sequence = self.unanswered.take();
            return;
        }
        if report.busy || !fresh {
            self.ask_after = now + ASK_AGAIN;
        }
        if fresh && let Some(told) = &report.cached_weights {
            self.copies.told(told, engine, now);
        }
        if !report.busy && fresh {
            self.unanswered = None;
            self.sequence = Some(report.sequence);
            if self.sent.is_none() {
                self.believe(&report.models, &report.pending, now);
            }
        }
    }

    /// Takes an outcome; returns whether a load surely did not start.
    pub(in crate::placement) fn on_outcome(
        &mut self,
        order: &Order,
        outcome: OrderOutcome,
        engine: Option<&Engine>,
        now: Timestamp,
    ) -> bool {
        self.sent = None;
        match outcome {
            OrderOutcome::Accepted => {
                self.sequence = self.sequence.map(|sequence| sequence + 1);
                self.accepted(&order.action, engine, now);
                false
            }
            OrderOutcome::AlreadyDone => {
                self.already_done(&order.action, now);
                true
            }
            OrderOutcome::Conflict | OrderOutcome::Refused => {
                self.sequence = None;
                self.ask_after = now + ASK_AFTER_CONFLICT;
                true
            }
            OrderOutcome::NotSent | OrderOutcome::OtherInstance => {
                self.ask_after = now + RETRY_PAUSE;
                true
            }
            OrderOutcome::Unreachable => {
                self.not_reached_by(LEADER, now);
                self.intent = None;
                self.ask_after = now + UNREACHABLE_PAUSE;
                true
            }
            OrderOutcome::Unknown => {
                self.sequence = None;
                self.unanswered = Some(order.expected_sequence);
                self.changed_at = Some(now);
                self.ask_after = now + ASK_AFTER_UNKNOWN;
                false
            }
        }
    }

    /// Notes that it asked for rest. A load that was meant for it may go elsewhere.
    pub(in crate::placement) fn asked_rest(&mut self, rest: Millis, now: Timestamp) {
        self.intent = None;
        self.ask_after = self.ask_after.max(now.surely_after(rest));
    }

    pub(super) fn accepted(
        &mut self,
        action: &OrderAction,
        engine: Option<&Engine>,
        now: Timestamp,
    ) {
        self.changed_at = Some(now);
        let specification = engine.and_then(|engine| engine.model(action.model().as_str()));
        match action {
            OrderAction::LoadModel(model) => {
                let source = self.copies.source(model);
                let time = specification.map_or(UNKNOWN_LOAD_TIME, |one| source.load_time(one));
                if let Some(engine) = engine {
                    self.copies.load_began(model, engine);
                }
                self.work = Some(Work {
                    action: action.clone(),
                    began: now,
                    due: now + time,
                    source: Some(source),
                });
                if self.intent() == Some(model) {
                    self.intent = None;
                }
            }
            OrderAction::UnloadModel(model) => {
                if let Some(held) = self.held.get_mut(model) {
                    held.unloading = true;
                }
                self.work = Some(Work {
                    action: action.clone(),
                    began: now,
                    due: now,
                    source: None,
                });
            }
            OrderAction::LoadAdapter(model, adapter) => {
                let size = specification.map_or(0.0, |one| one.adapter_mb);
                let time = ADAPTER_BASE_MS + size * ADAPTER_MS_PER_MB;
                let entry = Adapter {
                    ready_at: now + Millis(time as u64),
                    used_at: now,
                };
                if let Some(held) = self.held.get_mut(model) {
                    held.adapters.insert(adapter.clone(), entry);
                }
            }
            OrderAction::UnloadAdapter(model, adapter) => self.drop_adapter(model, adapter),
        }
    }

    /// How long a load of the model takes here, when nothing stretches it.
    pub(in crate::placement) fn load_time(&self, one: &ModelSpecification) -> Millis {
        self.copies.source(&one.name).load_time(one)
    }

    /// The load that has ended since the last call.
    pub(in crate::placement) fn take_finished(&mut self) -> Option<FinishedLoad> {
        self.finished.take()
    }

    /// Whether a load from the weight store may be under way.
    pub(in crate::placement) fn may_load_from_store(&self) -> bool {
        let work = self.work.as_ref().and_then(|work| work.source);
        self.sent.is_some() || self.unanswered.is_some() || work == Some(LoadSource::Store)
    }

    pub(super) fn already_done(&mut self, action: &OrderAction, now: Timestamp) {
        match action {
            OrderAction::LoadModel(model) => {
                let held = self.held.entry(model.clone()).or_default();
                held.unloading = false;
                self.intent = None;
            }
            OrderAction::UnloadModel(model) => {
                self.held.remove(model);
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
                self.drop_adapter(model, adapter);
            }
        }
        self.changed_at = Some(now);
    }

    /// The model that is being loaded.
    pub(in crate::placement) fn loading(&self) -> Option<&ModelName> {
        let work = self.work.as_ref()?;
        work.action.loads().then(|| work.action.model())
    }

    /// The model that the instance is set aside for.
    pub(in crate::placement) fn intent(&self) -> Option<&ModelName> {
        self.intent.as_ref().map(|intent| &intent.model)
    }

    /// Sets the instance aside for a model that is expected there at `due`.
    /// Time until the model is there that it is set aside for.
    pub(in crate::placement) fn intent_after(&self, now: Timestamp) -> Millis {
        let intent = self.intent.as_ref();
        intent.map_or(Millis(0), |intent| intent.due.since(now).max(SOON))
    }

    pub(in crate::placement) fn set_intent(
        &mut self,
        model: &ModelName,
        due: Timestamp,
        now: Timestamp,
    ) {
        self.intent = Some(Intent {
            model: model.clone(),
            until: now + INTENT_LIMIT,
            due,
        });
    }

    /// Time since it was met or took an order.
    pub(in crate::placement) fn rested_for(&self, now: Timestamp) -> Millis {
        now.since(self.changed_at.unwrap_or(self.met_at))
    }

    /// Time until an order may be given; `None` for an instance that leaves.
    pub(in crate::placement) fn free_after(&self, now: Timestamp) -> Option<Millis> {
        if self.is_free(now) {
            return Some(Millis(0));
        }
        if self.state != InstanceState::Ready {
            return None;
        }
        let free_after = match &self.work {
            None => SOON,
            Some(work) => work.due.since(now).max(SOON),
        };
        Some(free_after)
    }

    /// Models that wait for the weight store without a place, with the times at
    /// which they are expected: told to routers along with this instance.
    pub(in crate::placement) fn announced(&self) -> &BTreeMap<ModelName, Timestamp> {
        &self.announced
    }

    /// Takes these over; returns whether they have changed.
    pub(in crate::placement) fn announce(&mut self, due: BTreeMap<ModelName, Timestamp>) -> bool {
        let changed = self.announced != due;
        self.announced = due;
        changed
    }

    pub(in crate::placement) fn drop_old_intent(&mut self, now: Timestamp) {
        if self.intent.as_ref().is_some_and(|one| one.until < now) {
            self.intent = None;
        }
    }

    pub(in crate::placement) fn clear_intent(&mut self) {
        self.intent = None;
    }

    /// Whether an order may be given now (once its number is known).
    pub(in crate::placement) fn is_free(&self, now: Timestamp) -> bool {
        self.state == InstanceState::Ready
            && self.sent.is_none()
            && self.work.is_none()
            && !self.asking
            && now >= self.ask_after
    }

    /// Whether the end of an order is overdue and should be asked for.
    pub(in crate::placement) fn is_overdue(&self, now: Timestamp) -> bool {
        let overdue = self
            .work
            .as_ref()
            .is_some_and(|work| now >= work.due + LOAD_GRACE);
        overdue && !self.asking && now >= self.ask_after
    }

    pub(in crate::placement) fn sequence(&self) -> Option<u64> {
        self.sequence
    }

    pub(in crate::placement) fn start_asking(&mut self) {
        self.asking = true;
    }

    pub(in crate::placement) fn start_order(&mut self, action: OrderAction) {
        self.sent = Some(action);
    }
}
