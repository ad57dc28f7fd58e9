//! Requests of a router of the previous release wait beside an instance that could serve them: the
//! instance is presented under an alias, and only as long as that helps.

use courseshunt_services::instance_aliases::{FleetState, RouterAliases, RouterReport, aliases_of};
use courseshunt_services::{
    InstanceDirectory, InstanceState, InstanceUsage, InstanceView, ModelDemand, ResidentModel,
};
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// Time between two reports.
const INTERVAL: Millis = Millis(120);

fn view(id: RunnerId, models: &[&str]) -> InstanceView {
    let models = models.iter().map(|name| ResidentModel {
        name: ModelName::from(*name),
        version: 1,
        adapters: vec!["x".to_owned()],
    });
    InstanceView {
        id,
        service: "s".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: Zone::from("z"),
        slots: 2,
        state: InstanceState::Ready,
        models: models.collect(),
        loading: Vec::new(),
    }
}

fn holder() -> RunnerId {
    RunnerId::of_incarnation("i-1", 1_000)
}

fn demand(model: &str, waiting: u32) -> ModelDemand {
    ModelDemand {
        service: "s".to_owned(),
        model: model.to_owned(),
        adapter: None,
        arrivals: 0,
        tokens: 0,
        objective_ms: 0,
        late: 0,
        waiting,
    }
}

/// A fleet, a router of it, and the time.
struct Scene {
    instances: InstanceDirectory,
    hidden: BTreeSet<RunnerId>,
    in_flight: BTreeMap<RunnerId, u32>,
    usage: Vec<InstanceUsage>,
    unreachable: Vec<RunnerId>,
    aliases: RouterAliases,
    now: Timestamp,
    held: BTreeSet<RunnerId>,
    presented: usize,
}

impl Scene {
    fn new() -> Self {
        let mut instances = InstanceDirectory::default();
        instances.change(vec![view(holder(), &["m", "n"])], Vec::new());
        Self {
            instances,
            hidden: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            usage: Vec::new(),
            unreachable: Vec::new(),
            aliases: RouterAliases::default(),
            now: Timestamp(10_000),
            held: BTreeSet::new(),
            presented: 0,
        }
    }

    fn fleet(&self) -> FleetState<'_> {
        FleetState {
            instances: &self.instances,
            hidden: &self.hidden,
            in_flight: &self.in_flight,
        }
    }

    /// The router reports so many times in a row; it holds the aliases that it is sent.
    fn report(&mut self, demand: &ModelDemand, times: usize) {
        for _ in 0..times {
            let demand = std::slice::from_ref(demand);
            let report = RouterReport {
                usage: &self.usage,
                demand,
                unreachable: &self.unreachable,
            };
            let mut aliases = self.aliases.clone();
            let step = aliases.on_report(&report, &self.fleet(), self.now);
            self.aliases = aliases;
            self.presented += step.presentations.len();
            for id in &step.changes.gone {
                assert!(self.held.remove(id), "{id} was presented");
            }
            for view in step.changes.changed {
                assert!(view.holds("m", None));
                assert!(!view.holds("n", None), "the model that requests wait for");
                self.held.insert(view.id);
            }
            let known: BTreeSet<RunnerId> = self.aliases.presented().cloned().collect();
            assert_eq!(known, self.held);
            self.now = self.now + INTERVAL;
        }
    }
}

#[test]
fn an_instance_beside_which_requests_wait_is_presented_under_an_alias() {
    let mut scene = Scene::new();
    scene.report(&demand("m", 1), 2);
    assert!(scene.held.is_empty(), "requests that are about to be sent");
    scene.report(&demand("m", 1), 1);
    let alias = scene.held.first().expect("an alias").clone();
    assert_eq!(alias.as_str(), "i-1 ");
    scene.report(&demand("m", 0), 1);
    assert!(scene.held.is_empty(), "nothing waits");
}

