//! What instances answer to orders and questions.

use super::PlacementEngine;
use super::event::{LoadEnd, PlacementEvent};
use super::instance::InstanceReport;
use super::order::{Order, OrderOutcome};
use courseshunt_types::{RunnerId, Timestamp};

impl PlacementEngine {
    /// Takes an instance's report.
    pub fn on_report(&mut self, id: &RunnerId, report: Option<InstanceReport>, now: Timestamp) {
        self.calls = self.calls.saturating_sub(1);
        let configuration = self.configuration.clone();
        let other_life =
            |report: &InstanceReport| report.started.is_some() && report.started != id.started();
        let report = report.filter(|report| !other_life(report));
        let reported = self.instances.update(id, now, |instance| {
            let engine = configuration.engine(&instance.registration().service);
            instance.on_report(report, engine, now);
        });
        if reported.is_none() {
            return;
        }
        self.waits |= self.set_aside.contains(id);
        self.note_finished_load(id, now);
        self.changed.insert(id.clone());
    }

    /// Takes note of a load that an instance has just ended.
    pub(super) fn note_finished_load(&mut self, id: &RunnerId, now: Timestamp) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        let Some(finished) = instance.take_finished() else {
            return;
        };
        let store = self.stores.get_mut(&instance.registration().service);
        let (store_loads, store_limit) = store.map_or((0.0, 0), |store| store.ended(id, now));
        self.events.push(PlacementEvent::LoadEnded(LoadEnd {
            instance: id.clone(),
            model: finished.model,
            source: finished.source,
            duration: finished.took,
            store_loads,
            store_limit,
        }));
    }

    /// What has happened since the last call, for records.
    pub fn take_events(&mut self) -> Vec<PlacementEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes the outcome of an order.
    pub fn on_outcome(&mut self, order: &Order, outcome: OrderOutcome, now: Timestamp) {
        self.calls = self.calls.saturating_sub(1);
        if outcome == OrderOutcome::OtherInstance {
            self.remove(&order.instance);
            return;
        }
        let Some(instance) = self.instances.get(&order.instance) else {
            return;
        };
        let service = instance.registration().service.clone();
        let engine = self.configuration.engine(&service);
        let ended = self.instances.update(&order.instance, now, |instance| {
            instance.on_outcome(order, outcome, engine, now)
        });
        let never_started = ended == Some(true);
        let counted = order.from_store && never_started;
        if counted && let Some(store) = self.stores.get_mut(&service) {
            store.not_begun(&order.instance, now);
        }
        self.waits |= self.set_aside.contains(&order.instance);
        self.changed.insert(order.instance.clone());
    }
}
