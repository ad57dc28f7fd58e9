//! Hollow runners: the real control interface over HTTP, without an engine.
//!
//! Callers' requests get one fixed answer at once. Loads end after a fixed time; the weight store is taken as instant. All
//! messages and bytes of the control interface are counted.

use courseshunt_http::{
    Body, ServerLimits, bearer_token, header_bytes, json_response, read_limited, serve,
};
use courseshunt_standin::model::{RunnerEvent, RunnerModel, RunnerModelSettings};
use courseshunt_types::Millis;
use courseshunt_types::runner_api::{ATTEMPT_HEADER, OrderRequest, REQUEST_ID_HEADER};
use courseshunt_types::time::MonotonicClock;
use hyper::body::{Body as _, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Longest order, in bytes.
const MAX_ORDER_BYTES: usize = 1024 * 1024;
/// Bytes of an answer's head, as `hyper` writes it for JSON.
const ANSWER_HEAD_BYTES: u64 = 108;
/// Bytes of a request line besides its path.
const REQUEST_LINE_BYTES: u64 = 18;

/// Messages and bytes of the control interface, both ways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize)]
pub struct RunnerTraffic {
    /// Requests.
    pub requests: u64,
    /// Bytes of requests and answers.
    pub bytes: u64,
}

/// The answer to every request of a caller, with the identity that it came with.
fn answer(request: &Request<Incoming>) -> Response<Body> {
    let content = serde_json::json!({
        "object": "chat.completion",
        "choices": [{"index": 0, "message": {"role": "assistant", "content": "hollow"},
                     "finish_reason": "stop"}],
    });
    let mut response = json_response(StatusCode::OK, &content);
    for name in [REQUEST_ID_HEADER, ATTEMPT_HEADER] {
        if let Some(value) = request.headers().get(name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}

/// Counters that all hollow runners of a fleet share.
#[derive(Debug, Default)]
pub struct RunnerCounters {
    requests: AtomicU64,
    bytes: AtomicU64,
}

impl RunnerCounters {
    fn add(&self, bytes: u64) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// What was counted so far.
    #[must_use]
    pub fn read(&self) -> RunnerTraffic {
        RunnerTraffic {
            requests: self.requests.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}

/// Settings of one hollow runner.
#[derive(Debug, Clone)]
pub struct HollowRunnerSettings {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// Time that a load takes.
    pub load: Millis,
    /// Token of the control interface.
    pub token: String,
}

/// A running hollow runner.
#[derive(Debug)]
pub struct HollowRunner {
    /// Its address.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Shared {
    clock: MonotonicClock,
    token: String,
    model: Mutex<RunnerModel>,
    counters: Arc<RunnerCounters>,
}

impl HollowRunner {
    /// Starts it; it ends when `stop` is cancelled.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn start(
        settings: HollowRunnerSettings,
        counters: Arc<RunnerCounters>,
        stop: CancellationToken,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let named = RunnerModelSettings::named(&settings.name, &settings.zone, settings.memory_mib);
        let model = RunnerModel::new(RunnerModelSettings {
            accelerators: settings.accelerators,
            engine_start_ms: settings.load,
            ..named
        });
        let shared = Arc::new(Shared {
            clock: MonotonicClock::start(),
            token: settings.token,
            model: Mutex::new(model),
            counters,
        });
        let handler = move |request, _| {
            let shared = shared.clone();
            async move { shared.answer(request).await }
        };
        tokio::spawn(serve(listener, ServerLimits::default(), stop, handler));
        Ok(Self { address })
    }
}

impl Shared {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let asked = header_bytes(&request) as u64 + REQUEST_LINE_BYTES;
        let content = request.body().size_hint().exact().unwrap_or_default();
        let response = self.judge(request).await;
        let answered = response.body().size_hint().exact().unwrap_or_default();
        self.counters
            .add(asked + content + ANSWER_HEAD_BYTES + answered);
        response
    }

    async fn judge(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path().starts_with("/v1/") {
            return answer(&request);
        }
        if bearer_token(request.headers()) != Some(&self.token) {
            return json_response(StatusCode::UNAUTHORIZED, &"unauthorized");
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/control/inventory") => {
                let inventory = self.advanced().inventory(self.clock.now());
                json_response(StatusCode::OK, &inventory)
            }
            (&Method::GET, "/control/load") => {
                json_response(StatusCode::OK, &self.advanced().load_report())
            }
            (&Method::POST, "/control/orders") => self.order(request).await,
            _ => json_response(StatusCode::NOT_FOUND, &"no such page"),
        }
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_limited(request.into_body(), MAX_ORDER_BYTES, "controller").await;
        let order: Option<OrderRequest> = body
            .ok()
            .and_then(|body| serde_json::from_slice(&body).ok());
        let Some(order) = order else {
            return json_response(StatusCode::BAD_REQUEST, &"no order");
        };
        let result = self.advanced().order(&order, self.clock.now());
        match result {
            Ok(reply) => json_response(StatusCode::OK, &reply),
            Err(rejection) => json_response(StatusCode::CONFLICT, &rejection),
        }
    }

    /// The model of this moment; fetches end at once.
    fn advanced(&self) -> MutexGuard<'_, RunnerModel> {
        let mut model = self.model.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        for event in model.advance(now) {
            if let RunnerEvent::FetchNeeded {
                model: name,
                size_mib,
            } = event
            {
                model.fetch_finished(&name, size_mib, now);
            }
        }
        model
    }
}
