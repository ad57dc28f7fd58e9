//! Prints the cost of a snapshot of a state with 3,000, 10,000 and 20,000 instances:
//! `cargo run --release -p courseshunt-state --example snapshot_costs`. Times are in milliseconds
//! on one core without other load, the median of several runs.

use courseshunt_services::{InstanceState, InstanceView, ResidentModel};
use courseshunt_state::{Command, CommandEnvelope, ReplicatedState};
use courseshunt_types::{
    ClientId, ClientSequence, LogIndex, ModelName, RunnerId, Term, UnixMillis, Zone,
};
use std::time::Instant;

/// Numbers of instances.
const SIZES: [u32; 3] = [3_000, 10_000, 20_000];
const MODELS: u32 = 299;
const RUNS: usize = 7;

fn view(number: u32) -> InstanceView {
    let model = |offset| ResidentModel {
        name: ModelName::from(format!("model-{}", (number * 3 + offset) % MODELS)),
        version: 1,
        adapters: vec!["a0".to_owned(), "a1".to_owned()],
    };
    InstanceView {
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
        models: vec![model(0), model(1), model(2)],
        loading: Vec::new(),
    }
}

fn state(instances: u32) -> ReplicatedState {
    let mut state = ReplicatedState::default();
    let command = Command::RecordInstances {
        changed: (0..instances).map(view).collect(),
        gone: Vec::new(),
    };
    let envelope = CommandEnvelope {
        client: ClientId::default(),
        sequence: ClientSequence(0),
        acknowledged: ClientSequence(0),
        proposed_at: UnixMillis(1),
        command,
    };
    state.apply(LogIndex(1), Term(1), &envelope);
    state
}

/// Median duration of `work`, in milliseconds.
fn median<T>(work: impl Fn() -> T) -> f64 {
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let started = Instant::now();
            let result = work();
            let duration_ms = started.elapsed().as_secs_f64() * 1_000.0;
            drop(result);
            duration_ms
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}

fn main() {
    println!("instances | bytes | to bytes | a copy of the state");
    for instances in SIZES {
        let state = state(instances);
        let bytes = state.to_snapshot().len();
        let to_bytes = median(|| state.to_snapshot());
        let copy = median(|| state.clone());
        println!("{instances} | {bytes} | {to_bytes:.1} | {copy:.1}");
    }
}
