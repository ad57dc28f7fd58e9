//! State of one instance as seen by the leader: its last report, updated by the orders sent since. Its
//! registrations count only until the first report or order.
//!
//! Invariant: what orders and reports established is never taken back by a registration, which may
//! have been sent before them and arrive seconds late. A registration that differs leads to a query,
//! and the report decides: it carries the number of orders that its content includes.

mod cached_weights;
mod holdings;
mod memory;
mod orders;

pub use cached_weights::LoadSource;

use super::OrderAction;
use crate::configuration::Engine;
use crate::instance::{CachedWeights, InstanceState, InstanceView, Registration, ResidentModel};
use crate::model_sizes::ModelSize;
use cached_weights::WeightCache;
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};
use std::collections::BTreeMap;

/// Number of routers that must have failed to reach an instance before it is suspected to be dead.
const SUSPECT_ROUTERS: usize = 2;
/// Time for which such a failure counts.
const UNREACHABLE_VALIDITY: Millis = Millis(4_000);
/// Minimum silence of an instance that is suspected to be dead.
const SUSPECT_SILENCE: Millis = Millis(1_300);
/// An instance without a message for longer than this may have been replaced.
const REPLACEABLE_SILENCE: Millis = Millis(1_000);

/// Answer of an instance to a query.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InstanceReport {
    /// Models held.
    pub models: Vec<ResidentModel>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of accepted orders.
    pub sequence: u64,
    /// Start time of the instance in Unix milliseconds, if reported; if it differs from the start
    /// time in the instance's id, the report is from another incarnation.
    pub started: Option<u64>,
    /// Adapters that are being loaded, with their models.
    pub pending: Vec<(ModelName, String)>,
    /// Weights that the instance can load without the weight store, if reported.
    pub cached_weights: Option<CachedWeights>,
}

/// A model on the instance.
#[derive(Debug, Clone, Default)]
pub(super) struct HeldModel {
    version: u64,
    adapters: BTreeMap<String, Adapter>,
    since: Timestamp,
    /// Duration of its load; zero if it was already loaded when the instance was added.
    load_duration: Millis,
    pub(super) unloading: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Adapter {
    ready_at: Timestamp,
    used_at: Timestamp,
}

/// A load or unload of a model that the instance carries out.
#[derive(Debug, Clone)]
struct RunningOrder {
    action: OrderAction,
    started_at: Timestamp,
    due: Timestamp,
    /// Where a load takes the weights from; `None` for an unload.
    source: Option<LoadSource>,
}

/// The completed load of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct FinishedLoad {
    pub(super) model: ModelName,
    pub(super) source: LoadSource,
    pub(super) duration: Millis,
}

/// State of one instance; see the module.
#[derive(Debug)]
pub struct Instance {
    registration: Registration,
    state: InstanceState,
    last_contact_at: Timestamp,
    held: BTreeMap<ModelName, HeldModel>,
    sequence: Option<u64>,
    next_call_at: Timestamp,
    /// Sequence number of the last order, if that order was not answered.
    unanswered_sequence: Option<u64>,
    query_in_flight: bool,
    sent_order: Option<OrderAction>,
    running: Option<RunningOrder>,
    changed_at: Option<Timestamp>,
    /// The last registration differs from what orders and reports established, cached weights
    /// included.
    is_disputed: bool,
    added_at: Timestamp,
    reservation: Option<Reservation>,
    announced: BTreeMap<ModelName, Timestamp>,
    cached: WeightCache,
    /// The model that it was last ordered to load; without an answer, it may load it later.
    last_load: Option<ModelName>,
    /// Sizes that earlier configurations listed for the models on the instance.
    sizes: BTreeMap<ModelName, ModelSize>,
    /// The last completed load, until it is taken by [`Self::take_finished_load`].
    finished_load: Option<FinishedLoad>,
    /// Routers that could not reach the instance since its last registration, and when.
    unreachable_from: BTreeMap<String, Timestamp>,
}

/// Reservation of the instance for the load of a model.
#[derive(Debug)]
struct Reservation {
    model: ModelName,
    until: Timestamp,
    due: Timestamp,
}

impl Instance {
    pub(super) fn new(registration: Registration, now: Timestamp) -> Self {
        let mut instance = Self {
            state: registration.state,
            last_contact_at: now,
            held: BTreeMap::new(),
            sequence: None,
            next_call_at: now,
            unanswered_sequence: None,
            query_in_flight: false,
            sent_order: None,
            running: None,
            changed_at: None,
            is_disputed: false,
            added_at: now,
            reservation: None,
            announced: BTreeMap::new(),
            cached: WeightCache::default(),
            last_load: None,
            sizes: BTreeMap::new(),
            finished_load: None,
            unreachable_from: BTreeMap::new(),
            registration,
        };
        let models = instance.registration.models.clone();
        instance.replace_held(&models, &[], now);
        let listed = &instance.registration.cached_weights;
        instance.cached.replace(listed);
        instance
    }

    pub(super) fn registration(&self) -> &Registration {
        &self.registration
    }

    pub(super) fn address(&self) -> &str {
        &self.registration.address
    }

    pub(super) fn id(&self) -> &RunnerId {
        &self.registration.id
    }

    pub(super) fn state(&self) -> InstanceState {
        self.state
    }

    /// When the leader first knew of the instance.
    pub(super) fn added_at(&self) -> Timestamp {
        self.added_at
    }

    pub(super) fn silent_for(&self, now: Timestamp) -> Millis {
        now.since(self.last_contact_at)
    }

