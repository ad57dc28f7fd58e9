//! Benchmarks of routers on loopback sockets. Each part is run on its own:
//!
//! `cargo run --release -p courseshunt-router --example router_bench -- PART`
//!
//! `latency`: warm requests through routers compared with direct calls to the
//! runner. `rate`: requests per second, CPU time and bytes of tickets. `waiting`:
//! memory of waiting requests. `goodput`: answers within the deadline under
//! overload.

mod site;

use courseshunt_http::HttpClient;
use courseshunt_metrics::process_usage;
use courseshunt_standin::model::EngineTiming;
use courseshunt_wire::traffic;
use site::{BenchSite, BenchSize, COLD, WARM, body, send_request};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const LONG: Duration = Duration::from_secs(60);

/// Timing of an engine with negligible service time.
const FAST: EngineTiming = EngineTiming {
    first_token_ms: 1.0,
    prompt_token_ms: 0.0,
    token_ms: 1.0,
    token_per_request_ms: 0.0,
    token_per_context_ms: 0.0,
};

#[tokio::main]
async fn main() {
    let selected = std::env::args().nth(1);
    let is_selected = |part: &str| selected.as_deref().is_none_or(|selected| selected == part);
    if is_selected("latency") {
        latency().await;
    }
    if is_selected("rate") {
        rate().await;
    }
    if is_selected("waiting") {
        waiting().await;
    }
    if is_selected("goodput") {
        goodput().await;
    }
}

fn percentile(times: &mut [Duration], part: f64) -> Duration {
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    times[(last as f64 * part) as usize]
}

/// Sends warm requests one at a time, alternating between the runner itself, the
/// queue's owner and another router.
async fn latency() {
    const ROUNDS: usize = 3000;
    let site = BenchSite::start(BenchSize {
        routers: 3,
        runners: 1,
        slots: 64,
        timing: FAST,
    })
    .await;
    let (owner, other) = site.owner_and_other(WARM);
    let paths = [
        ("direct", site.runners[0].address),
        ("through the owner", site.routers[owner].http_address),
        ("through another router", site.routers[other].http_address),
    ];
    let client = HttpClient::default();
    let mut times = vec![Vec::new(); paths.len()];
    for round in 0..ROUNDS {
        for (number, (name, address)) in paths.iter().enumerate() {
            let request = format!("{name}-{round}").replace(' ', "-");
            let begun = Instant::now();
            let status = send_request(&client, *address, body(WARM, 1), &request, LONG).await;
            assert_eq!(status, 200, "{name}");
            times[number].push(begun.elapsed());
        }
    }
    println!("latency of {ROUNDS} warm requests, one at a time:");
    let direct = [0.5, 0.99].map(|part| percentile(&mut times[0], part));
    for (number, (name, _)) in paths.iter().enumerate() {
        let [median, p99] = [0.5, 0.99].map(|part| percentile(&mut times[number], part));
        let ratio = |time: Duration, base: Duration| time.as_secs_f64() / base.as_secs_f64();
        println!(
            "  {name}: p50 {median:.2?} ({:.2}x), p99 {p99:.2?} ({:.2}x)",
            ratio(median, direct[0]),
            ratio(p99, direct[1])
        );
    }
}

/// Runs `callers` closed loops for `length`. Returns requests per second and CPU
/// milliseconds per request.
async fn closed_loops(addresses: &[SocketAddr], callers: usize, length: Duration) -> (f64, f64) {
    let done = Arc::new(AtomicU64::new(0));
    let cpu = process_usage().cpu_milliseconds;
    let begun = Instant::now();
    let loops = (0..callers).map(|caller| {
        let address = addresses[caller % addresses.len()];
        let done = done.clone();
        tokio::spawn(async move {
            let client = HttpClient::default();
            let mut round = 0;
            while begun.elapsed() < length {
                let request = format!("{caller}-{round}-{address}");
                let status = send_request(&client, address, body(WARM, 1), &request, LONG).await;
                assert_eq!(status, 200);
                round += 1;
                done.fetch_add(1, Ordering::Relaxed);
            }
        })
    });
    let loops: Vec<_> = loops.collect();
    for closed_loop in loops {
        closed_loop.await.expect("join a closed loop");
    }
    let done = done.load(Ordering::Relaxed) as f64;
    let cpu = (process_usage().cpu_milliseconds - cpu) as f64;
    (done / begun.elapsed().as_secs_f64(), cpu / done)
}

async fn rate() {
    const CALLERS: usize = 64;
    const LENGTH: Duration = Duration::from_secs(5);
    let site = BenchSite::start(BenchSize {
        routers: 3,
        runners: 2,
        slots: 256,
        timing: FAST,
    })
    .await;
    let runners: Vec<SocketAddr> = site.runners.iter().map(|one| one.address).collect();
    let routers: Vec<SocketAddr> = site.routers.iter().map(|one| one.http_address).collect();
    let (direct, direct_cpu) = closed_loops(&runners, CALLERS, LENGTH).await;
    let before = ticket_traffic();
    let (routed, routed_cpu) = closed_loops(&routers, CALLERS, LENGTH).await;
    let after = ticket_traffic();
    let requests = routed * LENGTH.as_secs_f64();
    let bytes = (after.0 - before.0) as f64 / requests;
    let messages = (after.1 - before.1) as f64 / requests;
    println!("{CALLERS} callers in closed loops, all components in one process:");
    println!("  direct: {direct:.0} requests/s, {direct_cpu:.3} ms of CPU time each");
    println!("  routed: {routed:.0} requests/s, {routed_cpu:.3} ms of CPU time each");
    println!("  routing overhead: {:.3} ms each", routed_cpu - direct_cpu);
    println!("  tickets and grants: {messages:.1} messages, {bytes:.0} bytes for each request");
    println!(
        "  at 21 requests/s for each router: {:.0} bytes/s sent",
        bytes * 21.0
    );
}