/// A request that is turned away under one alias is sent to the next one.
#[test]
fn an_alias_that_does_not_help_is_replaced_by_another_one_after_a_growing_delay() {
    let mut scene = Scene::new();
    let mut seen = Vec::new();
    for _ in 0..80 {
        scene.report(&demand("m", 1), 1);
        let held = scene.held.first().cloned();
        if held.is_some() && seen.last() != held.as_ref() {
            seen.extend(held);
        }
    }
    let all: BTreeSet<RunnerId> = aliases_of(&holder()).collect();
    assert_eq!(seen.iter().cloned().collect::<BTreeSet<_>>(), all);
    // 9.6 s: the delays are 0.24 s twice, 0.48, 0.96 and then 1.92 s.
    assert!((5..=7).contains(&scene.presented), "{}", scene.presented);
}

#[test]
fn nothing_is_presented_while_no_instance_could_serve_the_request() {
    type Obstacle = fn(&mut Scene);
    let obstacles: [(&str, Obstacle); 7] = [
        ("its slots are taken", |scene| {
            scene.in_flight.insert(holder(), 2);
        }),
        ("it is hidden", |scene| {
            scene.hidden.insert(holder());
        }),
        ("it is not reached", |scene| {
            scene.unreachable.push(holder());
        }),
        ("the router has its share", |scene| {
            scene.usage.push(InstanceUsage {
                instance: holder(),
                in_flight: 2,
                prompt_tokens: 0,
            });
        }),
        ("it drains", |scene| {
            let mut draining = view(holder(), &["m", "n"]);
            draining.state = InstanceState::Draining;
            scene.instances.change(vec![draining], Vec::new());
        }),
        ("it no longer holds the model", |scene| {
            let other = view(holder(), &["n"]);
            scene.instances.change(vec![other], Vec::new());
        }),
        ("it is gone", |scene| {
            scene.instances.change(Vec::new(), vec![holder()]);
        }),
    ];
    for (name, obstacle) in obstacles {
        let mut scene = Scene::new();
        obstacle(&mut scene);
        scene.report(&demand("m", 1), 20);
        assert_eq!(scene.presented, 0, "{name}");
    }
    let mut scene = Scene::new();
    let adapter = Some("y".to_owned());
    let wanted = ModelDemand {
        adapter,
        ..demand("m", 1)
    };
    scene.report(&wanted, 20);
    assert_eq!(scene.presented, 0, "it does not hold the adapter");
}

/// Streams on a busy model waited until the end of a stop, since their router had other requests at
/// its only holder.
#[test]
fn an_instance_with_free_slots_is_presented_to_a_router_that_uses_it() {
    let mut scene = Scene::new();
    let roomy = InstanceView {
        slots: 8,
        ..view(holder(), &["m", "n"])
    };
    scene.instances.change(vec![roomy], Vec::new());
    scene.in_flight.insert(holder(), 5);
    scene.usage.push(InstanceUsage {
        instance: holder(),
        in_flight: 3,
        prompt_tokens: 0,
    });
    scene.report(&demand("m", 1), 3);
    assert_eq!(scene.held.len(), 1);
}

/// A router sent requests to an instance that drained, under an alias that nobody had withdrawn.
#[test]
fn the_alias_of_an_instance_that_drains_is_withdrawn_at_once() {
    let mut scene = Scene::new();
    scene.report(&demand("m", 1), 3);
    assert_eq!(scene.held.len(), 1);
    let mut aliases = scene.aliases.clone();
    assert!(aliases.withdraw_unserved(&scene.fleet()).is_empty());
    let mut draining = view(holder(), &["m", "n"]);
    draining.state = InstanceState::Draining;
    scene.instances.change(vec![draining], Vec::new());
    let gone = aliases.withdraw_unserved(&scene.fleet());
    assert_eq!(gone, scene.held.iter().cloned().collect::<Vec<_>>());
    assert_eq!(aliases.presented().count(), 0);
}

#[test]
fn aliases_are_withdrawn_when_the_router_has_to_follow_another_controller() {
    let mut scene = Scene::new();
    scene.report(&demand("m", 1), 3);
    let gone = scene.aliases.withdraw_all();
    assert_eq!(gone, scene.held.iter().cloned().collect::<Vec<_>>());
}
