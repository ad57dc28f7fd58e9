//! Figures of the durable log and of catching up:
//! `cargo run --release -p courseshunt-simulation --example figures`.

use courseshunt_consensus::{Entry, HardState, Payload};
use courseshunt_simulation::measure::catch_up_time;
use courseshunt_state::{ChangeRequest, Command, CommandEnvelope, ReplicatedState};
use courseshunt_storage::{FileLog, LogStore};
use courseshunt_types::{ClientId, ClientSequence, DeploymentDocument, LogIndex, Term, UnixMillis};
use std::path::Path;
use std::time::Instant;

/// Content of one command, in bytes.
const COMMAND_BYTES: usize = 300;
/// Commands that one sync covers, in the batched case.
const BATCH: u64 = 64;
/// Commands of one case.
const COMMANDS: u64 = 2048;
/// Models and adapters of the design size.
const MODELS: u64 = 97;
const ADAPTERS: u64 = 2900;

fn main() {
    let folder = std::env::temp_dir().join(format!("courseshunt-figures-{}", std::process::id()));
    syncs(&folder);
    for entries in [1_000, 10_000, 100_000] {
        recovery(&folder, entries);
    }
    snapshot_size();
    let mut times: Vec<u64> = (0..50)
        .filter_map(|seed| catch_up_time(seed, 1000))
        .collect();
    times.sort_unstable();
    println!(
        "catch-up after 1000 missed changes: {} runs, median {:?} ms, longest {:?} ms (simulated)",
        times.len(),
        times.get(times.len() / 2),
        times.last()
    );
    let _ = std::fs::remove_dir_all(&folder);
}

fn entry(index: u64) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(1),
        payload: Payload::Command(vec![7; COMMAND_BYTES]),
    }
}

fn open(folder: &Path) -> FileLog {
    let _ = std::fs::remove_dir_all(folder);
    let mut log = FileLog::open(folder).expect("the folder can be made");
    log.append(Some(&HardState::default()), &[])
        .expect("the store takes it");
    log
}

fn write(folder: &Path, entries: u64, batch: u64) -> f64 {
    let mut log = open(folder);
    let started = Instant::now();
    for index in 1..=entries {
        log.append(None, &[entry(index)]).expect("appended");
        if index.is_multiple_of(batch) {
            log.sync().expect("synced");
        }
    }
    log.sync().expect("synced");
    entries as f64 / started.elapsed().as_secs_f64()
}

fn syncs(folder: &Path) {
    let single = write(folder, COMMANDS, 1);
    let batched = write(folder, COMMANDS, BATCH);
    println!(
        "commands/s: one sync each {single:.0}, one sync for {BATCH} {batched:.0}: {:.1} times",
        batched / single
    );
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn recovery(folder: &Path, entries: u64) {
    write(folder, entries, 512);
    let before = resident_kib();
    let started = Instant::now();
    let mut log = FileLog::open(folder).expect("the store opens");
    let recovered = log.recover().expect("the store is whole");
    let took = started.elapsed();
    println!(
        "recovery of {} entries: {:.1} ms, {} KiB more resident",
        recovered.core.entries.len(),
        took.as_secs_f64() * 1000.0,
        resident_kib().saturating_sub(before)
    );
}

fn snapshot_size() {
    let mut state = ReplicatedState::default();
    for model in 0..MODELS {
        let share = ADAPTERS / MODELS + u64::from(model < ADAPTERS % MODELS);
        let adapters: Vec<serde_json::Value> = (0..share)
            .map(|number| serde_json::json!({"name": format!("adapter-{model}-{number}"), "memory_mib": 200}))
            .collect();
        let document = serde_json::json!({
            "name": format!("deployment-{model}"), "version": 1, "model": format!("model-{model}"),
            "tenant": format!("tenant-{}", model % 20), "memory_mib": 40_000, "adapters": adapters,
        });
        let document: DeploymentDocument =
            serde_json::from_value(document).expect("the document is valid");
        let request = ChangeRequest {
            deployments: vec![document],
            ..ChangeRequest::default()
        };
        let envelope = CommandEnvelope {
            client: ClientId::default(),
            sequence: ClientSequence(0),
            acknowledged: ClientSequence(0),
            proposed_at: UnixMillis(1),
            command: Command::ChangeConfiguration(request),
        };
        let reply = state.apply(LogIndex(model + 1), Term(1), &envelope);
        assert!(format!("{reply:?}").contains("Configured"), "{reply:?}");
    }
    let started = Instant::now();
    let bytes = state.to_snapshot();
    let made = started.elapsed();
    let started = Instant::now();
    let restored = ReplicatedState::from_snapshot(&bytes).expect("the snapshot is whole");
    assert_eq!(restored.configuration.deployments.len() as u64, MODELS);
    println!(
        "snapshot with {MODELS} models and {ADAPTERS} adapters: {} bytes, made in {:.2} ms, read in {:.2} ms",
        bytes.len(),
        made.as_secs_f64() * 1000.0,
        started.elapsed().as_secs_f64() * 1000.0
    );
}
