//! A planned stop of a router ends each request that it has read with a complete response, and
//! sends no request to a runner whose body was not complete when the stop began.
//!
//! The stop was checked before the body was read and not after, and the end of the drain cut off
//! whatever still waited.

mod common;

use common::{FakeController, WAIT_TIMEOUT, start_router};
use courseshunt_router::Router;
use courseshunt_state::{ClaimReply, Command, CommandReply, StoredDeployment, TenantDocument};
use courseshunt_types::runner_api::{ATTEMPT_HEADER, MachineState, REQUEST_ID_HEADER};
use courseshunt_types::{
    DeploymentDocument, Digest, Epoch, Incarnation, LogIndex, Millis, Revision, Version,
};
use courseshunt_wire::message::{
    ConfigurationUpdate, DeploymentReplicas, FleetUpdate, LedgerResult, PlacementUpdate,
    RouterEndpoint, RunnerEndpoint,
};
use courseshunt_wire::{Connection, Message};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Bearer token of the only tenant.
const TOKEN: &str = "token-of-souss";
/// Deployment with a ready replica.
const LOADED: &str = "climate-ctl";
/// Deployment without a replica: its requests wait.
const COLD: &str = "planificador";
/// Name of the only runner.
const RUNNER: &str = "runner-1";
/// A request is on its way to its runner within this time.
const ON_ITS_WAY: Duration = Duration::from_millis(300);
/// A response that was written before the router's end has reached its client by then.
const DELIVERY: Duration = Duration::from_millis(200);

/// What the runner does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Conduct {
    /// It reads the request and sends nothing.
    Hangs,
    /// It sends the first event of a stream and nothing more.
    StopsAfterTheFirstEvent,
}

/// A runner that counts the requests for completions.
struct Runner {
    address: SocketAddr,
    arrivals: Arc<AtomicUsize>,
}

impl Runner {
    async fn start(conduct: Conduct) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let arrivals = Arc::new(AtomicUsize::new(0));
        let counted = arrivals.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_runner(stream, conduct, counted.clone()));
            }
        });
        Self { address, arrivals }
    }

    fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::SeqCst)
    }
}

async fn serve_runner(mut stream: TcpStream, conduct: Conduct, arrivals: Arc<AtomicUsize>) {
    let mut buffer = vec![0; 16 * 1024];
    let length = stream.read(&mut buffer).await.unwrap_or(0);
    let received = String::from_utf8_lossy(&buffer[..length]).into_owned();
    if received.starts_with("POST /v1/") {
        arrivals.fetch_add(1, Ordering::SeqCst);
        if conduct == Conduct::StopsAfterTheFirstEvent {
            let answer = first_event(&received);
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    }
    // The connection stays open until the router closes it.
    while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
}

/// The head of a stream and its first event, for this request.
fn first_event(request: &str) -> String {
    let header = |name: &str| {
        let mut lines = request.lines().filter_map(|line| line.split_once(": "));
        let value = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        value.map_or("", |(_, value)| value).to_owned()
    };
    let (id, attempt) = (header(REQUEST_ID_HEADER), header(ATTEMPT_HEADER));
    let event = format!("data: {{\"id\":\"{id}\",\"position\":0}}\n\n");
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{REQUEST_ID_HEADER}: {id}\r\n\
         {ATTEMPT_HEADER}: {attempt}\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n",
        event.len()
    )
}

fn configuration() -> Message {
    let stored = [LOADED, COLD].map(|name| {
        let document: DeploymentDocument = serde_json::from_value(serde_json::json!({
            "name": name, "version": 1, "model": "m", "tenant": "souss",
            "memory_mib": 1000, "slots_per_replica": 8, "max_replicas": 1,
        }))
        .unwrap();
        StoredDeployment {
            digest: document.digest(),
            revision: Revision(1),
            document,
        }
    });
    let tenant = TenantDocument {
        name: "souss".into(),
        version: Version(1),
        token_digests: vec![Digest::of(TOKEN.as_bytes())],
    };
    Message::Configuration(ConfigurationUpdate {
        full: true,
        revision: Revision(1),
        deployments: stored.to_vec(),
        removed: Vec::new(),
        tenants: Some(vec![tenant]),
        more: false,
    })
}

fn placement(runner: SocketAddr) -> Message {
    Message::Placement(PlacementUpdate {
        sequence: LogIndex(1),
        full: true,
        runners: vec![RunnerEndpoint {
            runner: RUNNER.into(),
            address: runner.to_string(),
            incarnation: Incarnation(1),
            zone: "zone".into(),
            state: MachineState::Live,
        }],
        deployments: vec![DeploymentReplicas {
            deployment: LOADED.into(),
            ready: vec![RUNNER.into()],
            loading: Vec::new(),
        }],
    })
}

fn fleet(router: &Router) -> Message {
    Message::Fleet(FleetUpdate {
        epoch: Epoch(1),
        routers: vec![RouterEndpoint {
            router: router.context().settings.id.clone(),
            incarnation: router.context().incarnation,
            wire_address: router.wire_address.to_string(),
            zone: "zone".into(),
            leaving: false,
        }],
    })
}

/// Grants each claim; answers no other command of the ledger.
async fn grant_claims(mut feed: Connection) {
    while let Ok(Some(message)) = feed.receiver.receive().await {
        let Message::Ledger { call, command, .. } = message else {
            continue;
        };
        if !matches!(command, Command::OpenClaim(_)) {
            continue;
        }
        let granted = CommandReply::Claim(ClaimReply::Granted);
        let result = LedgerResult::Committed(granted);
        let reply = Message::LedgerReply { call, result };
        feed.sender.send(&reply).await.unwrap();
    }
}

