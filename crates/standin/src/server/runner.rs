//! A stand-in runner: the engine's API and its control interface.

use super::completion::{CompletionRequest, answer_word};
use super::not_found;
use crate::model::{
    EngineRejection, EngineRequest, RunnerEvent, RunnerModel, RunnerModelSettings, SequenceKey,
};
use bytes::Bytes;
use courseshunt_http::{
    Body, BodySender, HttpClient, ServerLimits, bearer_token, channel_body, full_body,
    json_response, read_limited, serve,
};
use courseshunt_types::runner_api::{
    ATTEMPT_HEADER, Inventory, NOT_STARTED_HEADER, OrderRequest, PRIORITY_HEADER, REQUEST_ID_HEADER,
};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Attempt, ModelName, PriorityClass, RequestId, Timestamp};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

/// Longest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Longest transfer from the weight store.
const FETCH_TIMEOUT: Duration = Duration::from_secs(600);
/// Pause of the driver when nothing is to come.
const IDLE: Duration = Duration::from_secs(3600);

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionEnd {
    /// It runs.
    Running,
    /// All tokens were generated.
    Finished,
    /// The caller left.
    Cancelled,
}

/// One execution, for checks from outside the product.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Execution {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The prompt, as sent.
    pub prompt: String,
    /// How it ended.
    pub end: ExecutionEnd,
}

/// A running stand-in runner.
#[derive(Debug, Clone)]
pub struct RunnerServer {
    /// Its address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

#[derive(Debug)]
struct Shared {
    clock: MonotonicClock,
    token: String,
    store_address: SocketAddr,
    client: HttpClient,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    model: RunnerModel,
    streams: BTreeMap<SequenceKey, mpsc::UnboundedSender<GeneratedToken>>,
    executions: Vec<Execution>,
}

#[derive(Debug, Clone, Copy)]
struct GeneratedToken {
    position: u32,
    last: bool,
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
                streams: BTreeMap::new(),
                executions: Vec::new(),
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
        let handler = move |request, _| {
            let shared = shared.clone();
            async move { shared.answer(request).await }
        };
        tokio::spawn(serve(listener, ServerLimits::default(), stop, handler));
        Ok(server)
    }

    /// All executions so far.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.lock().executions.clone()
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
    fn lock(&self) -> MutexGuard<'_, State> {
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
                } => state.deliver(&key, GeneratedToken { position, last }),
                RunnerEvent::Loaded(_) | RunnerEvent::Unloaded(_) => {}
            }
        }
        state.model.next_event()
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.complete(request).await
            }
            (_, path) if path.starts_with("/control/") => {
                if bearer_token(request.headers()) != Some(&self.token) {
                    let content = serde_json::json!({"error": {
                        "code": "unauthorized", "message": "the token is missing or wrong",
                    }});
                    return json_response(StatusCode::UNAUTHORIZED, &content);
                }
                self.control(request).await
            }
            _ => not_found(),
        }
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

    async fn complete(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let headers = request.headers().clone();
        let body = read_limited(request.into_body(), MAX_BODY_BYTES, "router").await;
        let completion = body.ok().and_then(|body| CompletionRequest::parse(&body));
        let Some(completion) = completion else {
            return rejected(StatusCode::BAD_REQUEST, "the body can't be read");
        };
        let engine_request = engine_request(&headers, &completion);
        let key = engine_request.key.clone();
        let tokens = match self.submit(engine_request, &completion) {
            Ok(tokens) => tokens,
            Err(EngineRejection::Draining) => {
                return rejected(StatusCode::SERVICE_UNAVAILABLE, "draining");
            }
            Err(EngineRejection::NotLoaded) => {
                return rejected(StatusCode::SERVICE_UNAVAILABLE, "not_loaded");
            }
            Err(EngineRejection::Full) => {
                return rejected(StatusCode::SERVICE_UNAVAILABLE, "full");
            }
            Err(EngineRejection::Duplicate) => {
                let content = serde_json::json!({"error": {"message": "duplicate"}});
                return json_response(StatusCode::CONFLICT, &content);
            }
        };
        let running = RunningCompletion {
            shared: self,
            key: key.clone(),
            tokens,
        };
        let mut response = if completion.stream {
            let (sender, body) = channel_body();
            tokio::spawn(stream(running, completion, sender));
            let mut response = Response::new(body);
            let events = HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert(CONTENT_TYPE, events);
            response
        } else {
            whole(running, completion).await
        };
        if let Ok(value) = HeaderValue::from_str(key.request.as_str()) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
            .headers_mut()
            .insert(ATTEMPT_HEADER, key.attempt.0.into());
        response
    }

    fn submit(
        &self,
        request: EngineRequest,
        completion: &CompletionRequest,
    ) -> Result<mpsc::UnboundedReceiver<GeneratedToken>, EngineRejection> {
        let key = request.key.clone();
        let now = self.clock.now();
        let mut state = self.lock();
        state.model.submit(request, now)?;
        let (sender, receiver) = mpsc::unbounded_channel();
        state.streams.insert(key.clone(), sender);
        state.executions.push(Execution {
            request: key.request,
            attempt: key.attempt,
            prompt: completion.prompt.clone(),
            end: ExecutionEnd::Running,
        });
        drop(state);
        self.changed.notify_one();
        Ok(receiver)
    }
}

