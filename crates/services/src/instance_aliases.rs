//! Aliases of instances, for routers of an earlier release whose requests wait beside an instance
//! that could serve them.
//!
//! Such a router excludes an instance that turned a request away from all further attempts of that
//! request, by the instance's identity. If no other instance holds the model, the request waits for most of
//! its time, and a planned stop of the router ends it without an answer. The controller that feeds
//! the router sees that requests wait for a model which a ready instance with room holds, and
//! presents this instance under a second identity, which the request may be sent to.
//!
//! Invariant: an alias is the name of the instance followed by spaces. An HTTP server ignores
//! whitespace around a field value (RFC 9110, section 5.5), so that the instance finds its own name
//! in the request, and another instance at its address rejects the request.

use crate::feed::{InstanceUsage, ModelDemand};
use crate::instance::{InstanceState, InstanceView};
use crate::instance_directory::{InstanceChanges, InstanceDirectory};
use courseshunt_types::{Millis, RunnerId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Time that requests wait beside a holder before its first alias is presented: an instance
/// turns requests away for as long as an order that concerns them is in progress.
const FIRST_DELAY: Millis = Millis(240);
/// Maximum time between two aliases for the same model; the delay doubles up to it.
const MAX_DELAY: Millis = Millis(1_920);
/// Time after which an alias is withdrawn although requests still wait.
const PRESENTATION_TIME: Millis = Millis(360);
/// Aliases of one instance. A request is sent to at most this many before its router sends it to
/// the instance itself again.
const MAX_ALIASES: usize = 4;

const PADDING: char = ' ';

/// The alias of an instance with this number, from 1 on.
fn alias_of(instance: &RunnerId, number: usize) -> RunnerId {
    let padding = PADDING.to_string().repeat(number);
    RunnerId::from(format!("{}{padding}", instance.name()))
}

/// All aliases that an instance may have.
pub fn aliases_of(instance: &RunnerId) -> impl Iterator<Item = RunnerId> + '_ {
    (1..=MAX_ALIASES).map(|number| alias_of(instance, number))
}

/// A router's report, with identities of instances in place of names and aliases.
#[derive(Debug, Clone, Copy)]
pub struct RouterReport<'a> {
    /// Requests of the router, by instance.
    pub usage: &'a [InstanceUsage],
    /// The router's demand.
    pub demand: &'a [ModelDemand],
    /// Instances that the router cannot reach.
    pub unreachable: &'a [RunnerId],
}

impl RouterReport<'_> {
    fn in_flight(&self, instance: &RunnerId) -> u32 {
        let usage = self.usage.iter().find(|one| one.instance == *instance);
        usage.map_or(0, |one| one.in_flight)
    }

    fn models_waited_for(&self) -> BTreeSet<ModelKey> {
        let waiting = self.demand.iter().filter(|one| one.waiting > 0);
        waiting.map(ModelKey::of).collect()
    }
}

/// The model that requests of a router wait for, with the adapter if they name one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ModelKey {
    service: String,
    model: String,
    adapter: Option<String>,
}

impl ModelKey {
    fn of(demand: &ModelDemand) -> Self {
        Self {
            service: demand.service.clone(),
            model: demand.model.clone(),
            adapter: demand.adapter.clone(),
        }
    }
}

/// The state of the fleet from which an instance is chosen.
#[derive(Debug, Clone, Copy)]
pub struct FleetState<'a> {
    /// The instances that routers are sent.
    pub instances: &'a InstanceDirectory,
    /// Instances that routers of the previous release are not sent.
    pub hidden: &'a BTreeSet<RunnerId>,
    /// Requests in flight at each instance, of all routers.
    pub in_flight: &'a BTreeMap<RunnerId, u32>,
}

impl FleetState<'_> {
    /// The least used instance that could serve a waiting request of the router.
    fn candidate(&self, key: &ModelKey, report: &RouterReport<'_>) -> Option<&InstanceView> {
        let holders = self.instances.holders(&key.service, &key.model);
        let usable = holders.filter(|view| {
            self.serves(view, key)
                && !report.unreachable.contains(&view.id)
                && self.total_in_flight(&view.id) < view.slots
                && report.in_flight(&view.id) < view.slots
        });
        usable.min_by_key(|view| self.total_in_flight(&view.id))
    }

    fn serves(&self, view: &InstanceView, key: &ModelKey) -> bool {
        view.state == InstanceState::Ready
            && !self.hidden.contains(&view.id)
            && view.holds(&key.model, key.adapter.as_deref())
    }

    fn total_in_flight(&self, instance: &RunnerId) -> u32 {
        self.in_flight.get(instance).copied().unwrap_or(0)
    }
}

/// An alias that the router was sent and that is not withdrawn yet.
#[derive(Debug, Clone)]
struct PresentedAlias {
    alias: RunnerId,
    instance: RunnerId,
    presented_at: Timestamp,
}

/// Requests of a router that wait for one model beside an instance that could serve them.
#[derive(Debug, Clone)]
struct Wait {
    began_at: Timestamp,
    next_alias_at: Timestamp,
    delay: Millis,
    presented: Option<PresentedAlias>,
}