/// A router that is ready, and its runner.
struct Site {
    router: Router,
    runner: Runner,
}

impl Site {
    async fn start(conduct: Conduct) -> Self {
        let controller = FakeController::start().await;
        let runner = Runner::start(conduct).await;
        let router = start_router(&[controller.address]).await;
        let (mut feed, _) = controller.router().await;
        let confirmation = Message::FeedConfirmation {
            age: Millis(0),
            revision: Revision(1),
        };
        let messages = [
            configuration(),
            placement(runner.address),
            fleet(&router),
            confirmation,
        ];
        for message in &messages {
            feed.sender.send(message).await.unwrap();
        }
        let view = router.context().view.clone();
        let synced = async {
            while !view.is_synced() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let synced = tokio::time::timeout(WAIT_TIMEOUT, synced).await;
        synced.expect("the router is synced");
        tokio::spawn(grant_claims(feed));
        Self { router, runner }
    }

    /// Opens a connection and sends the start of a request on it.
    async fn send(&self, text: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.router.http_address).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        stream
    }
}

/// A completion request with further headers.
fn completion(deployment: &str, headers: &str) -> String {
    let body = format!("{{\"model\":\"{deployment}\",\"prompt\":\"a\",\"stream\":true}}");
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer {TOKEN}\r\n\
         x-courseshunt-deadline-ms: 9000\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads until the router closes the connection.
fn read_to_end(mut stream: TcpStream) -> JoinHandle<String> {
    tokio::spawn(async move {
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received).await;
        String::from_utf8_lossy(&received).into_owned()
    })
}

/// The response, which must have been written by the end of the router.
async fn received_by_now(reading: JoinHandle<String>) -> String {
    let received = tokio::time::timeout(DELIVERY, reading).await;
    received
        .expect("a complete response by the end of the router")
        .unwrap()
}

/// Stops the router while a request waits, and returns its response.
async fn response_at_stop(conduct: Conduct, request: &str) -> String {
    let site = Site::start(conduct).await;
    let reading = read_to_end(site.send(request).await);
    tokio::time::sleep(ON_ITS_WAY).await;
    assert!(!reading.is_finished(), "the request waits");
    site.router.stop().await;
    received_by_now(reading).await
}

fn assert_refused(response: &str, status: &str, outcome: &str) {
    let status_line = format!("HTTP/1.1 {status} ");
    assert!(response.starts_with(&status_line), "{response:?}");
    let outcome = format!("x-courseshunt-outcome: {outcome}\r\n");
    assert!(response.contains(&outcome), "{response:?}");
}

#[tokio::test]
async fn a_request_whose_body_ends_after_the_stop_has_begun_is_not_sent_on() {
    let site = Site::start(Conduct::Hangs).await;
    let whole = completion(LOADED, "");
    let (first, rest) = whole.split_at(whole.len() - 5);
    let mut stream = site.send(first).await;
    tokio::time::sleep(ON_ITS_WAY).await;
    let runner = site.runner;
    let stopping = tokio::spawn(site.router.stop());
    tokio::time::sleep(ON_ITS_WAY).await;
    stream.write_all(rest.as_bytes()).await.unwrap();
    let reading = read_to_end(stream);
    stopping.await.unwrap();
    assert_eq!(runner.arrivals(), 0, "it is not sent on");
    let response = received_by_now(reading).await;
    assert_refused(&response, "503", "not-run");
}

#[tokio::test]
async fn a_request_at_a_silent_runner_is_answered_before_the_end_of_the_drain() {
    let response = response_at_stop(Conduct::Hangs, &completion(LOADED, "")).await;
    assert_refused(&response, "502", "unknown");
}

#[tokio::test]
async fn a_request_that_may_run_once_is_answered_before_the_end_of_the_drain() {
    let keyed = completion(LOADED, "idempotency-key: k1\r\n");
    let response = response_at_stop(Conduct::Hangs, &keyed).await;
    assert_refused(&response, "502", "unknown");
}

/// The ledger may have accepted the job although its reply has not arrived.
#[tokio::test]
async fn a_job_without_a_reply_of_the_ledger_is_answered_before_the_end_of_the_drain() {
    let job = completion(LOADED, "").replace("/v1/completions", "/v1/jobs");
    let response = response_at_stop(Conduct::Hangs, &job).await;
    assert_refused(&response, "502", "unknown");
}

#[tokio::test]
async fn a_request_that_waits_for_a_replica_is_answered_before_the_end_of_the_drain() {
    let response = response_at_stop(Conduct::Hangs, &completion(COLD, "")).await;
    assert_refused(&response, "503", "not-run");
}

#[tokio::test]
async fn a_request_whose_body_never_ends_is_answered_before_the_end_of_the_drain() {
    let whole = completion(LOADED, "");
    let response = response_at_stop(Conduct::Hangs, &whole[..whole.len() - 5]).await;
    assert_refused(&response, "503", "not-run");
}

#[tokio::test]
async fn a_stream_that_falls_silent_ends_with_an_error_event_before_the_end_of_the_drain() {
    let conduct = Conduct::StopsAfterTheFirstEvent;
    let response = response_at_stop(conduct, &completion(LOADED, "")).await;
    assert!(response.contains("\"position\":0"), "{response:?}");
    assert!(response.contains("shutting_down"), "{response:?}");
    assert!(response.ends_with("0\r\n\r\n"), "the body is complete");
}
