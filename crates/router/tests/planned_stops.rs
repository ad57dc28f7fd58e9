//! A planned stop of a router sends no request to a runner whose body was not complete when the
//! stop began.
//!
//! The stop was checked before the body was read and not after.

mod common;

use common::{FakeController, WAIT_TIMEOUT, start_router};
use courseshunt_router::Router;
use courseshunt_state::{StoredDeployment, TenantDocument};
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::{
    DeploymentDocument, Digest, Epoch, Incarnation, LogIndex, Millis, Revision, Version,
};
use courseshunt_wire::message::{
    ConfigurationUpdate, DeploymentReplicas, FleetUpdate, PlacementUpdate, RouterEndpoint,
    RunnerEndpoint,
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
/// Name of the only runner.
const RUNNER: &str = "runner-1";
/// A request is on its way to its runner within this time.
const ON_ITS_WAY: Duration = Duration::from_millis(300);
/// A response that was written before the router's end has reached its client by then.
const DELIVERY: Duration = Duration::from_millis(200);

/// A runner that counts the requests for completions and answers none.
struct Runner {
    address: SocketAddr,
    arrivals: Arc<AtomicUsize>,
}

impl Runner {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let arrivals = Arc::new(AtomicUsize::new(0));
        let counted = arrivals.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_runner(stream, counted.clone()));
            }
        });
        Self { address, arrivals }
    }

    fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::SeqCst)
    }
}

async fn serve_runner(mut stream: TcpStream, arrivals: Arc<AtomicUsize>) {
    let mut buffer = vec![0; 16 * 1024];
    let length = stream.read(&mut buffer).await.unwrap_or(0);
    let received = String::from_utf8_lossy(&buffer[..length]).into_owned();
    if received.starts_with("POST /v1/") {
        arrivals.fetch_add(1, Ordering::SeqCst);
    }
    // The connection stays open until the router closes it.
    while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
}

fn configuration() -> Message {
    let stored = [LOADED].map(|name| {
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

/// A router that is ready, its runner and the feed that it follows.
struct Site {
    router: Router,
    runner: Runner,
    _feed: Connection,
}

impl Site {
    async fn start() -> Self {
        let controller = FakeController::start().await;
        let runner = Runner::start().await;
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
        Self {
            router,
            runner,
            _feed: feed,
        }
    }

    /// Opens a connection and sends the start of a request on it.
    async fn send(&self, text: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.router.http_address).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        stream
    }
}

/// A completion request.
fn completion() -> String {
    let body = format!("{{\"model\":\"{LOADED}\",\"prompt\":\"a\",\"stream\":true}}");
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer {TOKEN}\r\n\
         x-courseshunt-deadline-ms: 9000\r\ncontent-length: {}\r\n\r\n{body}",
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

fn assert_refused(response: &str, status: &str, outcome: &str) {
    let status_line = format!("HTTP/1.1 {status} ");
    assert!(response.starts_with(&status_line), "{response:?}");
    let outcome = format!("x-courseshunt-outcome: {outcome}\r\n");
    assert!(response.contains(&outcome), "{response:?}");
}

#[tokio::test]
async fn a_request_whose_body_ends_after_the_stop_has_begun_is_not_sent_on() {
    let site = Site::start().await;
    let whole = completion();
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
