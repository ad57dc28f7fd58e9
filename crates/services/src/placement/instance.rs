//! One instance as the leader believes it to be: what it registered, corrected
//! by the orders given since.

use super::{Order, OrderAction, OrderOutcome};
use crate::configuration::{Engine, ModelSpecification};
use crate::instance::{InstanceState, InstanceView, Registration, ResidentModel};
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};
use std::collections::BTreeMap;

/// A registration may be so old when it arrives; what was ordered within this
/// time is believed rather than the registration.
const REGISTRATION_LAG: Millis = Millis(2_500);
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
/// Routers that must have failed to reach an instance before it is doubted.
const DOUBTING_ROUTERS: usize = 2;
/// Time for which such a failure counts.
const DOUBT_KEPT: Millis = Millis(4_000);
/// Least silence of an instance that is doubted.
const DOUBT_SILENCE: Millis = Millis(1_300);
/// Time that the evictions before a load take, about.
const EVICTION_TIME: Millis = Millis(100);
/// Longest time that an instance stays set aside for a model.
const INTENT_LIMIT: Millis = Millis(8_000);
/// Time of an adapter's load besides the transfer.
const ADAPTER_BASE_MS: f64 = 6.0;
/// Time of an adapter's load for each MB.
const ADAPTER_MS_PER_MB: f64 = 0.25;
/// How much later than computed a load may end before the instance is asked.
const LOAD_GRACE: Millis = Millis(150);
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
    /// Adapters being loaded, with their models.
    pub pending: Vec<(ModelName, String)>,
}

