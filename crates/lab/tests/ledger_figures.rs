//! Figures of attempts, claims and streams. Not run in CI; each by name:
//! `cargo test -p courseshunt-lab --test ledger_figures -- --ignored --nocapture NAME`

mod bench;

use bench::{Bench, TOKENS, body};
use courseshunt_router::RouterContext;
use courseshunt_router::attempt::Count;
use courseshunt_standin::server::RunnerFault;
use courseshunt_state::{ClaimRequest, Command, CommandEnvelope, ReplicatedState};
use courseshunt_types::*;
use hyper::Method;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Streams held open together; each takes four of the process's 20,000 files.
const STREAMS: usize = 4_500;
const PAGE_BYTES: u64 = 4096;

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

/// Opens the streams, through the router or straight at the runners, and prints
/// the memory that one takes in the whole process.
fn open_streams(via_router: bool) {
    let mut bench = Bench::start_with_token_time(1, 600_000.0);
    let limits = json!({"queue_length": 20_000, "deadline_ms": 600_000});
    bench.configure(json!({
        "slots_per_replica": 4096,
        "limits": {"interactive": limits, "critical": limits, "batch": limits},
    }));
    bench.runners.iter().for_each(|runner| runner.kill());
    bench.revive();
    let before = resident_bytes();
    let opened = Arc::new(AtomicU64::new(0));
    let targets: Vec<_> = match via_router {
        true => vec![bench.address(0)],
        false => bench.runners.iter().map(|runner| runner.address).collect(),
    };
    let mut held = Vec::new();
    for number in 0..STREAMS {
        let target = targets[number % targets.len()];
        let counted = opened.clone();
        let open = bench.open_stream(target, &format!("stream {number}"));
        held.push(bench.spawn(async move {
            let stream = open.await;
            counted.fetch_add(1, Ordering::Relaxed);
            std::future::pending::<()>().await;
            drop(stream);
        }));
        if number % 100 == 99 {
            bench.wait_for("the streams so far", || {
                opened.load(Ordering::Relaxed) > number as u64
            });
        }
    }
    let bytes = resident_bytes() - before;
    let each = bytes as f64 / STREAMS as f64 / 1024.0;
    println!("{STREAMS} open streams, via router {via_router}: {each:.1} KiB each");
    std::process::exit(0);
}

#[test]
#[ignore = "a figure"]
fn memory_of_streams_via_router() {
    open_streams(true);
}

#[test]
#[ignore = "a figure"]
fn memory_of_streams_direct() {
    open_streams(false);
}

fn claim(number: u64) -> Command {
    Command::OpenClaim(Box::new(ClaimRequest {
        tenant: "souss".into(),
        key: format!("valve-7-at-{number:012}").into(),
        digest: Digest::of(b"body"),
        router: "router-1".into(),
        incarnation: Incarnation(1),
        runner: "runner-1".into(),
        request: format!("req-{number:032x}").into(),
        attempt: Attempt(1),
        keep: Millis::from_secs(24 * 3600),
    }))
}

#[test]
#[ignore = "a figure"]
fn memory_of_claims() {
    const CLAIMS: u64 = 200_000;
    let mut state = ReplicatedState::default();
    let before = resident_bytes();
    for number in 1..=CLAIMS {
        let envelope = CommandEnvelope {
            client: ClientId::default(),
            sequence: ClientSequence(0),
            acknowledged: ClientSequence(0),
            proposed_at: UnixMillis(number),
            command: claim(number),
        };
        state.apply(LogIndex(number), Term(1), &envelope);
    }
    let each = (resident_bytes() - before) / CLAIMS;
    let snapshot = state.to_snapshot().len() as u64 / CLAIMS;
    println!("{CLAIMS} open claims: {each} bytes each in memory, {snapshot} in a snapshot");
}

const LENGTH: Duration = Duration::from_secs(4);

