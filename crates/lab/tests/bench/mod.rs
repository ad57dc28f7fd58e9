//! A small site of real processes' parts on real sockets, each router and
//! controller on a runtime of its own, so that it can die.

#![allow(dead_code, reason = "each test uses a part of it")]

mod answer;

#[allow(unused_imports, reason = "each test uses a part of it")]
pub use answer::{Answer, body, expected_text};

use courseshunt_controller::Controller;
use courseshunt_http::{HttpClient, full_body, read_limited};
use courseshunt_operator::AdminClient;
use courseshunt_router::{Router, RouterContext};
use courseshunt_settings::{ControllerSettings, RouterSettings};
use courseshunt_standin::model::{EngineTiming, RunnerModelSettings, StoreModelSettings};
use courseshunt_standin::server::{
    FaultPlan, PlatformServer, RunnerFault, RunnerServer, StoreServer,
};
use courseshunt_state::{ChangeRequest, Command, TenantDocument};
use courseshunt_types::runner_api::{MachineItem, MachineState};
use courseshunt_types::{Digest, Millis, ReplicaKey, Version};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::runtime::Runtime;

/// Longest wait for a condition.
pub const PATIENCE: Duration = Duration::from_secs(30);
pub const TENANT_TOKEN: &str = "token-of-souss";
pub const MODEL: &str = "climate-ctl-vents";
/// Tokens of an answer.
pub const TOKENS: u32 = 8;
const RUNNER_TOKEN: &str = "token-of-runners";
const OPERATOR_TOKEN: &str = "token-of-operators";
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A process's part on a runtime of its own.
pub struct Process<T> {
    pub part: T,
    runtime: Runtime,
}

impl<T> Process<T> {
    fn start<E: std::fmt::Debug>(start: impl Future<Output = Result<T, E>>) -> Self {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).enable_all().build().unwrap();
        let part = runtime.block_on(start).unwrap();
        Self { part, runtime }
    }

    /// Ends everything at once, without a word to anybody.
    pub fn kill(self) {
        self.runtime.shutdown_background();
    }
}

