//! Prints the time of the operations whose work grows with the fleet, without I/O, for 3,000,
//! 10,000 and 20,000 instances and 299 models: `cargo run --release -p courseshunt-services
//! --example fleet_costs`. Milliseconds on one dedicated core; the median of 7 runs.

use courseshunt_instance_load::{InstanceLoad, LoadReport, ModelPauses};
use courseshunt_services::{
    CachedWeights, Engine, InstanceDigests, InstanceDirectory, InstanceState, InstanceView,
    ModelDemand, ModelSpecification, PlacementEngine, PlacementSettings, Registration,
    ResidentModel, Service, ServiceConfiguration,
};
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp, Zone};
use std::sync::Arc;
use std::time::Instant;

const SIZES: [u32; 3] = [3_000, 10_000, 20_000];
const MODELS: u32 = 299;
const RUNS: usize = 7;
const NOW: Timestamp = Timestamp(100_000);
/// Time from which a new leader may load from the weight store: its rate limiter starts empty.
const STORE_READY: Timestamp = Timestamp(101_000);

fn configuration() -> Arc<ServiceConfiguration> {
    configuration_with(MODELS)
}

/// Demand of one request that is waiting for a model.
fn demand(model: u32) -> ModelDemand {
    ModelDemand {
        service: "service".to_owned(),
        model: format!("model-{model}"),
        adapter: None,
        arrivals: 1,
        tokens: 100,
        objective_ms: 1_000,
        late: 0,
        waiting: 1,
    }
}

fn configuration_with(models: u32) -> Arc<ServiceConfiguration> {
    let models = (0..models).map(|number| ModelSpecification {
        name: ModelName::from(format!("model-{number}")),
        memory_mb: 60_000.0,
        load_time: Millis(6_000),
        warm_load_time: Millis(600),
        disk_load_time: Millis(800),
        adapters: (0..3).map(|adapter| format!("a{adapter}")).collect(),
        adapter_mb: 60.0,
    });
    let engine = Engine {
        slots: 64,
        memory_mb: 200_000.0,
        adapter_slots: 8,
        kv_capacity_tokens: None,
        loads_per_second: 2_800.0,
        cache_memory_mb: 140_000.0,
        cache_disk_mb: 470_000.0,
        models: models.map(|one| (one.name.0.clone(), one)).collect(),
        earlier_sizes: std::collections::BTreeMap::new(),
    };
    Arc::new(ServiceConfiguration {
        number: 1,
        services: vec![Service {
            name: "service".to_owned(),
            max_connections: 2_100,
            health_path: None,
            engine: Some(engine),
        }],
        ..ServiceConfiguration::default()
    })
}

fn registration(number: u32, sequence: u64) -> Registration {
    let model = |offset| ResidentModel {
        name: ModelName::from(format!("model-{}", (number * 3 + offset) % MODELS)),
        version: 1,
        adapters: vec!["a0".to_owned(), "a1".to_owned()],
    };
    Registration {
        id: RunnerId(format!("i-{number:010x}")),
        service: "service".to_owned(),
        address: format!(
            "10.{}.{}.{}:8080",
            number / 40_000,
            number / 200 % 200,
            number % 200
        ),
        zone: Zone::from("zone"),
        slots: 64,
        state: InstanceState::Ready,
        sequence,
        remaining: None,
        models: vec![model(0), model(1), model(2)],
        cached_weights: CachedWeights::default(),
    }
}

fn engine(instances: u32) -> PlacementEngine {
    let mut engine = PlacementEngine::new(PlacementSettings::default());
    engine.configure(configuration(), NOW);
    for number in 0..instances {
        engine.register(registration(number, 1), NOW);
    }
    engine
}

/// The same fleet when streams of all models pause.
fn pausing_engine(instances: u32) -> PlacementEngine {
    let mut engine = engine(instances);
    let demands = (0..MODELS).map(|model| ModelDemand {
        waiting: 0,
        ..demand(model)
    });
    engine.report_usage("router", Vec::new(), &demands.collect::<Vec<_>>(), NOW);
    let pauses = (0..MODELS).map(|model| ModelPauses {
        service: "service".to_owned(),
        model: format!("model-{model}"),
        streams: 10,
        paused: 1,
    });
    engine.report_pauses(&pauses.collect::<Vec<_>>(), NOW);
    engine
}

/// Load entries of all instances.
fn loads(instances: u32) -> Vec<InstanceLoad> {
    let report = |number| LoadReport {
        running: number % 64,
        waiting: 0,
        slots: 64,
        work_percent: 100,
    };
    let loads = (0..instances).map(|number| InstanceLoad {
        instance: registration(number, 1).id,
        report: Some((report(number), Millis(100))),
        held_tokens: number % 64 * 2_000,
        slowness_permille: Some(800 + number % 1_000),
    });
    loads.collect()
}

/// The median time of `work` on a new result of `prepare`, in milliseconds.
fn median_ms<T>(prepare: impl Fn() -> T, mut work: impl FnMut(&mut T)) -> f64 {
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let mut prepared = prepare();
            let started = Instant::now();
            work(&mut prepared);
            started.elapsed().as_secs_f64() * 1_000.0
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}

fn main() {
    println!(
        "instances | seed views | re-register all | planning round | with demand and pauses | with loads too | round for a waiting request | next ready, 1,000 calls | apply all views | digests"
    );
    for instances in SIZES {
        let views: Vec<InstanceView> = engine(instances).views(NOW);
        let seed = median_ms(
            || {
                let mut empty = PlacementEngine::new(PlacementSettings::default());
                empty.configure(configuration(), NOW);
                empty
            },
            |engine| {
                for view in &views {
                    engine.seed(view, NOW);
                }
            },
        );
        let reregister = median_ms(
            || engine(instances),
            |engine| {
                for number in 0..instances {
                    engine.register(registration(number, 2), NOW);
                }
            },
        );
        let round = median_ms(|| engine(instances), |engine| drop(engine.plan(NOW)));
        let pausing_round = median_ms(
            || pausing_engine(instances),
            |engine| drop(engine.plan(NOW)),
        );
        let loaded_round = median_ms(
            || (pausing_engine(instances), loads(instances)),
            |(engine, loads)| {
                engine.set_instance_loads(std::mem::take(loads), NOW);
                drop(engine.plan(NOW));
            },
        );
        let waiting = median_ms(
            || {
                let mut engine = engine(instances);
                drop(engine.plan(NOW));
                engine.configure(configuration_with(MODELS + 1), NOW);
                drop(engine.plan(NOW));
                let waiting = demand(MODELS);
                engine.report_usage("router", Vec::new(), &[waiting], STORE_READY);
                engine
            },
            |engine| {
                assert_eq!(
                    engine.plan_for_waiting(STORE_READY).len(),
                    1,
                    "a load target was found"
                )
            },
        );
        let ready = median_ms(
            || engine(instances),
            |engine| {
                for _ in 0..1_000 {
                    std::hint::black_box(engine.next_adapter_ready());
                }
            },
        );
        let apply = median_ms(InstanceDirectory::default, |directory| {
            std::hint::black_box(directory.change(views.clone(), Vec::new()));
        });
        let digests = median_ms(|| (), |()| drop(InstanceDigests::of(&views)));
        println!(
            "{instances} | {seed:.1} | {reregister:.1} | {round:.1} | {pausing_round:.1} | {loaded_round:.1} | {waiting:.2} | {ready:.3} | {apply:.1} | {digests:.1}"
        );
    }
}
