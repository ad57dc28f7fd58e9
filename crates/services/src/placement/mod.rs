//! Decides which instances hold which models and adapters, and follows what
//! becomes of the orders.
//!
//! Invariants: one order at a time is under way to an instance, each carries
//! the number of orders that the instance is known to have taken; an instance
//! is never ordered to hold more than its memory and adapter places allow,
//! counting orders whose outcome is unknown; loads from the weight store keep
//! the store's ceiling.

mod adapters;
mod candidates;
mod demand;
mod event;
mod evictions;
mod instance;
mod instances;
mod lives;
mod order;
mod outcomes;
mod places;
mod planning;
mod round;
mod store;
mod usage;
mod waited;
mod worth;

pub use event::{LoadEnd, PlacementEvent, SetAside};
pub use instance::{InstanceReport, LoadSource};
pub use order::{Order, OrderAction, OrderEvidence, OrderOutcome, PlacementStep};

use crate::configuration::ServiceConfiguration;
use crate::instance::{CachedWeights, InstanceState, InstanceView, Registration};
use crate::relay::RelayedRegistration;
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp};
use demand::DemandTable;
use instance::Instance;
use instances::InstanceTable;
use lives::{Life, Lives};
use round::Round;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use store::WeightStore;
use usage::UsageTable;

/// Settings of the engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementSettings {
    /// An instance that was silent for so long is taken for dead.
    pub silence_limit: Millis,
    /// Span over which the weight store's ceiling is judged.
    pub ceiling_window: Millis,
    /// Part of an instance's reading speed that one copy of a model may use.
    pub copy_utilisation: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            silence_limit: Millis(5_000),
            ceiling_window: Millis(5_000),
            copy_utilisation: 0.33,
        }
    }
}

/// See the module.
#[derive(Debug)]
pub struct PlacementEngine {
    settings: PlacementSettings,
    configuration: Arc<ServiceConfiguration>,
    instances: InstanceTable,
    lives: Lives,
    departed: BTreeMap<RunnerId, Timestamp>,
    /// Instances that were dropped for their silence, and when.
    fell_silent: BTreeMap<RunnerId, Timestamp>,
    /// Instances that said that they leave; late registrations may say otherwise.
    leaving: BTreeSet<RunnerId>,
    /// Requests a second that instances take which name a limit.
    limits: BTreeMap<RunnerId, f64>,
    demand: DemandTable,
    /// When the first demand was reported.
    demand_since: Option<Timestamp>,
    usage: UsageTable,
    /// Adapters that were asked for since the last round.
    asked_adapters: BTreeMap<(ModelName, String), Timestamp>,
    /// What the round rests on that is under way.
    round: Arc<Round>,
    /// What the last round of each service rested on, with what was ordered since.
    rounds: BTreeMap<String, Arc<Round>>,
    /// Instances that were set aside for a model; some may be so no more.
    set_aside: BTreeSet<RunnerId>,
    /// Whether requests were told to wait, or an instance that is set aside took a step,
    /// since the last round of any kind.
    waits: bool,
    /// By service.
    stores: BTreeMap<String, WeightStore>,
    events: Vec<PlacementEvent>,
    /// When instances were last looked at for their silence.
    expired_at: Timestamp,
    /// Steps of which no outcome is known yet.
    calls: usize,
    changed: BTreeSet<RunnerId>,
    gone: Vec<RunnerId>,
}

/// How long an instance that left is remembered, so that a late registration
/// doesn't bring it back.
const DEPARTED_KEPT: Millis = Millis(30_000);

/// Time between looks at the silence of all instances: a small part of the silence that
/// counts, which is several registrations long.
const EXPIRY_INTERVAL: Millis = Millis(100);