impl State {
    fn deliver(&mut self, key: &SequenceKey, token: GeneratedToken) {
        if let Some(stream) = self.streams.get(key) {
            let _ = stream.send(token);
        }
        if token.last {
            self.streams.remove(key);
            self.end(key, ExecutionEnd::Finished);
        }
    }

    fn end(&mut self, key: &SequenceKey, end: ExecutionEnd) {
        let same = |one: &&mut Execution| one.request == key.request && one.attempt == key.attempt;
        let found = self.executions.iter_mut().rev().find(same);
        if let Some(execution) = found.filter(|one| one.end == ExecutionEnd::Running) {
            execution.end = end;
        }
    }
}

/// A request in the engine; dropping it cancels what still runs.
struct RunningCompletion {
    shared: Arc<Shared>,
    key: SequenceKey,
    tokens: mpsc::UnboundedReceiver<GeneratedToken>,
}

impl Drop for RunningCompletion {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        if state.streams.remove(&self.key).is_some() {
            state.model.cancel(&self.key, now);
            state.end(&self.key, ExecutionEnd::Cancelled);
        }
        drop(state);
        self.shared.changed.notify_one();
    }
}

async fn stream(mut running: RunningCompletion, request: CompletionRequest, mut body: BodySender) {
    let id = running.key.request.to_string();
    while let Some(token) = running.tokens.recv().await {
        let word = answer_word(&request.prompt, token.position);
        let chunk = request.chunk(&id, token.position, &word, token.last);
        if body.send_data(Bytes::from(chunk)).await.is_err() {
            return;
        }
    }
    let _ = body
        .send_data(Bytes::from_static(b"data: [DONE]\n\n"))
        .await;
}

async fn whole(mut running: RunningCompletion, request: CompletionRequest) -> Response<Body> {
    let mut text = String::new();
    while let Some(token) = running.tokens.recv().await {
        text.push_str(&answer_word(&request.prompt, token.position));
    }
    let id = running.key.request.to_string();
    json_response(StatusCode::OK, &request.whole(&id, &text))
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

fn engine_request(headers: &HeaderMap, completion: &CompletionRequest) -> EngineRequest {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let attempt = text(ATTEMPT_HEADER).and_then(|text| text.parse().ok());
    let class = text(PRIORITY_HEADER).and_then(PriorityClass::parse);
    let (deployment, adapter) = match completion.model.split_once(':') {
        Some((deployment, adapter)) => (deployment, Some(adapter.into())),
        None => (completion.model.as_str(), None),
    };
    EngineRequest {
        key: SequenceKey {
            request: text(REQUEST_ID_HEADER).unwrap_or("direct").into(),
            attempt: Attempt(attempt.unwrap_or(1)),
        },
        deployment: deployment.into(),
        adapter,
        class: class.unwrap_or_default(),
        prompt_tokens: completion.prompt_tokens(),
        max_tokens: completion.max_tokens,
    }
}

/// A refusal that proves that the request did not start.
fn rejected(status: StatusCode, reason: &str) -> Response<Body> {
    let content = serde_json::json!({"error": {"message": reason, "code": reason}});
    let body = full_body(serde_json::to_vec(&content).unwrap_or_default());
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(NOT_STARTED_HEADER, HeaderValue::from_static("true"));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
