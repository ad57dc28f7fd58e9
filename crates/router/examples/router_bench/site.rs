//! Routers and stand-in runners on loopback sockets. The benchmark sets the views
//! of the routers itself.

use courseshunt_http::{HttpClient, full_body, read_limited};
use courseshunt_queue::{QueueKey, owner_of};
use courseshunt_router::Router;
use courseshunt_settings::RouterSettings;
use courseshunt_standin::model::{EngineTiming, RunnerModelSettings, StoreModelSettings};
use courseshunt_standin::server::{RunnerServer, StoreServer};
use courseshunt_state::{StoredDeployment, TenantDocument};
use courseshunt_types::runner_api::{
    Inventory, LoadPhase, MachineState, OrderAction, OrderRequest,
};
use courseshunt_types::{
    DeploymentDocument, Digest, Epoch, Fence, Incarnation, LogIndex, Millis, Revision, RouterId,
    RunnerId, Term, Timestamp, Version,
};
use courseshunt_wire::message::{
    ConfigurationUpdate, DeploymentReplicas, FleetUpdate, PlacementUpdate, RouterEndpoint,
    RunnerEndpoint,
};
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::time::Duration;

/// The deployment that is loaded on all runners.
pub const WARM: &str = "warm";
/// The deployment that is never loaded.
pub const COLD: &str = "cold";
const TOKEN: &str = "bench-token";
const RUNNER_TOKEN: &str = "runner-token";
const ANY: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// A running site.
pub struct BenchSite {
    pub routers: Vec<Router>,
    pub runners: Vec<RunnerServer>,
    _store: StoreServer,
    _folder: tempfile::TempDir,
}

/// Numbers of processes and slots, and the timing of the engines.
#[derive(Debug, Clone, Copy)]
pub struct BenchSize {
    pub routers: usize,
    pub runners: usize,
    pub slots: u32,
    pub timing: EngineTiming,
}

impl BenchSite {
    /// Starts everything; the deployment [`WARM`] is loaded on all runners.
    pub async fn start(size: BenchSize) -> Self {
        let folder = tempfile::tempdir().expect("create a temporary directory");
        let key_file = folder.path().join("cluster.key");
        std::fs::write(&key_file, "a key of sixteen bytes or more").expect("write the key file");
        let store = StoreModelSettings {
            transfer_mib_per_second: 1e6,
            starts_per_second: 100.0,
            ..StoreModelSettings::default()
        };
        let store = StoreServer::start(ANY.into(), store)
            .await
            .expect("start the store");
        let mut runners = Vec::new();
        for number in 0..size.runners {
            let mut model = RunnerModelSettings::named(&runner_name(number).0, "zone", 1000);
            model.timing = size.timing;
            model.engine_start_ms = Millis(1);
            let started = RunnerServer::start(ANY.into(), store.address, RUNNER_TOKEN, model);
            let runner = started.await.expect("start a runner");
            load(runner.address, size.slots).await;
            runners.push(runner);
        }
        let mut routers = Vec::new();
        for number in 0..size.routers {
            let settings = router_settings(number, &key_file);
            routers.push(Router::start(settings).await.expect("start a router"));
        }
        let site = Self {
            routers,
            runners,
            _store: store,
            _folder: folder,
        };
        site.feed(size);
        site
    }

    /// Sets the routers' views as the controllers' feed would.
    fn feed(&self, size: BenchSize) {
        let endpoints = self.routers.iter().map(|router| RouterEndpoint {
            router: router.context().settings.id.clone(),
            incarnation: router.context().incarnation,
            wire_address: router.wire_address.to_string(),
            zone: "zone".into(),
            leaving: false,
        });
        let endpoints: Vec<RouterEndpoint> = endpoints.collect();
        for router in &self.routers {
            let view = &router.context().view;
            view.apply_configuration(configuration(size.slots));
            view.apply_placement(self.placement());
            view.apply_fleet(FleetUpdate {
                epoch: Epoch(1),
                routers: endpoints.clone(),
            });
            view.confirm(Timestamp(1), Revision(1));
            router.context().dispatcher.view_changed();
        }
    }

    fn placement(&self) -> PlacementUpdate {
        let runners = self.runners.iter().enumerate();
        let runners = runners.map(|(number, runner)| RunnerEndpoint {
            runner: runner_name(number),
            address: runner.address.to_string(),
            incarnation: Incarnation(1),
            zone: "zone".into(),
            state: MachineState::Live,
        });
        let runners: Vec<RunnerEndpoint> = runners.collect();
        PlacementUpdate {
            sequence: LogIndex(1),
            full: true,
            deployments: vec![DeploymentReplicas {
                deployment: WARM.into(),
                ready: runners.iter().map(|one| one.runner.clone()).collect(),
                loading: Vec::new(),
            }],
            runners,
        }
    }

