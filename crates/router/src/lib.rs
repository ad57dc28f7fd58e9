//! The request router: the API for callers, waiting queues, dispatch and retries.
//! This crate combines the queue logic, which does no I/O, with HTTP and the
//! control feed.

pub mod attempt;
pub mod caller;
pub mod configuration;
pub mod control;
pub mod dispatch;
pub mod error;
pub mod jobs;
pub mod limits;
pub mod peers;

pub use error::RouterError;

use configuration::ConfigurationView;
use control::{LedgerClient, LinkSettings, RelaySource};
use courseshunt_http::{HttpClient, ServerLimits};
use courseshunt_settings::RouterSettings;
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{Incarnation, RouterId};
use courseshunt_wire::message::RouterEndpoint;
use courseshunt_wire::{ClusterKey, PeerIdentity};
use dispatch::DispatcherHandle;
use error::{BindSnafu, FileSnafu, ShortKeySnafu};
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Longest wait at a planned stop until a controller has been notified of it.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(1);

/// In a planned stop, whatever has no complete answer is answered this much before the end of the
/// drain, so that the answers reach the callers before the process exits.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// State that the components of a router share; cheap to clone.
#[derive(Debug, Clone)]
pub struct RouterContext {
    /// Settings of this router.
    pub settings: Arc<RouterSettings>,
    /// Random number that identifies this run of the process.
    pub incarnation: Incarnation,
    /// Configuration, replicas and live routers as received from the feed.
    pub view: Arc<ConfigurationView>,
    /// Handle of the actor that manages the waiting queues.
    pub dispatcher: DispatcherHandle,
    /// Sends commands to the replicated ledger.
    pub ledger: LedgerClient,
    /// Counters of attempts, claims and jobs by result.
    pub counts: Arc<attempt::AttemptCounts>,
    /// Estimated service times of the deployments.
    pub service_times: Arc<attempt::ServiceTimes>,
    /// Budget that limits the share of requests that are retried.
    pub retry_budget: Arc<attempt::RetryBudget>,
    /// Queued jobs assigned to this router.
    pub jobs: Arc<jobs::JobTracker>,
    /// Tasks that a planned stop waits for.
    pub tasks: TaskTracker,
    /// Callers' requests by result.
    pub requests: Arc<caller::RequestCounts>,
    /// Limit on the memory for callers' request bodies.
    pub bodies: limits::BodyBudget,
    /// HTTP client for requests to runners.
    pub client: HttpClient,
    /// Clock of this process.
    pub clock: MonotonicClock,
    /// Cancelled when an operator requests a planned stop.
    pub drain: CancellationToken,
    /// Cancelled when a controller has been notified of the planned stop.
    pub leaving_reported: CancellationToken,
    /// Cancelled when the planned stop begins.
    pub stop: CancellationToken,
    /// Cancelled shortly before the end of the drain: what has no complete answer is answered, and
    /// no further send to a runner begins.
    pub last_answers_due: CancellationToken,
}

impl RouterContext {
    /// Whether this incarnation of a router is live according to the fleet view.
    #[must_use]
    pub fn is_live(&self, router: &RouterId, incarnation: Incarnation) -> bool {
        let own = *router == self.settings.id && incarnation == self.incarnation;
        let routers = self.view.routers();
        let listed = |endpoint: &RouterEndpoint| {
            endpoint.router == *router && endpoint.incarnation == incarnation
        };
        own || routers.iter().any(listed)
    }
}

/// A running router.
#[derive(Debug)]
pub struct Router {
    /// Address of the HTTP API for callers.
    pub http_address: SocketAddr,
    /// Address of the wire protocol for controllers and other routers.
    pub wire_address: SocketAddr,
    context: RouterContext,
    server: tokio::task::JoinHandle<()>,
    /// Cancelled when no request runs any more. The connections to controllers
    /// and to other routers stay open until then.
    ended: CancellationToken,
}