pub struct Bench {
    pub platform: PlatformServer,
    pub runners: Vec<RunnerServer>,
    pub faults: FaultPlan,
    pub controller: Option<Process<Controller>>,
    pub routers: Vec<Option<Process<Router>>>,
    controller_http: SocketAddr,
    controller_wire: SocketAddr,
    folder: tempfile::TempDir,
    client: HttpClient,
    version: u64,
    _store: StoreServer,
    runtime: Runtime,
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// A port that a restarted process can take again: on a loopback address of the
/// bench's own, where no outgoing connection of another test takes ports.
fn free_port(bench: Ipv4Addr) -> SocketAddr {
    let listener = std::net::TcpListener::bind((bench, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// A loopback address for one bench of one test process.
fn own_address() -> Ipv4Addr {
    static BENCHES: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let bench = BENCHES.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 64 + (high & 63), low, bench)
}

/// Prints log lines when the variable BENCH_LOG is set, to look into a failure.
struct PrintedLog;

impl log::Log for PrintedLog {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        println!("{:?} {}", std::time::SystemTime::now(), record.args());
    }

    fn flush(&self) {}
}

impl Bench {
    /// Starts two runners, one controller and the routers; the model is loaded
    /// on both runners.
    pub fn start(routers: usize) -> Self {
        Self::start_with_token_time(routers, 5.0)
    }

    /// Like [`Self::start`], with another time between tokens, in milliseconds.
    pub fn start_with_token_time(routers: usize, token_ms: f64) -> Self {
        if std::env::var_os("BENCH_LOG").is_some() {
            let _ =
                log::set_logger(&PrintedLog).map(|()| log::set_max_level(log::LevelFilter::Debug));
        }
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(4).enable_all().build().unwrap();
        let folder = tempfile::tempdir().unwrap();
        for (name, content) in [
            ("cluster.key", "0123456789abcdef0123456789abcdef".to_owned()),
            ("runner.token", RUNNER_TOKEN.to_owned()),
            ("operators", format!("operate {OPERATOR_TOKEN}\n")),
        ] {
            std::fs::write(folder.path().join(name), content).unwrap();
        }
        let address = own_address();
        let faults = FaultPlan::default();
        let (platform, store, runners) = runtime.block_on(machines(&faults, token_ms));
        let mut bench = Self {
            platform,
            runners,
            faults,
            controller: None,
            routers: Vec::new(),
            controller_http: free_port(address),
            controller_wire: free_port(address),
            folder,
            client: HttpClient::default(),
            version: 0,
            _store: store,
            runtime,
        };
        bench.start_controller();
        bench.configure(json!({}));
        for _ in 0..routers {
            bench.add_router();
        }
        bench.warm();
        bench
    }

    fn path(&self, name: &str) -> String {
        self.folder.path().join(name).display().to_string()
    }

    /// Starts the controller, or starts it again on its data.
    pub fn start_controller(&mut self) {
        let arguments = [
            "--id=1".to_owned(),
            format!("--http-address={}", self.controller_http),
            format!("--wire-address={}", self.controller_wire),
            format!("--data-folder={}", self.path("controller")),
            format!("--platform-address={}", self.platform.address),
            format!("--operator-token-file={}", self.path("operators")),
            format!("--runner-token-file={}", self.path("runner.token")),
            format!("--cluster-key-file={}", self.path("cluster.key")),
        ];
        let settings = ControllerSettings::load(&arguments).unwrap();
        self.controller = Some(Process::start(Controller::start(settings)));
    }

    /// The ledger loses its quorum.
    pub fn kill_controller(&mut self) {
        self.controller.take().unwrap().kill();
    }

    pub fn add_router(&mut self) {
        let router = self.start_router(self.routers.len() + 1);
        self.routers.push(Some(router));
    }

    /// Starts a router again that was stopped or killed.
    pub fn restart_router(&mut self, number: usize) {
        self.routers[number] = Some(self.start_router(number + 1));
    }

    fn start_router(&self, number: usize) -> Process<Router> {
        let arguments = [
            format!("--id=router-{number}"),
            "--http-address=127.0.0.1:0".to_owned(),
            "--wire-address=127.0.0.1:0".to_owned(),
            format!("--controllers={}", self.controller_wire),
            format!("--cluster-key-file={}", self.path("cluster.key")),
        ];
        let settings = RouterSettings::load(&arguments).unwrap();
        Process::start(Router::start(settings))
    }

    pub fn kill_router(&mut self, number: usize) {
        self.routers[number].take().unwrap().kill();
    }

    /// Stops a router as planned.
    pub fn stop_router(&mut self, number: usize) {
        let process = self.routers[number].take().unwrap();
        process.runtime.block_on(process.part.stop());
    }

    pub fn router(&self, number: usize) -> &RouterContext {
        self.routers[number].as_ref().unwrap().part.context()
    }

    pub fn address(&self, number: usize) -> SocketAddr {
        self.routers[number].as_ref().unwrap().part.http_address
    }

    pub fn admin(&self) -> AdminClient {
        AdminClient::new(self.controller_http.to_string(), OPERATOR_TOKEN)
    }

    /// Sets the deployment, with other fields on top of the usual ones.
    pub fn configure(&mut self, fields: Value) {
        self.version += 1;
        let mut document = json!({
            "name": MODEL, "version": self.version, "model": "climate", "tenant": "souss",
            "memory_mib": 1000, "max_replicas": 2, "slots_per_replica": 8,
            "load_estimate_ms": 1000,
        });
        for (name, value) in fields.as_object().unwrap() {
            document[name] = value.clone();
        }
        let change = ChangeRequest {
            change_id: format!("change-{}", self.version).into(),
            deployments: vec![serde_json::from_value(document).unwrap()],
            tenants: vec![TenantDocument {
                name: "souss".into(),
                version: Version(1),
                token_digests: vec![Digest::of(TENANT_TOKEN.as_bytes())],
            }],
            ..ChangeRequest::default()
        };
        let admin = self.admin();
        self.wait_for("the configuration", || {
            self.runtime.block_on(admin.apply(&change)).is_ok()
        });
        let revision = || {
            let controller = self.controller.as_ref().unwrap();
            let state = controller.part.context().replica.state();
            state.configuration.revision
        };
        self.wait_for("the configuration in force", || {
            let mut routers = self.routers.iter().flatten();
            routers.all(|router| router.part.context().view.revision() >= revision())
        });
    }

    /// Loads the model on both runners and waits until every router knows, and
    /// is ready: its configuration is confirmed by a quorum.
    pub fn warm(&self) {
        self.wait_for("loaded replicas at all routers", || {
            for runner in ["runner-1", "runner-2"] {
                let place = Command::PlaceReplica {
                    replica: ReplicaKey {
                        deployment: MODEL.into(),
                        runner: runner.into(),
                    },
                    memory_mib: 1000,
                };
                let replica = &self.controller.as_ref().unwrap().part.context().replica;
                let _ = self.runtime.block_on(replica.submit(place));
            }
            let mut routers = self.routers.iter().flatten();
            routers.all(|router| {
                let context = router.part.context();
                context.view.is_synced() && is_warm(context)
            })
        });
    }

    pub fn wait_for(&self, what: &str, mut condition: impl FnMut() -> bool) {
        let deadline = std::time::Instant::now() + PATIENCE;
        while !condition() {
            assert!(std::time::Instant::now() < deadline, "waited for {what}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Executions at all runners with this prompt.
    pub fn executions(&self, prompt: &str) -> usize {
        let all = self.runners.iter().flat_map(RunnerServer::executions);
        all.filter(|one| one.prompt.contains(prompt)).count()
    }

    /// Restarts the runners that a fault has killed.
    pub fn revive(&self) {
        for runner in &self.runners {
            self.runtime.block_on(runner.restart()).unwrap();
        }
        self.wait_for("the runners' incarnations at all routers", || {
            let mut routers = self.routers.iter().flatten();
            routers.all(|router| {
                let view = &router.part.context().view;
                let mut runners = self.runners.iter().zip(["runner-1", "runner-2"]);
                runners.all(|(runner, name)| {
                    let known = view.runner(&name.into());
                    known.is_some_and(|known| known.incarnation == runner.incarnation())
                })
            })
        });
        self.warm();
    }

    /// Runs work on the callers' runtime.
    pub fn run<T>(&self, work: impl Future<Output = T>) -> T {
        self.runtime.block_on(work)
    }

    pub fn spawn<T: Send + 'static>(
        &self,
        work: impl Future<Output = T> + Send + 'static,
    ) -> tokio::task::JoinHandle<T> {
        self.runtime.spawn(work)
    }

    /// A call to a router, as a future that owns what it needs.
    pub fn call(
        &self,
        router: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> impl Future<Output = Answer> + Send + 'static + use<> {
        let client = self.client.clone();
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address(router)))
            .header(AUTHORIZATION, format!("Bearer {TENANT_TOKEN}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(full_body(body)).unwrap();
        async move {
            let response = client.send(request).await.unwrap();
            let (head, body) = response.into_parts();
            let body = read_limited(body, MAX_ANSWER_BYTES, "router")
                .await
                .unwrap();
            Answer {
                status: head.status,
                headers: head.headers,
                body: String::from_utf8_lossy(&body).into_owned(),
            }
        }
    }

    /// A completion.
    pub fn complete(
        &self,
        router: usize,
        prompt: &str,
        stream: bool,
        headers: &[(&str, &str)],
    ) -> impl Future<Output = Answer> + Send + 'static + use<> {
        let body = body(prompt, stream, TOKENS);
        self.call(router, Method::POST, "/v1/chat/completions", headers, body)
    }

    /// Opens a stream and reads its first piece; the rest stays open.
    pub fn open_stream(
        &self,
        target: SocketAddr,
        prompt: &str,
    ) -> impl Future<Output = Incoming> + Send + 'static + use<> {
        let client = self.client.clone();
        let request = Request::post(format!("http://{target}/v1/chat/completions"))
            .header(AUTHORIZATION, format!("Bearer {TENANT_TOKEN}"))
            .header("x-request-id", prompt.replace(' ', "-"))
            .body(full_body(body(prompt, true, TOKENS)))
            .unwrap();
        async move {
            let response = client.send(request).await.unwrap();
            assert_eq!(response.status(), StatusCode::OK);
            let mut body = response.into_body();
            body.frame().await.unwrap().unwrap();
            body
        }
    }

    pub fn plan(&self, faults: &[RunnerFault]) {
        self.faults.set(faults.iter().copied());
    }
}

fn is_warm(context: &RouterContext) -> bool {
    let replicas = context.view.replicas(&MODEL.into());
    let ready = replicas.map(|replicas| replicas.ready).unwrap_or_default();
    let usable = ready.iter().filter(|runner| {
        let endpoint = context.view.runner(runner);
        endpoint.is_some_and(|one| one.state == MachineState::Live)
    });
    usable.count() == 2
}

async fn machines(
    faults: &FaultPlan,
    token_ms: f64,
) -> (PlatformServer, StoreServer, Vec<RunnerServer>) {
    let platform = PlatformServer::start(any_port()).await.unwrap();
    let store = StoreModelSettings {
        starts_per_second: 1000.0,
        transfer_mib_per_second: 1e6,
        ..StoreModelSettings::default()
    };
    let store = StoreServer::start(any_port(), store).await.unwrap();
    let mut runners = Vec::new();
    for name in ["runner-1", "runner-2"] {
        let mut model = RunnerModelSettings::named(name, "default", 10_000);
        model.engine_start_ms = Millis(1);
        model.timing = EngineTiming {
            first_token_ms: 5.0,
            prompt_token_ms: 0.0,
            token_ms,
            token_per_request_ms: 0.0,
            token_per_context_ms: 0.0,
        };
        let started = RunnerServer::start(any_port(), store.address, RUNNER_TOKEN, model).await;
        let server = started.unwrap();
        server.use_faults(faults);
        platform.set(MachineItem {
            runner: name.into(),
            address: server.address.to_string(),
            zone: "default".into(),
            state: MachineState::Live,
        });
        runners.push(server);
    }
    (platform, store, runners)
}