    /// Numbers of the router that owns the queue of a deployment and of another one.
    pub fn owner_and_other(&self, deployment: &str) -> (usize, usize) {
        let queue = QueueKey {
            deployment: deployment.into(),
            shard: 0,
        };
        let ids = self.routers.iter().map(|one| &one.context().settings.id);
        let ids: Vec<&RouterId> = ids.collect();
        let owner = owner_of(&queue, ids.iter().copied()).expect("find the owner");
        let owner = ids
            .iter()
            .position(|id| *id == owner)
            .expect("find the owner's number");
        (owner, (owner + 1) % ids.len())
    }
}

fn runner_name(number: usize) -> RunnerId {
    format!("runner-{number}").into()
}

fn router_settings(number: usize, key_file: &std::path::Path) -> RouterSettings {
    let arguments = [
        format!("--id=router-{number}"),
        "--http-address=127.0.0.1:0".to_owned(),
        "--wire-address=127.0.0.1:0".to_owned(),
        // No process listens on the discard port.
        "--controllers=127.0.0.1:9".to_owned(),
        "--drain-seconds=1".to_owned(),
        "--zone=zone".to_owned(),
        "--log-level=error".to_owned(),
        format!("--cluster-key-file={}", key_file.display()),
    ];
    RouterSettings::load(&arguments).expect("load the settings")
}

fn document(name: &str, slots: u32) -> StoredDeployment {
    let document: DeploymentDocument = serde_json::from_value(serde_json::json!({
        "name": name, "version": 1, "model": name, "tenant": "bench",
        "memory_mib": 100, "slots_per_replica": slots, "max_replicas": 8,
        "limits": {"interactive": {"queue_length": 20_000, "deadline_ms": 600_000}},
    }))
    .expect("parse the document");
    StoredDeployment {
        digest: document.digest(),
        document,
        revision: Revision(1),
    }
}

fn configuration(slots: u32) -> ConfigurationUpdate {
    ConfigurationUpdate {
        full: true,
        revision: Revision(1),
        deployments: vec![document(WARM, slots), document(COLD, slots)],
        removed: Vec::new(),
        tenants: Some(vec![TenantDocument {
            name: "bench".into(),
            version: Version(1),
            token_digests: vec![Digest::of(TOKEN.as_bytes())],
        }]),
        more: false,
    }
}

async fn load(address: SocketAddr, slots: u32) {
    let client = HttpClient::default();
    let address = address.to_string();
    let order = OrderRequest {
        fence: Fence {
            term: Term(1),
            sequence: 1,
        },
        deployment: WARM.into(),
        incarnation: None,
        action: OrderAction::Load {
            model: WARM.into(),
            checkpoint_mib: 100,
            memory_mib: 100,
            slots,
            adapters: Vec::new(),
        },
    };
    let limit = Duration::from_secs(10);
    let token = Some(RUNNER_TOKEN);
    let ordered = client.call(
        Method::POST,
        &address,
        "/control/orders",
        token,
        Some(&order),
        limit,
    );
    ordered.await.expect("send the order");
    loop {
        let path = "/control/inventory";
        let reply = client.call::<()>(Method::GET, &address, path, token, None, limit);
        let reply = reply.await.expect("read the inventory");
        let inventory: Inventory = serde_json::from_slice(&reply.body).expect("read the inventory");
        if inventory
            .deployments
            .iter()
            .any(|one| one.phase == LoadPhase::Ready)
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Body of a chat completion request.
pub fn body(model: &str, tokens: u32) -> String {
    let prompt = "Which vents should open before noon in hall seven?";
    serde_json::json!({
        "model": model, "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
    .to_string()
}

/// Sends a request. Returns the HTTP status, or 0 if the exchange failed.
pub async fn send_request(
    client: &HttpClient,
    address: SocketAddr,
    body: String,
    request: &str,
    deadline: Duration,
) -> u16 {
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("x-request-id", request)
        .header("x-attempt", "1")
        .header(
            "x-courseshunt-deadline-ms",
            deadline.as_millis().to_string(),
        )
        .body(full_body(body))
        .expect("build the request");
    let Ok(response) = client.send(request).await else {
        return 0;
    };
    let status = response.status().as_u16();
    match read_limited(response.into_body(), MAX_ANSWER_BYTES, "bench").await {
        Ok(_) => status,
        Err(_) => 0,
    }
}
