//! One instance as the leader believes it to be: what it registered, corrected
//! by the orders given since.

mod copies;
mod holdings;
mod orders;

pub use copies::LoadSource;

use super::OrderAction;
use crate::configuration::Engine;
use crate::instance::{CachedWeights, InstanceState, InstanceView, Registration, ResidentModel};
use copies::Copies;
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};
use std::collections::BTreeMap;

/// A registration may be so old when it arrives; what was ordered within this
/// time is believed rather than the registration.
const REGISTRATION_LAG: Millis = Millis(2_500);
/// Routers that must have failed to reach an instance before it is doubted.
const DOUBTING_ROUTERS: usize = 2;
/// Time for which such a failure counts.
const DOUBT_KEPT: Millis = Millis(4_000);
/// Least silence of an instance that is doubted.
const DOUBT_SILENCE: Millis = Millis(1_300);
/// An instance that has no sign of life for so long may have been replaced.
const ONE_BEAT: Millis = Millis(1_000);

/// What an instance answers when asked.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InstanceReport {
    /// Models held.
    pub models: Vec<ResidentModel>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders taken.
    pub sequence: u64,
    /// The Unix millisecond of its start, if it tells: another one than that of its identity
    /// is another life's.
    pub started: Option<u64>,
    /// Adapters being loaded, with their models.
    pub pending: Vec<(ModelName, String)>,
    /// Weights that it can load without the weight store, if it tells.
    pub copies: Option<CachedWeights>,
}

/// A model on the instance.
#[derive(Debug, Clone, Default)]
pub(super) struct Held {
    version: u64,
    adapters: BTreeMap<String, Adapter>,
    since: Timestamp,
    /// How long its load took; zero if it was held from the start.
    load_took: Millis,
    pub(super) unloading: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Adapter {
    ready_at: Timestamp,
    used_at: Timestamp,
}

/// A model order under way.
#[derive(Debug, Clone)]
struct Work {
    action: OrderAction,
    began: Timestamp,
    due: Timestamp,
    /// Where a model's load takes the weights from.
    source: Option<LoadSource>,
}

/// A model's load that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct FinishedLoad {
    pub(super) model: ModelName,
    pub(super) source: LoadSource,
    pub(super) took: Millis,
}

/// See the module.
#[derive(Debug)]
pub struct Instance {
    registration: Registration,
    state: InstanceState,
    heard_at: Timestamp,
    held: BTreeMap<ModelName, Held>,
    sequence: Option<u64>,
    ask_after: Timestamp,
    /// Number that the last order carried, if that had no answer.
    unanswered: Option<u64>,
    asking: bool,
    sent: Option<OrderAction>,
    work: Option<Work>,
    changed_at: Option<Timestamp>,
    met_at: Timestamp,
    intent: Option<Intent>,
    announced: BTreeMap<ModelName, Timestamp>,
    copies: Copies,
    /// The load that ended last, until it is taken note of.
    finished: Option<FinishedLoad>,
    /// Routers that could not reach it since its last sign of life.
    not_reached: BTreeMap<String, Timestamp>,
}

/// A model that the instance is set aside for.
#[derive(Debug)]
struct Intent {
    model: ModelName,
    until: Timestamp,
    due: Timestamp,
}

impl Instance {
    pub(super) fn new(registration: Registration, engine: Option<&Engine>, now: Timestamp) -> Self {
        let mut instance = Self {
            state: registration.state,
            heard_at: now,
            held: BTreeMap::new(),
            sequence: None,
            ask_after: now,
            unanswered: None,
            asking: false,
            sent: None,
            work: None,
            changed_at: None,
            met_at: now,
            intent: None,
            announced: BTreeMap::new(),
            copies: Copies::default(),
            finished: None,
            not_reached: BTreeMap::new(),
            registration,
        };
        let models = instance.registration.models.clone();
        instance.believe(&models, &[], now);
        let told = &instance.registration.cached_weights;
        instance.copies.told(told, engine, now);
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

    pub(super) fn silent_for(&self, now: Timestamp) -> Millis {
        now.since(self.heard_at)
    }

    /// Whether another instance may have taken its address meanwhile.
    pub(super) fn may_be_replaced(&self, now: Timestamp) -> bool {
        self.silent_for(now) > ONE_BEAT
    }

    pub(super) fn not_reached_by(&mut self, router: &str, now: Timestamp) {
        self.not_reached.insert(router.to_owned(), now);
    }

    /// Whether it is likely dead: silent for longer than a registration takes,
    /// and not reached by several routers.
    pub(super) fn is_doubtful(&self, now: Timestamp) -> bool {
        let recent = self.not_reached.values();
        let recent = recent.filter(|at| now.since(**at) < DOUBT_KEPT).count();
        recent >= DOUBTING_ROUTERS && self.silent_for(now) >= DOUBT_SILENCE
    }

    pub(super) fn leave(&mut self) -> bool {
        let news = self.state != InstanceState::Draining;
        self.state = InstanceState::Draining;
        news
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
        self.heard_at = now;
        let before = self.view(now);
        if registration.state == InstanceState::Draining {
            self.leave();
        }
        self.not_reached.clear();
        self.registration = registration;
        self.reconcile(engine, now);
        let told = &self.registration.cached_weights;
        self.copies.told(told, engine, now);
        let after = self.view(now);
        before != after
    }

    /// Compares what the instance says with what is believed.
    fn reconcile(&mut self, engine: Option<&Engine>, now: Timestamp) {
        let models = self.registration.models.clone();
        if let Some(work) = &self.work {
            let name = work.action.model();
            let there = models.iter().any(|model| model.name == *name);
            let done = work.action.loads() == there;
            if done {
                self.finish_work(engine, now);
            }
        }
        let settled = self.work.is_none() && self.sent.is_none();
        let lag = self.changed_at.map(|at| now.since(at));
        if settled && lag.is_none_or(|lag| lag >= REGISTRATION_LAG) {
            self.believe(&models, &[], now);
        }
    }

    /// Takes over what the instance holds.
    fn believe(
        &mut self,
        models: &[ResidentModel],
        pending: &[(ModelName, String)],
        now: Timestamp,
    ) {
        let mut before = std::mem::take(&mut self.held);
        for model in models {
            let mut held = before.remove(&model.name).unwrap_or(Held {
                since: now,
                ..Held::default()
            });
            held.version = model.version;
            let known = std::mem::take(&mut held.adapters);
            for adapter in &model.adapters {
                let adapter_before = known.get(adapter).copied().unwrap_or(Adapter {
                    ready_at: now,
                    used_at: now,
                });
                held.adapters.insert(adapter.clone(), adapter_before);
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
        let work = self.work.as_ref().filter(|work| work.action.loads());
        let work = work.map(|work| (work.action.model(), work.due));
        let intent = self.intent.as_ref().map(|one| (&one.model, one.due));
        let announced = self.announced.iter().map(|(model, due)| (model, *due));
        let coming = work.into_iter().chain(intent).chain(announced);
        let loading = coming.map(|(model, due)| (model.clone(), due.since(now)));
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