    /// Whether another instance may have taken its address meanwhile.
    pub(super) fn may_be_replaced(&self, now: Timestamp) -> bool {
        self.silent_for(now) > REPLACEABLE_SILENCE
    }

    pub(super) fn report_unreachable(&mut self, router: &str, now: Timestamp) {
        self.unreachable_from.insert(router.to_owned(), now);
    }

    /// Whether the instance is probably dead: silent for longer than a registration interval, and
    /// unreachable for several routers.
    pub(super) fn is_suspect(&self, now: Timestamp) -> bool {
        let recent = self.unreachable_from.values();
        let recent = recent
            .filter(|at| now.since(**at) < UNREACHABLE_VALIDITY)
            .count();
        recent >= SUSPECT_ROUTERS && self.silent_for(now) >= SUSPECT_SILENCE
    }

    pub(super) fn leave(&mut self) -> bool {
        let is_changed = self.state != InstanceState::Draining;
        self.state = InstanceState::Draining;
        is_changed
    }

    pub(super) fn register(
        &mut self,
        registration: Registration,
        engine: Option<&Engine>,
        now: Timestamp,
    ) -> bool {
        if registration.sequence <= self.registration.sequence {
            return false;
        }
        self.last_contact_at = now;
        let previous = self.view(now);
        if registration.state == InstanceState::Draining {
            self.leave();
        }
        self.unreachable_from.clear();
        self.registration = registration;
        self.reconcile(engine, now);
        let after = self.view(now);
        previous != after
    }

    /// Reconciles the instance's registration with its reports and the orders sent.
    fn reconcile(&mut self, engine: Option<&Engine>, now: Timestamp) {
        let models = self.registration.models.clone();
        let cached_weights = self.registration.cached_weights.clone();
        if let Some(running) = &self.running {
            let name = running.action.model();
            let is_held = models.iter().any(|model| model.name == *name);
            // Where the registration is from before the order, the instance refuses other orders
            // until this one has ended.
            if running.action.loads() == is_held {
                self.finish_order(engine, now);
                self.cached.retain_listed(&cached_weights);
            }
        }
        let is_idle = self.running.is_none() && self.sent_order.is_none();
        if self.sequence.is_none() {
            // The next order needs a report, which replaces the cached weights.
            self.cached.replace(&cached_weights);
        } else if self.running.is_some() {
            self.cached.list_during_order(&cached_weights);
        }
        if self.has_order_or_report() {
            let differs = self.differs_from(&models) || self.cached.differs_from(&cached_weights);
            self.is_disputed = is_idle && differs;
        } else if is_idle {
            self.replace_held(&models, &[], now);
        }
    }

    /// Whether this leader has had a report of the instance, or has sent it an order.
    fn has_order_or_report(&self) -> bool {
        self.sequence.is_some() || self.changed_at.is_some()
    }

    /// Whether the models, versions or adapters held differ from these.
    fn differs_from(&self, models: &[ResidentModel]) -> bool {
        let is_same = |model: &ResidentModel| {
            self.held.get(&model.name).is_some_and(|held| {
                let has_adapter = |adapter: &String| held.adapters.contains_key(adapter);
                held.version == model.version
                    && held.adapters.len() == model.adapters.len()
                    && model.adapters.iter().all(has_adapter)
            })
        };
        self.held.len() != models.len() || !models.iter().all(is_same)
    }

    /// Replaces the models and adapters held by those that the instance reports.
    fn replace_held(
        &mut self,
        models: &[ResidentModel],
        pending: &[(ModelName, String)],
        now: Timestamp,
    ) {
        let mut previous = std::mem::take(&mut self.held);
        for model in models {
            let mut held = previous.remove(&model.name).unwrap_or(HeldModel {
                since: now,
                ..HeldModel::default()
            });
            held.version = model.version;
            let previous_adapters = std::mem::take(&mut held.adapters);
            for adapter in &model.adapters {
                let adapter_state = previous_adapters.get(adapter).copied().unwrap_or(Adapter {
                    ready_at: now,
                    used_at: now,
                });
                held.adapters.insert(adapter.clone(), adapter_state);
            }
            self.held.insert(model.name.clone(), held);
        }
        for (model, adapter) in pending {
            if let Some(held) = self.held.get_mut(model) {
                let soon = Adapter {
                    ready_at: now + Millis(20),
                    used_at: now,
                };
                held.adapters.entry(adapter.clone()).or_insert(soon);
            }
        }
    }

    pub(super) fn view(&self, now: Timestamp) -> InstanceView {
        let held = self.held.iter().filter(|(_, held)| !held.unloading);
        let models = held.map(|(name, held)| {
            let ready = held.adapters.iter().filter(|(_, one)| one.ready_at <= now);
            ResidentModel {
                name: name.clone(),
                version: held.version,
                adapters: ready.map(|(name, _)| name.clone()).collect(),
            }
        });
        let running = self
            .running
            .as_ref()
            .filter(|running| running.action.loads());
        let running = running.map(|running| (running.action.model(), running.due));
        let reservation = self.reservation.as_ref().map(|one| (&one.model, one.due));
        let announced = self.announced.iter().map(|(model, due)| (model, *due));
        let pending_models = running.into_iter().chain(reservation).chain(announced);
        let loading = pending_models.map(|(model, due)| (model.clone(), due.since(now)));
        InstanceView {
            id: self.registration.id.clone(),
            service: self.registration.service.clone(),
            address: self.registration.address.clone(),
            zone: self.registration.zone.clone(),
            slots: self.registration.slots,
            state: self.state,
            models: models.collect(),
            loading: loading.collect(),
        }
    }
}