/// Bytes and number of the ticket and grant messages sent so far.
fn ticket_traffic() -> (u64, u64) {
    let kinds = traffic().into_iter();
    let kinds = kinds.filter(|one| one.kind == "ticket" || one.kind == "grant");
    kinds.fold((0, 0), |sum, one| {
        (sum.0 + one.sent.bytes, sum.1 + one.sent.messages)
    })
}

/// Measures the memory of requests that wait for a model that is not loaded.
async fn waiting() {
    const STEP: usize = 3000;
    const STEPS: usize = 3;
    let site = BenchSite::start(BenchSize {
        routers: 3,
        runners: 1,
        slots: 8,
        timing: FAST,
    })
    .await;
    let (_, other) = site.owner_and_other(COLD);
    let router = &site.routers[other];
    let mut held = Vec::new();
    let mut before = process_usage().resident_bytes;
    println!("memory of requests that wait at a router, with their tickets at the owner:");
    for _ in 0..STEPS {
        for _ in 0..STEP {
            held.push(open(router.http_address).await);
        }
        while router.context().dispatcher.snapshot().held < held.len() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let after = process_usage().resident_bytes;
        let each = (after - before) as f64 / STEP as f64 / 1024.0;
        println!(
            "  {} waiting: {each:.1} KiB for each of the last {STEP}",
            held.len()
        );
        before = after;
    }
}

/// Sends a request without reading the answer.
async fn open(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("connect to the router");
    let content = body(COLD, 16);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\n\
         authorization: Bearer bench-token\r\ncontent-length: {}\r\n\r\n",
        content.len()
    );
    let request = head + &content;
    stream
        .write_all(request.as_bytes())
        .await
        .expect("send the request");
    stream
}

/// Measures goodput under open loops at fractions and multiples of the capacity.
async fn goodput() {
    const LENGTH: Duration = Duration::from_secs(6);
    const DEADLINE: Duration = Duration::from_secs(1);
    const TOKENS: u32 = 16;
    let timing = EngineTiming {
        first_token_ms: 20.0,
        prompt_token_ms: 0.0,
        token_ms: 5.0,
        token_per_request_ms: 0.0,
        token_per_context_ms: 0.0,
    };
    let size = BenchSize {
        routers: 3,
        runners: 2,
        slots: 8,
        timing,
    };
    let service_ms = timing.first_token_ms + timing.token_ms * f64::from(TOKENS - 1);
    let capacity = size.runners as f64 * f64::from(size.slots) / service_ms * 1000.0;
    println!("goodput with a deadline of {DEADLINE:?} to the start; capacity {capacity:.0}/s:");
    for load in [0.5, 1.0, 2.0, 4.0] {
        let site = BenchSite::start(size).await;
        let client = HttpClient::default();
        let interval = Duration::from_secs_f64(1.0 / (capacity * load));
        let count = (LENGTH.as_secs_f64() * capacity * load) as usize;
        let begun = tokio::time::Instant::now();
        let mut tasks = Vec::new();
        for number in 0..count {
            tokio::time::sleep_until(begun + interval * number as u32).await;
            let address = site.routers[number % site.routers.len()].http_address;
            let client = client.clone();
            tasks.push(tokio::spawn(async move {
                let sent = Instant::now();
                let name = format!("goodput-{number}");
                let status =
                    send_request(&client, address, body(WARM, TOKENS), &name, DEADLINE).await;
                (status, sent.elapsed())
            }));
        }
        let mut answered = 0;
        let mut refusals = Vec::new();
        let mut times = Vec::new();
        let mut others = 0;
        for task in tasks {
            match task.await.expect("join a request task") {
                (200, time) => {
                    answered += 1;
                    times.push(time);
                }
                (429 | 503, time) => refusals.push(time),
                _ => others += 1,
            }
        }
        let rate = f64::from(answered) / begun.elapsed().as_secs_f64();
        let refused = refusals.len();
        if refusals.is_empty() {
            refusals.push(Duration::ZERO);
        }
        println!(
            "  {load}x: {rate:.0}/s ({:.2} of capacity), answers p50 {:.0?} p99 {:.0?}, refused {refused} \
             of {count} (p50 after {:.0?}, p99 {:.0?}), other {others}",
            rate / capacity,
            percentile(&mut times, 0.5),
            percentile(&mut times, 0.99),
            percentile(&mut refusals, 0.5),
            percentile(&mut refusals, 0.99),
        );
    }
}