impl PlacementEngine {
    /// An engine that knows nothing yet.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            configuration: Arc::default(),
            instances: InstanceTable::default(),
            lives: Lives::default(),
            departed: BTreeMap::new(),
            fell_silent: BTreeMap::new(),
            leaving: BTreeSet::new(),
            limits: BTreeMap::new(),
            demand: DemandTable::default(),
            demand_since: None,
            usage: UsageTable::default(),
            asked_adapters: BTreeMap::new(),
            round: Arc::default(),
            rounds: BTreeMap::new(),
            set_aside: BTreeSet::new(),
            waits: false,
            stores: BTreeMap::new(),
            events: Vec::new(),
            expired_at: Timestamp::default(),
            calls: 0,
            changed: BTreeSet::new(),
            gone: Vec::new(),
        }
    }

    /// Takes a newer configuration over.
    pub fn configure(&mut self, configuration: Arc<ServiceConfiguration>, now: Timestamp) {
        self.rounds.clear();
        for service in &configuration.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            let window = self.settings.ceiling_window;
            let store = self
                .stores
                .entry(service.name.clone())
                .or_insert_with(|| WeightStore::new(engine.loads_per_second, window, now));
            store.set_rate(engine.loads_per_second, window, now);
        }
        self.configuration = configuration;
    }

    /// Takes a registration; returns whether it was news.
    pub fn register(&mut self, mut registration: Registration, now: Timestamp) -> bool {
        let id = registration.id.clone();
        match self.lives.note(&id) {
            Life::Earlier => return false,
            Life::Begins { ended: Some(ended) } => self.depart(&ended, now),
            Life::Begins { ended: None } | Life::Newest => {}
        }
        if self.leaving.contains(&id) {
            registration.state = InstanceState::Draining;
        }
        if self.departed.contains_key(&id) || self.is_outdated(&registration, now) {
            return false;
        }
        let configuration = self.configuration.clone();
        let engine = configuration.engine(&registration.service);
        let news = match self.instances.contains(&id) {
            true => {
                let register = |one: &mut Instance| one.register(registration, engine, now);
                self.instances.update(&id, now, register) == Some(true)
            }
            false => {
                self.drop_reused_address(&registration, now);
                self.fell_silent.remove(&id);
                let instance = Instance::new(registration, engine, now);
                self.instances.insert(instance, now);
                true
            }
        };
        self.waits |= news && self.set_aside.contains(&id);
        self.note_finished_load(&id, now);
        if news {
            self.changed.insert(id);
        }
        news
    }

    /// Takes a registration that another controller took; returns whether it was
    /// news.
    ///
    /// # Errors
    /// The instance, when it repeats a registration that is not the last one
    /// known here.
    pub fn register_relayed(
        &mut self,
        relayed: RelayedRegistration,
        now: Timestamp,
    ) -> Result<bool, RunnerId> {
        let registration = match relayed {
            RelayedRegistration::Full(registration) => registration,
            RelayedRegistration::Unchanged {
                id,
                sequence,
                previous_sequence,
            } => match self.repeated(&id, previous_sequence) {
                Some(known) => Registration {
                    sequence,
                    ..known.clone()
                },
                None if self.departed.contains_key(&id) => return Ok(false),
                None => return Err(id),
            },
        };
        if registration.state == InstanceState::Draining {
            self.leave(&registration.id);
        }
        Ok(self.register(registration, now))
    }

    /// The last registration of an instance, if it has this number.
    fn repeated(&self, id: &RunnerId, sequence: u64) -> Option<&Registration> {
        let known = self.instances.get(id).map(Instance::registration);
        known.filter(|known| known.sequence == sequence)
    }

    /// Takes over what an earlier leader recorded of an instance; one that is
    /// known already stays as it is.
    pub fn seed(&mut self, view: &InstanceView, now: Timestamp) {
        let known = self.instances.contains(&view.id);
        if known || self.leaving.contains(&view.id) || view.state == InstanceState::Draining {
            return;
        }
        let registration = Registration {
            id: view.id.clone(),
            service: view.service.clone(),
            address: view.address.clone(),
            zone: view.zone.clone(),
            slots: view.slots,
            state: view.state,
            sequence: 0,
            remaining: None,
            models: view.models.clone(),
            cached_weights: CachedWeights::default(),
        };
        self.register(registration, now);
    }

    /// An address belongs to the instance that registered it last.
    fn drop_reused_address(&mut self, registration: &Registration, now: Timestamp) {
        let same = self.instances.at_address(&registration.address);
        let replaced = same.filter(|one| one.may_be_replaced(now));
        let replaced: Vec<RunnerId> = replaced.map(|one| one.id().clone()).collect();
        for id in replaced {
            self.fall_silent(id, now);
        }
    }

    /// Drops an instance that is not heard any more.
    fn fall_silent(&mut self, id: RunnerId, now: Timestamp) {
        self.remove(&id);
        self.fell_silent.insert(id, now);
    }

    /// Whether a registration was held up on its way: its sender fell silent, and another
    /// instance is heard at its address. It is left out only as long as that one is
    /// heard, since either of the two may be the one that was held up.
    fn is_outdated(&self, registration: &Registration, now: Timestamp) -> bool {
        let mut others = self.instances.at_address(&registration.address);
        self.fell_silent.contains_key(&registration.id)
            && others.any(|other| !other.may_be_replaced(now))
    }

    /// Notes that an instance takes no more work.
    pub fn leave(&mut self, id: &RunnerId) {
        let id = &self.lives.newest(id).clone();
        self.leaving.insert(id.clone());
        match self.instances.get_mut(id) {
            Some(instance) => {
                if instance.leave() {
                    self.changed.insert(id.clone());
                }
            }
            // Routers may know it from an earlier leader.
            None => self.gone.push(id.clone()),
        }
    }

    /// Notes that an instance said in an answer that it takes no more work; returns whether
    /// that is news. It is not committed: who heard it tells the next leader again.
    pub fn leaves_by_its_word(&mut self, id: &RunnerId) -> bool {
        let instance = self.instances.get(id);
        let is_news = instance.is_some_and(|one| one.state() == InstanceState::Ready);
        if is_news {
            self.leave(id);
        }
        is_news
    }

    /// Takes over which instances name a limit, in requests a second from all routers.
    pub fn set_limits(&mut self, limits: BTreeMap<RunnerId, f64>) {
        self.limits = limits;
    }

    /// Notes that an instance asked for rest: it is neither asked nor ordered anything.
    pub fn asked_rest(&mut self, id: &RunnerId, rest: Millis, now: Timestamp) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.asked_rest(rest, now);
        }
    }

    /// Notes that an instance has ended, or is about to.
    pub fn depart(&mut self, id: &RunnerId, now: Timestamp) {
        let id = &self.lives.newest(id).clone();
        self.departed.insert(id.clone(), now);
        self.leaving.insert(id.clone());
        self.remove(id);
    }

    /// Drops an instance; routers may know it also where this leader doesn't.
    fn remove(&mut self, id: &RunnerId) {
        self.instances.remove(id);
        self.changed.remove(id);
        self.gone.push(id.clone());
    }

    /// Drops instances that fell silent; looks at all of them a few times a second at the
    /// most, however often it is called.
    pub fn expire(&mut self, now: Timestamp) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        self.departed.retain(|_, at| now.since(*at) < DEPARTED_KEPT);
        let limit = self.settings.silence_limit;
        let silent = self.instances.values();
        let silent = silent.filter(|instance| instance.silent_for(now) > limit);
        let silent: Vec<RunnerId> = silent.map(|one| one.id().clone()).collect();
        for id in silent {
            self.fall_silent(id, now);
        }
        self.fell_silent
            .retain(|_, at| now.since(*at) < DEPARTED_KEPT);
        let (instances, departed, silent) = (&self.instances, &self.departed, &self.fell_silent);
        self.lives.retain(|id| {
            instances.contains(id) || departed.contains_key(id) || silent.contains_key(id)
        });
    }

    /// Takes a router's report.
    pub fn report_usage(
        &mut self,
        router: &str,
        usage: Vec<crate::feed::InstanceUsage>,
        demand: &[crate::feed::ModelDemand],
        now: Timestamp,
    ) {
        for one in demand.iter().filter(|one| one.arrivals > 0) {
            let Some(adapter) = &one.adapter else {
                continue;
            };
            let model = ModelName::from(one.model.as_str());
            self.asked_adapters.insert((model, adapter.clone()), now);
        }
        self.waits |= demand.iter().any(|one| one.waiting > 0);
        if self.demand_since.is_none() && !demand.is_empty() {
            self.demand_since = Some(now);
        }
        self.usage.record(router, usage);
        self.demand.record(router, demand, now);
    }

    /// Notes that a router could not reach instances.
    pub fn report_unreachable(&mut self, router: &str, instances: &[RunnerId], now: Timestamp) {
        for id in instances {
            if let Some(instance) = self.instances.get_mut(id) {
                instance.not_reached_by(router, now);
            }
        }
    }

    /// Forgets a router that is gone.
    pub fn forget_router(&mut self, router: &str) {
        self.usage.forget(router);
        self.demand.forget(router);
    }

    /// Usage summed over all routers.
    #[must_use]
    pub fn usage_of_all(&self) -> Vec<crate::feed::InstanceUsage> {
        self.usage.all()
    }

    /// Views of all instances.
    #[must_use]
    pub fn views(&self, now: Timestamp) -> Vec<InstanceView> {
        let instances = self.instances.values();
        instances.map(|instance| instance.view(now)).collect()
    }

    /// Views that changed since the last call, and instances that are gone.
    pub fn take_changes(&mut self, now: Timestamp) -> (Vec<InstanceView>, Vec<RunnerId>) {
        let changed = std::mem::take(&mut self.changed);
        let changed = changed.iter().filter_map(|id| self.instances.get(id));
        let views = changed.map(|instance| instance.view(now)).collect();
        (views, std::mem::take(&mut self.gone))
    }

    /// Whether an instance is known.
    #[must_use]
    pub fn knows(&self, id: &RunnerId) -> bool {
        self.instances.contains(id)
    }

    /// All instances that are known.
    #[must_use]
    pub fn ids(&self) -> Vec<RunnerId> {
        self.instances.ids().cloned().collect()
    }

    /// Instances that are known.
    #[must_use]
    pub fn count(&self) -> usize {
        self.instances.len()
    }

    /// Whether the instance with this identity takes work.
    #[must_use]
    pub fn is_ready(&self, id: &RunnerId) -> bool {
        let instance = self.instances.get(id);
        instance.is_some_and(|one| one.state() == InstanceState::Ready)
    }
}