/// A new alias, for the records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Presentation {
    /// The instance.
    pub instance: RunnerId,
    /// Its service.
    pub service: String,
    /// The model that requests wait for.
    pub model: String,
    /// Time since requests of the router were first seen to wait beside the instance.
    pub waited: Millis,
}

/// What has to be sent to the router after a report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AliasStep {
    /// Views of new aliases, and aliases to remove.
    pub changes: InstanceChanges,
    /// The new aliases.
    pub presentations: Vec<Presentation>,
}

/// The aliases that one router of the previous release has been sent.
#[derive(Debug, Clone, Default)]
pub struct RouterAliases {
    waits: BTreeMap<ModelKey, Wait>,
    /// Number of the last alias. It increases over all instances, so that a request which was
    /// turned away under one alias is offered another one.
    last_number: usize,
}

impl RouterAliases {
    /// Evaluates a report of the router: presents aliases of instances beside which its requests
    /// wait, and withdraws aliases that are no longer needed.
    pub fn on_report(
        &mut self,
        report: &RouterReport<'_>,
        fleet: &FleetState<'_>,
        now: Timestamp,
    ) -> AliasStep {
        let mut step = AliasStep::default();
        let waiting = report.models_waited_for();
        self.end_waits(&waiting, &mut step);
        for key in waiting {
            match fleet.candidate(&key, report) {
                Some(view) => self.advance_wait(key, view, now, &mut step),
                None => self.end_wait(&key, &mut step),
            }
        }
        step
    }

    fn end_waits(&mut self, waiting: &BTreeSet<ModelKey>, step: &mut AliasStep) {
        let ended = self.waits.keys().filter(|key| !waiting.contains(key));
        let ended: Vec<ModelKey> = ended.cloned().collect();
        for key in ended {
            self.end_wait(&key, step);
        }
    }

    fn end_wait(&mut self, key: &ModelKey, step: &mut AliasStep) {
        let wait = self.waits.remove(key);
        let presented = wait.and_then(|wait| wait.presented);
        step.changes.gone.extend(presented.map(|one| one.alias));
    }

    fn advance_wait(
        &mut self,
        key: ModelKey,
        view: &InstanceView,
        now: Timestamp,
        step: &mut AliasStep,
    ) {
        let wait = self.waits.entry(key.clone()).or_insert(Wait {
            began_at: now,
            next_alias_at: now + FIRST_DELAY,
            delay: FIRST_DELAY,
            presented: None,
        });
        let is_over = |one: &mut PresentedAlias| now.since(one.presented_at) >= PRESENTATION_TIME;
        if let Some(presented) = wait.presented.take_if(is_over) {
            step.changes.gone.push(presented.alias);
            wait.next_alias_at = now + wait.delay;
            wait.delay = Millis(wait.delay.0 * 2).min(MAX_DELAY);
        }
        if wait.presented.is_some() || now < wait.next_alias_at {
            return;
        }
        self.last_number = self.last_number % MAX_ALIASES + 1;
        let shown = alias_view(view, &key, self.last_number);
        wait.presented = Some(PresentedAlias {
            alias: shown.id.clone(),
            instance: view.id.clone(),
            presented_at: now,
        });
        step.changes.changed.push(shown);
        step.presentations.push(Presentation {
            instance: view.id.clone(),
            service: key.service,
            model: key.model,
            waited: now.since(wait.began_at),
        });
    }

    /// Withdraws the aliases of instances that no longer serve the model; returns the aliases.
    pub fn withdraw_unserved(&mut self, fleet: &FleetState<'_>) -> Vec<RunnerId> {
        let mut gone = Vec::new();
        self.waits.retain(|key, wait| {
            let Some(presented) = &wait.presented else {
                return true;
            };
            let view = fleet.instances.get(&presented.instance);
            if view.is_some_and(|view| fleet.serves(view, key)) {
                return true;
            }
            gone.push(presented.alias.clone());
            false
        });
        gone
    }

    /// Withdraws all aliases; returns them.
    pub fn withdraw_all(&mut self) -> Vec<RunnerId> {
        let waits = std::mem::take(&mut self.waits);
        let presented = waits.into_values().filter_map(|wait| wait.presented);
        presented.map(|one| one.alias).collect()
    }

    /// The aliases that the router holds.
    pub fn presented(&self) -> impl Iterator<Item = &RunnerId> {
        let waits = self.waits.values();
        let presented = waits.filter_map(|wait| wait.presented.as_ref());
        presented.map(|one| &one.alias)
    }
}

/// A view that shows an instance under an alias, and of its models only the one that requests
/// wait for.
fn alias_view(view: &InstanceView, key: &ModelKey, number: usize) -> InstanceView {
    let models = view.models.iter();
    let models = models.filter(|model| model.name.as_str() == key.model);
    InstanceView {
        id: alias_of(&view.id, number),
        models: models.cloned().collect(),
        loading: Vec::new(),
        ..view.clone()
    }
}