impl Router {
    /// Starts a router from its settings.
    ///
    /// # Errors
    /// When the cluster key can't be read or an address can't be bound.
    pub async fn start(settings: RouterSettings) -> Result<Self, RouterError> {
        let path = &settings.cluster_key_file;
        let key = std::fs::read_to_string(path).context(FileSnafu { path })?;
        let key = ClusterKey::new(key.trim().as_bytes()).context(ShortKeySnafu)?;
        let http = bind(settings.http_address).await?;
        let wire = bind(settings.wire_address).await?;
        let http_address = local_address(&http, settings.http_address)?;
        let wire_address = local_address(&wire, settings.wire_address)?;
        let advertised = settings.advertised_address.unwrap_or(wire_address);
        let clock = MonotonicClock::start();
        let view = Arc::new(ConfigurationView::default());
        let settings = Arc::new(settings);
        let (ledger, ledger_calls) = control::ledger_channel();
        let incarnation = Incarnation(rand::random());
        let identity = PeerIdentity::Router(settings.id.clone(), incarnation);
        let dispatcher = dispatch::start(dispatch::Arguments {
            router: settings.id.clone(),
            identity: identity.clone(),
            source: settings.source_address,
            key: key.clone(),
            view: view.clone(),
            clock,
        });
        let dispatcher = dispatcher.await?;
        let limits = ServerLimits {
            max_connections: settings.max_connections,
            ..ServerLimits::default()
        };
        let client = HttpClient::from_address(settings.source_address);
        let max_waiting_bytes = settings.max_waiting_bytes;
        let context = RouterContext {
            settings,
            incarnation,
            view,
            dispatcher,
            ledger,
            counts: Arc::default(),
            retry_budget: Arc::default(),
            service_times: Arc::default(),
            jobs: Arc::default(),
            tasks: TaskTracker::new(),
            requests: Arc::default(),
            client,
            bodies: limits::BodyBudget::new(max_waiting_bytes),
            clock,
            drain: CancellationToken::new(),
            leaving_reported: CancellationToken::new(),
            stop: CancellationToken::new(),
            last_answers_due: CancellationToken::new(),
        };
        let endpoints = control::Endpoints {
            http_address,
            wire_address: advertised,
        };
        let ended = CancellationToken::new();
        let peers = context.dispatcher.peer_context(key.clone(), identity);
        let relay = RelaySource {
            view: context.view.clone(),
            clock,
        };
        tokio::spawn(peers::accept_holders(wire, peers, relay, ended.clone()));
        let link = LinkSettings::of_router(
            &context.settings,
            context.incarnation,
            endpoints,
            key,
            clock,
        );
        let link = control::run(context.clone(), link, ledger_calls);
        tokio::spawn(ended.clone().run_until_cancelled_owned(link));
        tokio::spawn(jobs::run(context.clone()));
        let handler = caller::handler(context.clone());
        let stop = context.stop.clone();
        let server = tokio::spawn(courseshunt_http::serve(http, limits, stop, handler));
        log::info!("router: serving HTTP on {http_address}, wire protocol on {wire_address}");
        Ok(Self {
            http_address,
            wire_address,
            context,
            server,
            ended,
        })
    }

    /// The shared state, for tests and embedding.
    #[must_use]
    pub fn context(&self) -> &RouterContext {
        &self.context
    }

    /// Waits until an operator requests a planned stop.
    pub async fn drain_requested(&self) {
        self.context.drain.cancelled().await;
    }

    /// Performs a planned stop: the router reports not ready, its queues move to
    /// other routers, running requests finish and their results are recorded. What has not
    /// finished shortly before the end of the drain is answered.
    pub async fn stop(self) {
        let context = &self.context;
        context.stop.cancel();
        context.dispatcher.stop();
        let finished = async {
            let _ = self.server.await;
            context.tasks.close();
            context.tasks.wait().await;
        };
        end_requests(context, finished).await;
        let reported = context.leaving_reported.cancelled();
        let _ = tokio::time::timeout(LEAVING_TIMEOUT, reported).await;
        self.ended.cancel();
        log::info!("router: stopped");
    }
}

/// Waits until `finished` resolves, at the longest until the end of the drain. Before that, what has
/// no complete answer is answered.
async fn end_requests(context: &RouterContext, finished: impl Future<Output = ()>) {
    let drain = context.settings.drain;
    let limit = Instant::now() + Duration::from(drain);
    let mut finished = std::pin::pin!(finished);
    let ended = tokio::time::timeout_at(limit - LAST_ANSWER_MARGIN, finished.as_mut()).await;
    if ended.is_ok() {
        return;
    }
    log::warn!(
        "router: answering what has not finished {} ms before the end of the drain",
        LAST_ANSWER_MARGIN.as_millis()
    );
    context.last_answers_due.cancel();
    if tokio::time::timeout_at(limit, finished).await.is_err() {
        let left = context.tasks.len();
        log::warn!(
            "router: drain timed out after {} ms with {left} tasks in progress",
            drain.0
        );
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RouterError> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { address })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, RouterError> {
    listener.local_addr().context(BindSnafu { address })
}
