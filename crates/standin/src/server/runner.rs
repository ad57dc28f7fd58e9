//! A stand-in runner: its process, driver and control interface.

use super::connections::{Answer, accept};
use super::executions::{Execution, ExecutionEnd, Executions};
use super::fault::FaultPlan;
use super::not_found;
use crate::model::{RunnerEvent, RunnerModel, RunnerModelSettings, SequenceKey};
use courseshunt_http::{Body, HttpClient, bearer_token, json_response, read_limited};
use courseshunt_types::runner_api::{Inventory, OrderRequest};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Incarnation, ModelName, Timestamp};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Longest request body, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Longest transfer from the weight store.
const FETCH_TIMEOUT: Duration = Duration::from_secs(600);
/// Tries to bind the address of a dead process.
const BIND_TRIES: u32 = 100;
/// Pause between them.
const BIND_PAUSE: Duration = Duration::from_millis(20);
/// Pause of the driver when nothing is to come.
const IDLE: Duration = Duration::from_secs(3600);

/// A running stand-in runner.
#[derive(Debug, Clone)]
pub struct RunnerServer {
    /// Its address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: MonotonicClock,
    token: String,
    store_address: SocketAddr,
    client: HttpClient,
    state: Mutex<State>,
    pub(super) changed: Notify,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) model: RunnerModel,
    pub(super) executions: Executions,
    pub(super) faults: FaultPlan,
    /// Cancelled at the death of the process.
    alive: CancellationToken,
}

impl RunnerServer {
    /// Starts it.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        store_address: SocketAddr,
        token: &str,
        settings: RunnerModelSettings,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let shared = Arc::new(Shared {
            clock: MonotonicClock::start(),
            token: token.to_owned(),
            store_address,
            client: HttpClient::default(),
            state: Mutex::new(State {
                model: RunnerModel::new(settings),
                executions: Executions::default(),
                faults: FaultPlan::default(),
                alive: CancellationToken::new(),
            }),
            changed: Notify::new(),
        });
        let server = Self {
            address: listener.local_addr()?,
            shared: shared.clone(),
            stop: CancellationToken::new(),
        };
        let stop = server.stop.clone();
        let (driver, driver_stop) = (shared.clone(), stop.clone());
        tokio::spawn(async move { driver_stop.run_until_cancelled(drive(&driver)).await });
        server.listen(listener);
        Ok(server)
    }

    fn listen(&self, listener: TcpListener) {
        let alive = self.shared.lock().alive.clone();
        let accepting = accept(listener, self.shared.clone(), alive, self.stop.clone());
        tokio::spawn(accepting);
    }

    /// The incarnation of the present process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.shared.lock().model.settings().incarnation
    }

    /// Takes faults from a plan that a test makes.
    pub fn use_faults(&self, plan: &FaultPlan) {
        self.shared.lock().faults = plan.clone();
    }

    /// Ends the process at once: connections break and memory is lost. Nothing
    /// listens until [`Self::restart`].
    pub fn kill(&self) {
        self.shared.die();
    }

    /// Starts a new process on the same address after [`Self::kill`]; does
    /// nothing while one runs.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn restart(&self) -> std::io::Result<()> {
        if !self.shared.lock().alive.is_cancelled() {
            return Ok(());
        }
        let listener = self.bind_again().await?;
        self.shared.lock().alive = CancellationToken::new();
        self.listen(listener);
        Ok(())
    }

    /// Binds the address as soon as the dead process's listener is closed.
    async fn bind_again(&self) -> std::io::Result<TcpListener> {
        for _ in 0..BIND_TRIES {
            match TcpListener::bind(self.address).await {
                Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
                bound => return bound,
            }
            tokio::time::sleep(BIND_PAUSE).await;
        }
        TcpListener::bind(self.address).await
    }

    /// All executions so far.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.lock().executions.all()
    }

    /// Orders refused because memory would have been overcommitted.
    #[must_use]
    pub fn overcommit_attempts(&self) -> u64 {
        self.shared.lock().model.overcommit_attempts
    }

    /// What it holds.
    #[must_use]
    pub fn inventory(&self) -> Inventory {
        let now = self.shared.clock.now();
        self.shared.lock().model.inventory(now)
    }

    /// Begins to drain.
    pub fn start_draining(&self) {
        self.shared.lock().model.start_draining();
    }

    /// Stops it after running requests.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

