//! What a real router costs: memory for the configuration of the design size,
//! and processor time and messages for each request.

use super::documents::{TENANT_TOKEN, deployment_name};
use super::measure::{Volume, wire_volume};
use super::site::{FleetSize, HollowFleet, ROUTER_THREADS};
use super::usage::cpu_microseconds;
use crate::error::LabError;
use courseshunt_http::{HttpClient, full_body, read_limited};
use courseshunt_metrics::process_usage;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Kinds of messages between routers for waiting requests.
pub const TICKET_KINDS: [&str; 2] = ["ticket", "grant"];
/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Real routers are added in steps of this many.
const ROUTER_STEP: usize = 4;
/// Steps.
const STEPS: usize = 4;
/// Rest after a step, in which its work ends.
const SETTLE: Duration = Duration::from_millis(1500);

/// Memory of the process with some real routers.
#[derive(Debug, Clone, Copy, serde::Serialize)]
pub struct MemoryPoint {
    /// Real routers in the process.
    pub routers: usize,
    /// Resident memory, in MiB.
    pub resident_mib: f64,
}

/// Cost at one rate of requests.
#[derive(Debug, Clone, Copy, serde::Serialize)]
pub struct RatePoint {
    /// Requests answered in a second, over all routers.
    pub requests_per_second: f64,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with 200.
    pub answered: u64,
    /// Processor time of all routers, in milliseconds a second.
    pub cpu_ms_per_second: f64,
    /// Tickets and grants between routers, in a second.
    pub tickets: Volume,
}

/// What real routers cost.
#[derive(Debug, Clone, serde::Serialize)]
pub struct RequestReport {
    /// Real routers at the rates.
    pub routers: usize,
    /// Memory by number of routers.
    pub memory: Vec<MemoryPoint>,
    /// Cost by rate.
    pub rates: Vec<RatePoint>,
}

/// Starts real routers step by step, then sends requests at each rate.
///
/// # Errors
/// When a part can't start or an answer fails.
pub async fn measure(rates: &[f64], length: Duration) -> Result<RequestReport, LabError> {
    let size = FleetSize {
        controllers: 1,
        routers: 0,
        runners: 8,
    };
    let mut fleet = HollowFleet::start(size).await?;
    let mut addresses = Vec::new();
    let mut memory = Vec::new();
    for _ in 0..STEPS {
        addresses.extend(fleet.start_real_routers(ROUTER_STEP).await?);
        tokio::time::sleep(SETTLE).await;
        memory.push(MemoryPoint {
            routers: addresses.len(),
            resident_mib: process_usage().resident_bytes as f64 / (1024.0 * 1024.0),
        });
    }
    let load = Load::new(addresses);
    load.send(0).await?;
    let mut points = Vec::new();
    for rate in rates {
        points.push(load.at_rate(*rate, length).await);
    }
    fleet.stop().await;
    Ok(RequestReport {
        routers: STEPS * ROUTER_STEP,
        memory,
        rates: points,
    })
}

#[derive(Debug, Clone)]
struct Load {
    addresses: Arc<Vec<SocketAddr>>,
    client: HttpClient,
    answered: Arc<AtomicU64>,
}

impl Load {
    fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses: Arc::new(addresses),
            client: HttpClient::default(),
            answered: Arc::default(),
        }
    }

    /// Sends one request to the router whose turn it is.
    async fn send(&self, number: u64) -> Result<(), LabError> {
        let place = number as usize % self.addresses.len();
        let address = self.addresses[place];
        let body = format!(
            "{{\"model\":\"{}\",\"max_tokens\":4,\"messages\":[{{\"role\":\"user\",\"content\":\"{number}\"}}]}}",
            deployment_name(0)
        );
        let request = Request::post(format!("http://{address}/v1/chat/completions"))
            .header(AUTHORIZATION, format!("Bearer {TENANT_TOKEN}"))
            .body(full_body(body));
        let request = request.map_err(|error| LabError::violation(error.to_string()))?;
        let exchange = async {
            let response = self.client.send(request).await?;
            let status = response.status();
            let peer = address.to_string();
            let body = read_limited(response.into_body(), MAX_ANSWER_BYTES, &peer).await?;
            match status.is_success() {
                true => Ok(()),
                false => {
                    let text = String::from_utf8_lossy(&body);
                    Err(LabError::violation(format!(
                        "{peer} answered {status}: {text}"
                    )))
                }
            }
        };
        let finished = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
        finished.unwrap_or_else(|_| Err(LabError::violation("no answer in time")))
    }

    /// Sends at a fixed rate, whether or not answers come.
    async fn at_rate(&self, rate: f64, length: Duration) -> RatePoint {
        self.answered.store(0, Ordering::Relaxed);
        let (cpu, wire, start) = (
            cpu_microseconds(ROUTER_THREADS),
            wire_volume(&TICKET_KINDS),
            Instant::now(),
        );
        let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
        let mut running = tokio::task::JoinSet::new();
        let mut sent = 0;
        while start.elapsed() < length {
            interval.tick().await;
            let load = self.clone();
            running.spawn(async move {
                match load.send(sent).await {
                    Ok(()) => {
                        load.answered.fetch_add(1, Ordering::Relaxed);
                    }
                    Err(error) => log::warn!("capacity: {error}"),
                }
            });
            sent += 1;
        }
        while running.join_next().await.is_some() {}
        let seconds = start.elapsed().as_secs_f64();
        let answered = self.answered.load(Ordering::Relaxed);
        RatePoint {
            requests_per_second: answered as f64 / seconds,
            sent,
            answered,
            cpu_ms_per_second: (cpu_microseconds(ROUTER_THREADS) - cpu) / 1000.0 / seconds,
            tickets: wire_volume(&TICKET_KINDS).since(wire).per(seconds),
        }
    }
}
