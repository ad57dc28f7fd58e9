//! Prints the time that a router needs to choose an instance, for 830, 10,000 and 20,000
//! instances and 299 models: `cargo run --release -p courseshunt-services --example
//! choice_costs`. Microseconds on one dedicated core; the median of 1,001 choices. A rare model
//! is loaded on one instance in 100, the busy model on one in 10, and the replicated model on 20
//! instances; the service without models has one instance in 28. With reported load, selection
//! predicts pauses.

use courseshunt_instance_load::{InstanceLoad, LoadReport};
use courseshunt_services::{
    InstanceDirectory, InstanceState, InstanceUsage, InstanceView, PrefixPart, PromptShape,
    ResidentModel, SelectionRequest, Selector,
};
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp, Zone};
use std::time::Instant;

const SIZES: [u32; 3] = [830, 10_000, 20_000];
const MODELS: u32 = 298;
const CHOICES: u64 = 1_001;
const ROUTERS: u32 = 985;
/// Maximum number of requests in flight of this router at one instance.
const LOCAL_LIMIT: u32 = 40;
/// One instance in this number belongs to the service without models.
const PLAIN_INTERVAL: u32 = 28;
/// One instance with models in this number has the busy model loaded.
const BUSY_INTERVAL: u32 = 10;
/// Number of instances with the replicated model.
const REPLICAS: u32 = 20;
/// First instance with the replicated model, and the interval between them.
const FIRST_REPLICA: u32 = 1;
const REPLICA_INTERVAL: u32 = 29;
/// Memory of an engine, in tokens.
const KV_CAPACITY_TOKENS: u32 = 234_406;

fn model(name: String) -> ResidentModel {
    ResidentModel {
        name: ModelName(name),
        version: 1,
        adapters: vec!["a0".to_owned(), "a1".to_owned()],
    }
}

fn view(number: u32) -> InstanceView {
    let plain = number.is_multiple_of(PLAIN_INTERVAL);
    let mut models = Vec::new();
    if !plain {
        let rare = (0..3).map(|offset| (number * 3 + offset) % MODELS);
        models.extend(rare.map(|number| model(format!("rare-{number}"))));
        if number.is_multiple_of(BUSY_INTERVAL) {
            models.push(model("busy".to_owned()));
        }
        let replica = number.checked_sub(FIRST_REPLICA);
        let replica = replica.filter(|offset| offset.is_multiple_of(REPLICA_INTERVAL));
        if replica.is_some_and(|offset| offset / REPLICA_INTERVAL < REPLICAS) {
            models.push(model("replicated".to_owned()));
        }
    }
    InstanceView {
        id: RunnerId(format!("i-{number:010x}")),
        service: if plain { "plain" } else { "models" }.to_owned(),
        address: format!("10.0.{}.{}:8080", number / 200, number % 200),
        zone: Zone(format!("zone-{}", number % 4)),
        slots: 64,
        state: InstanceState::Ready,
        models,
        loading: Vec::new(),
    }
}

fn shape(model: &str, subject: u64) -> PromptShape {
    let parts = [(1, 2_000), (subject % 40, 4_000), (1_000 + subject, 3_000)];
    PromptShape {
        model: model.to_owned(),
        adapter: (!model.is_empty()).then(|| "a1".to_owned()),
        prompt_tokens: 9_000,
        output_tokens: 50,
        parts: parts.map(|(id, tokens)| PrefixPart { id, tokens }).to_vec(),
    }
}

/// The median time to choose an instance and record the request, in microseconds.
fn median_choice_us(
    directory: &InstanceDirectory,
    usage: &[InstanceUsage],
    loads: &[InstanceLoad],
    service: &str,
    model: &str,
) -> f64 {
    let mut selector = Selector::new(Zone::from("zone-1")).seeded(7);
    selector.set_routers(ROUTERS);
    let mut times: Vec<f64> = Vec::new();
    for number in 0..CHOICES {
        let now = Timestamp::at(100_000 + number * 50);
        if number % 20 == 0 {
            selector.set_usage(usage, Millis(500), now);
            selector.apply_loads(loads, now);
        }
        let shape = shape(model, number);
        let request = SelectionRequest {
            shape: &shape,
            objective: Millis(2_000),
            longest_pause: Some(Millis(500)),
            streams_longest_pause: Some(Millis(500)),
            rank: 1,
            kv_capacity_tokens: Some(KV_CAPACITY_TOKENS),
        };
        let started = Instant::now();
        let views = directory.holders(service, model);
        let chosen = selector.choose(request, views, &[], LOCAL_LIMIT, now);
        let chosen = chosen.expect("a choice");
        selector.begin(&chosen, &shape, now);
        times.push(started.elapsed().as_secs_f64() * 1e6);
        selector.first_answer(&chosen, Millis(30), true);
        selector.end(&chosen, true);
    }
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn load(usage: &InstanceUsage) -> InstanceLoad {
    let report = LoadReport {
        running: usage.in_flight,
        waiting: 0,
        slots: 64,
        work_percent: 100 + usage.in_flight * 10,
    };
    InstanceLoad {
        instance: usage.instance.clone(),
        report: Some((report, Millis(200))),
        held_tokens: usage.in_flight * 9_000,
        slowness_permille: Some(1_000),
    }
}

fn main() {
    println!(
        "instances | rare model | busy model | replicated model | service without models | \
         with load: rare model | busy model | replicated model"
    );
    for instances in SIZES {
        let mut directory = InstanceDirectory::default();
        directory.change((0..instances).map(view).collect(), Vec::new());
        let all = (0..instances).map(|number| InstanceUsage {
            instance: view(number).id,
            in_flight: number % 7,
            prompt_tokens: number % 7 * 500,
        });
        let all: Vec<InstanceUsage> = all.collect();
        // One instance in five has requests in flight.
        let usage: Vec<InstanceUsage> = all.iter().step_by(5).cloned().collect();
        let loads: Vec<InstanceLoad> = all.iter().map(load).collect();
        let without = |service, model| median_choice_us(&directory, &usage, &[], service, model);
        let with = |model| median_choice_us(&directory, &usage, &loads, "models", model);
        println!(
            "{instances} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1}",
            without("models", "rare-7"),
            without("models", "busy"),
            without("models", "replicated"),
            without("plain", ""),
            with("rare-7"),
            with("busy"),
            with("replicated"),
        );
    }
}