async fn drive(shared: &Arc<Shared>) {
    loop {
        let next = shared.advance();
        let pause = next.map_or(IDLE, |at| at.since(shared.clock.now()).into());
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = shared.changed.notified() => {}
        }
    }
}

impl Shared {
    /// The process dies: a new one starts empty, under a new incarnation.
    pub(super) fn die(&self) {
        let mut state = self.lock();
        let mut settings = state.model.settings().clone();
        settings.incarnation = settings.incarnation.next();
        state.model = RunnerModel::new(settings);
        state.executions.forget_all();
        state.alive.cancel();
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn advance(self: &Arc<Self>) -> Option<Timestamp> {
        let mut state = self.lock();
        let events = state.model.advance(self.clock.now());
        for event in events {
            match event {
                RunnerEvent::FetchNeeded { model, size_mib } => {
                    tokio::spawn(fetch(self.clone(), model, size_mib));
                }
                RunnerEvent::Token {
                    key,
                    position,
                    last,
                } => state.executions.token(&key, position, last),
                RunnerEvent::Loaded(_) | RunnerEvent::Unloaded(_) => {}
            }
        }
        state.model.next_event()
    }

    pub(super) async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let answer = match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                return self.complete(request).await;
            }
            (_, path) if path.starts_with("/v1/executions/") => {
                return self.execution(&request).await;
            }
            (_, path) if path.starts_with("/control/") => {
                if bearer_token(request.headers()) != Some(&self.token) {
                    let content = serde_json::json!({"error": {
                        "code": "unauthorized", "message": "the token is missing or wrong",
                    }});
                    return Ok(json_response(StatusCode::UNAUTHORIZED, &content));
                }
                self.control(request).await
            }
            _ => not_found(),
        };
        Ok(answer)
    }

    async fn control(&self, request: Request<Incoming>) -> Response<Body> {
        let now = self.clock.now();
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/control/inventory") => {
                json_response(StatusCode::OK, &self.lock().model.inventory(now))
            }
            (&Method::GET, "/control/load") => {
                json_response(StatusCode::OK, &self.lock().model.load_report())
            }
            (&Method::POST, "/control/orders") => self.order(request).await,
            _ => not_found(),
        }
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_limited(request.into_body(), MAX_BODY_BYTES, "controller").await;
        let order = body
            .ok()
            .and_then(|body| serde_json::from_slice::<OrderRequest>(&body).ok());
        let Some(order) = order else {
            let content = serde_json::json!({"kind": "invalid", "message": "no order"});
            return json_response(StatusCode::BAD_REQUEST, &content);
        };
        let now = self.clock.now();
        let result = self.lock().model.order(&order, now);
        self.changed.notify_one();
        match result {
            Ok(reply) => json_response(StatusCode::OK, &reply),
            Err(rejection) => json_response(StatusCode::CONFLICT, &rejection),
        }
    }

    /// Ends an execution early.
    pub(super) fn cancel(&self, key: &SequenceKey) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.model.cancel(key, now);
        state.executions.end(key, ExecutionEnd::Cancelled);
        drop(state);
        self.changed.notify_one();
    }
}

async fn fetch(shared: Arc<Shared>, model: ModelName, size_mib: u64) {
    let address = shared.store_address.to_string();
    let path = format!("/fetch?size_mib={size_mib}");
    let client = &shared.client;
    loop {
        let reply = client
            .call::<()>(Method::POST, &address, &path, None, None, FETCH_TIMEOUT)
            .await;
        match reply {
            Ok(reply) if reply.status.is_success() => break,
            Ok(reply) => log::warn!("standin: weight store answered {}", reply.status),
            Err(error) => log::warn!("standin: fetch of {model} failed: {error}"),
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let now = shared.clock.now();
    shared.lock().model.fetch_finished(&model, size_mib, now);
    shared.changed.notify_one();
}