/// A model on the instance.
#[derive(Debug, Clone, Default)]
pub(super) struct Held {
    version: u64,
    adapters: BTreeMap<String, Adapter>,
    since: Timestamp,
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
    due: Timestamp,
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
    intent: Option<Intent>,
    /// Whether a load began since the last registration: it may have evicted
    /// copies that the registration names.
    loaded_since: bool,
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
    pub(super) fn new(registration: Registration, now: Timestamp) -> Self {
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
            intent: None,
            loaded_since: false,
            not_reached: BTreeMap::new(),
            registration,
        };
        let models = instance.registration.models.clone();
        instance.believe(&models, &[], now);
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
        let news = self.state != InstanceState::Leaving;
        self.state = InstanceState::Leaving;
        news
    }

    pub(super) fn register(&mut self, registration: Registration, now: Timestamp) -> bool {
        if registration.sequence <= self.registration.sequence {
            return false;
        }
        self.heard_at = now;
        let before = self.view(now);
        if registration.state == InstanceState::Leaving {
            self.leave();
        }
        self.not_reached.clear();
        self.registration = registration;
        self.loaded_since = false;
        self.reconcile(now);
        let after = self.view(now);
        before != after
    }

    /// Compares what the instance says with what is believed.
    fn reconcile(&mut self, now: Timestamp) {
        let models = self.registration.models.clone();
        if let Some(work) = &self.work {
            let name = work.action.model();
            let there = models.iter().any(|model| model.name == *name);
            let done = work.action.loads() == there;
            if done {
                self.finish_work(now);
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

    fn finish_work(&mut self, now: Timestamp) {
        let Some(work) = self.work.take() else {
            return;
        };
        let model = work.action.model().clone();
        match work.action.loads() {
            true => {
                let held = self.held.entry(model).or_default();
                held.since = now;
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

    pub(super) fn on_report(&mut self, report: Option<InstanceReport>, now: Timestamp) {
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
                self.finish_work(now);
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
        if !report.busy && fresh {
            self.unanswered = None;
            self.sequence = Some(report.sequence);
            if self.sent.is_none() {
                self.believe(&report.models, &report.pending, now);
            }
        }
    }

    /// Takes an outcome; returns whether a load surely did not start.
    pub(super) fn on_outcome(
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
            OrderOutcome::Unknown => {
                self.sequence = None;
                self.unanswered = Some(order.expected);
                self.changed_at = Some(now);
                self.ask_after = now + ASK_AFTER_UNKNOWN;
                false
            }
        }
    }

    fn accepted(&mut self, action: &OrderAction, engine: Option<&Engine>, now: Timestamp) {
        self.changed_at = Some(now);
        let specification = engine.and_then(|engine| engine.model(action.model().as_str()));
        match action {
            OrderAction::LoadModel(model) => {
                self.loaded_since = true;
                let time = specification.map_or(Millis(1_000), |one| self.load_time(one, model));
                self.work = Some(Work {
                    action: action.clone(),
                    due: now + time,
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
                    due: now,
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

    fn load_time(&self, one: &ModelSpecification, model: &ModelName) -> Millis {
        if self.registration.copies_in_memory.contains(model) {
            one.warm_load_time
        } else if self.registration.copies_on_disk.contains(model) {
            one.disk_load_time
        } else {
            one.load_time
        }
    }

    fn already_done(&mut self, action: &OrderAction, now: Timestamp) {
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

    fn drop_adapter(&mut self, model: &ModelName, adapter: &str) {
        if let Some(held) = self.held.get_mut(model) {
            held.adapters.remove(adapter);
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
        let coming = work.into_iter().chain(intent);
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

    /// The model that is being loaded.
    pub(super) fn loading(&self) -> Option<&ModelName> {
        let work = self.work.as_ref()?;
        work.action.loads().then(|| work.action.model())
    }

    /// The model that the instance is set aside for.
    pub(super) fn intent(&self) -> Option<&ModelName> {
        self.intent.as_ref().map(|intent| &intent.model)
    }

    pub(super) fn set_intent(&mut self, one: &ModelSpecification, now: Timestamp) {
        self.intent = Some(Intent {
            model: one.name.clone(),
            until: now + INTENT_LIMIT,
            due: now + self.load_time(one, &one.name) + EVICTION_TIME,
        });
    }

    pub(super) fn drop_old_intent(&mut self, now: Timestamp) {
        if self.intent.as_ref().is_some_and(|one| one.until < now) {
            self.intent = None;
        }
    }

    pub(super) fn clear_intent(&mut self) {
        self.intent = None;
    }

    /// Models held that requests may still be sent for.
    pub(super) fn held(&self) -> impl Iterator<Item = (&ModelName, &Held)> {
        let kept = |name: &ModelName, held: &Held| !held.unloading && !self.is_unload_sent(name);
        self.held
            .iter()
            .filter(move |(name, held)| kept(name, held))
    }

    fn is_unload_sent(&self, model: &ModelName) -> bool {
        self.sent.as_ref() == Some(&OrderAction::UnloadModel(model.clone()))
    }

    /// Whether it holds the model and is not giving it up.
    pub(super) fn has(&self, model: &ModelName) -> bool {
        let held = self.held.get(model);
        held.is_some_and(|held| !held.unloading) && !self.is_unload_sent(model)
    }

    /// Whether the adapter is there or on its way.
    pub(super) fn has_adapter(&self, model: &ModelName, adapter: &str) -> bool {
        let sent = self.sent.as_ref().is_some_and(|sent| {
            sent.loads() && sent.model() == model && sent.adapter() == Some(adapter)
        });
        let held = self.held.get(model);
        sent || held.is_some_and(|held| held.adapters.contains_key(adapter))
    }

    /// Adapters with their models, the one on its way included.
    pub(super) fn all_adapters(&self) -> impl Iterator<Item = (&ModelName, &str)> {
        let held = self.held.iter().flat_map(|(model, held)| {
            let adapters = held.adapters.keys();
            adapters.map(move |adapter| (model, adapter.as_str()))
        });
        let sent = self.sent.iter().filter(|sent| sent.loads());
        let sent = sent.filter_map(|sent| Some((sent.model(), sent.adapter()?)));
        held.chain(sent)
    }

    /// Adapters there or on their way.
    pub(super) fn adapters(&self) -> u32 {
        let counts = self.held.values().map(|held| held.adapters.len());
        u32::try_from(counts.sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// The adapter that was loaded longest ago.
    pub(super) fn oldest_adapter(
        &self,
        now: Timestamp,
        least_age: Millis,
    ) -> Option<(ModelName, String)> {
        let all = self.held.iter().flat_map(|(model, held)| {
            let adapters = held.adapters.iter();
            adapters.map(move |(name, one)| (one.used_at, model, name))
        });
        let old = all.filter(|(used, _, _)| now.since(*used) >= least_age);
        let oldest = old.min_by_key(|(used, _, _)| *used)?;
        Some((oldest.1.clone(), oldest.2.clone()))
    }

    /// Notes that requests for an adapter arrive.
    pub(super) fn touch_adapter(&mut self, model: &ModelName, adapter: &str, now: Timestamp) {
        if let Some(held) = self.held.get_mut(model)
            && let Some(one) = held.adapters.get_mut(adapter)
        {
            one.used_at = now;
        }
    }

    /// How long the model has been there.
    pub(super) fn held_for(&self, model: &ModelName, now: Timestamp) -> Millis {
        let held = self.held.get(model);
        held.map_or(Millis(0), |held| now.since(held.since))
    }

    /// Memory in use or promised, in MB.
    pub(super) fn memory_mb(&self, engine: &Engine) -> f64 {
        let held = self.held.iter().map(|(name, held)| {
            let Some(one) = engine.model(name.as_str()) else {
                return 0.0;
            };
            one.memory_mb + one.adapter_mb * held.adapters.len() as f64
        });
        let loading = self
            .loading()
            .filter(|model| !self.held.contains_key(*model));
        let loading = loading.and_then(|model| engine.model(model.as_str()));
        held.sum::<f64>() + loading.map_or(0.0, |one| one.memory_mb)
    }

    pub(super) fn copy_in_memory(&self, model: &ModelName) -> bool {
        !self.loaded_since && self.registration.copies_in_memory.contains(model)
    }

    pub(super) fn copy_on_disk(&self, model: &ModelName) -> bool {
        !self.loaded_since && self.registration.copies_on_disk.contains(model)
    }

    /// Whether an order may be given now (once its number is known).
    pub(super) fn is_free(&self, now: Timestamp) -> bool {
        self.state == InstanceState::Ready
            && self.sent.is_none()
            && self.work.is_none()
            && !self.asking
            && now >= self.ask_after
    }

    /// Whether the end of an order is overdue and should be asked for.
    pub(super) fn is_overdue(&self, now: Timestamp) -> bool {
        let overdue = self
            .work
            .as_ref()
            .is_some_and(|work| now >= work.due + LOAD_GRACE);
        overdue && !self.asking && now >= self.ask_after
    }

    pub(super) fn sequence(&self) -> Option<u64> {
        self.sequence
    }

    pub(super) fn start_asking(&mut self) {
        self.asking = true;
    }

    pub(super) fn start_order(&mut self, action: OrderAction) {
        self.sent = Some(action);
    }

    /// The next moment at which an adapter becomes ready.
    pub(super) fn next_ready(&self, now: Timestamp) -> Option<Timestamp> {
        let adapters = self.held.values().flat_map(|held| held.adapters.values());
        let pending = adapters.filter(|one| one.ready_at > now);
        pending.map(|one| one.ready_at).min()
    }
}
