//! Applies the answers of instances to orders and queries.

use super::PlacementEngine;
use super::event::{LoadEnd, PlacementEvent};
use super::instance::InstanceReport;
use super::order::{Order, OrderOutcome};
use courseshunt_types::{RunnerId, Timestamp};

impl PlacementEngine {
    /// Applies the answer to a query; `None` if there was no usable answer.
    pub fn on_report(&mut self, id: &RunnerId, report: Option<InstanceReport>, now: Timestamp) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        let configuration = self.configuration.clone();
        // The start time of an instance is unknown while it registers at controllers of the previous
        // release.
        let is_other_incarnation = |report: &InstanceReport| {
            let known = id.started();
            known.is_some() && report.started.is_some() && report.started != known
        };
        let report = report.filter(|report| !is_other_incarnation(report));
        let reported = self.instances.update(id, now, |instance| {
            let engine = configuration.engine(&instance.registration().service);
            instance.on_report(report, engine, now);
        });
        if reported.is_none() {
            return;
        }
        self.waiting_round_needed |= self.reserved.contains(id);
        self.record_finished_load(id, now);
        self.changed.insert(id.clone());
    }

    /// Records the load that an instance has just finished, if any.
    pub(super) fn record_finished_load(&mut self, id: &RunnerId, now: Timestamp) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        let Some(finished) = instance.take_finished_load() else {
            return;
        };
        let store = self.stores.get_mut(&instance.registration().service);
        let (store_loads, store_limit) = store.map_or((0.0, 0), |store| store.finish(id, now));
        self.events.push(PlacementEvent::LoadEnded(LoadEnd {
            instance: id.clone(),
            model: finished.model,
            source: finished.source,
            duration: finished.duration,
            store_loads,
            store_limit,
        }));
    }

    /// Events since the last call, for records.
    pub fn take_events(&mut self) -> Vec<PlacementEvent> {
        std::mem::take(&mut self.events)
    }

    /// Applies the outcome of an order.
    pub fn on_outcome(&mut self, order: &Order, outcome: OrderOutcome, now: Timestamp) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        if outcome == OrderOutcome::OtherInstance {
            self.remove(&order.instance);
            return;
        }
        let Some(instance) = self.instances.get(&order.instance) else {
            return;
        };
        let service = instance.registration().service.clone();
        let engine = self.configuration.engine(&service);
        let cancelled = self.instances.update(&order.instance, now, |instance| {
            instance.on_outcome(order, outcome, engine, now)
        });
        let is_cancelled = cancelled == Some(true);
        let counts_for_store = order.from_store && is_cancelled;
        if counts_for_store && let Some(store) = self.stores.get_mut(&service) {
            store.cancel(&order.instance, now);
        }
        self.waiting_round_needed |= self.reserved.contains(&order.instance);
        self.changed.insert(order.instance.clone());
    }
}