/// Runs `work` on `callers` tasks for [`LENGTH`]; runs per second.
fn rate<F: Future<Output = bool> + Send + 'static>(
    bench: &Bench,
    callers: u64,
    work: impl Fn(u64) -> F + Send + Sync + 'static,
) -> f64 {
    let (work, next, done) = (
        Arc::new(work),
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicU64::new(0)),
    );
    let begun = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let (work, next, done) = (work.clone(), next.clone(), done.clone());
            bench.spawn(async move {
                while begun.elapsed() < LENGTH {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if work(number).await {
                        done.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    for task in tasks {
        bench.run(task).unwrap();
    }
    done.load(Ordering::Relaxed) as f64 / begun.elapsed().as_secs_f64()
}

#[test]
#[ignore = "a figure"]
fn claims_per_second() {
    let mut bench = Bench::start(1);
    bench.configure(json!({"slots_per_replica": 256}));
    bench.runners.iter().for_each(|runner| runner.kill());
    bench.revive();
    for callers in [1, 16, 64, 256] {
        let ledger = bench.router(0).ledger.clone();
        let claims = rate(&bench, callers, move |number| {
            let ledger = ledger.clone();
            async move { ledger.commit(claim(callers << 40 | number)).await.is_ok() }
        });
        println!("{callers} callers: {claims:.0} claims/s");
    }
    let bench = Arc::new(bench);
    for once_only in [false, true] {
        let shared = bench.clone();
        let requests = rate(&bench, 64, move |number| {
            let key = format!("key-{number}");
            let headers = [("idempotency-key", key.as_str())];
            let headers = &headers[..usize::from(once_only)];
            let call = shared.complete(0, "figure", false, headers);
            async move { call.await.outcome() == "done" }
        });
        println!("64 callers, once-only {once_only}: {requests:.0} requests/s");
    }
}

/// Offered load as a share of the runners' capacity.
const LOADS: [f64; 3] = [0.5, 1.0, 2.0];
/// Share of the attempts that fail after almost all of their work.
const FAILING: f64 = 0.3;
const SLOTS: f64 = 8.0;

#[test]
#[ignore = "a figure"]
fn goodput_under_runner_faults() {
    let bench = Bench::start(1);
    let one_ms = 5.0 + f64::from(TOKENS - 1) * 5.0;
    let capacity = 2.0 * SLOTS / one_ms * 1000.0;
    println!("capacity without faults about {capacity:.0}/s; {FAILING} of the attempts fail late");
    for load in LOADS {
        for limited in [true, false] {
            let context: RouterContext = bench.router(0).clone();
            context.retry_budget.set_limited(limited);
            let mut random = rand_pcg::Pcg64::seed_from_u64(7);
            let faults = (0..20_000).map(|_| match random.random_bool(FAILING) {
                true => RunnerFault::CutShortAndForget { tokens: TOKENS - 1 },
                false => RunnerFault::None,
            });
            bench.faults.set(faults.collect::<Vec<_>>());
            let retries = context.counts.get(Count::Retry);
            let executions = bench.executions("figure");
            let (good, sent) = offer(&bench, capacity * load);
            let retries = context.counts.get(Count::Retry) - retries;
            let executions = bench.executions("figure") - executions;
            println!(
                "load {load}: budget {limited}: sent {sent}, good {good} ({:.2}), \
                 retries {retries}, executions {executions} ({:.2} for each good answer)",
                good as f64 / sent as f64,
                executions as f64 / good as f64,
            );
        }
    }
}

/// Offers requests at a steady rate with a deadline of two seconds.
fn offer(bench: &Bench, per_second: f64) -> (usize, usize) {
    let sent = (per_second * LENGTH.as_secs_f64()) as usize;
    let begun = Instant::now();
    let mut calls = Vec::new();
    for number in 0..sent {
        let at = Duration::from_secs_f64(number as f64 / per_second);
        std::thread::sleep(at.saturating_sub(begun.elapsed()));
        let headers = [("x-courseshunt-deadline-ms", "2000")];
        let body = body("figure", false, TOKENS);
        let call = bench.call(0, Method::POST, "/v1/chat/completions", &headers, body);
        calls.push(bench.spawn(call));
    }
    let answers = calls.into_iter().map(|call| bench.run(call).unwrap());
    let mut results = BTreeMap::new();
    for answer in answers {
        let code = answer
            .json()
            .pointer("/error/code")
            .map(ToString::to_string);
        let code = code.unwrap_or_else(|| "good".to_owned());
        *results.entry(code).or_insert(0) += 1;
    }
    println!("{results:?}");
    (results.get("good").copied().unwrap_or(0), sent)
}
