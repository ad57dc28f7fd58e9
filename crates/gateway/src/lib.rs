//! Router for declared services: admits requests, selects the instance with the lowest
//! predicted time to first byte, forwards the request and relays the response as a stream.
//!
//! Invariants: a non-idempotent request is sent again only after the instance reported that it
//! did not run, or if it is certain that it was not sent; a refusal that promises "not run" is
//! given only in these cases; every request ends with a complete response, a refusal or a
//! closed connection within its deadline; a truncated response never looks complete.

mod admission;
mod attempt;
mod client_body;
mod client_limits;
mod controller_search;
pub mod current_document;
mod demand;
mod dial;
pub mod directory;
pub mod ended_streams;
mod error;
mod feed;
pub mod feed_backoff;
mod flight;
pub mod forwarded_headers;
pub mod forwarding;
mod handle;
mod instance_reports;
mod interface;
mod leader_queries;
mod limit_tracker;
mod load_reports;
mod metrics;
mod origin_tracker;
mod path;
pub mod pool;
mod probes;
mod progress;
mod quarantine_tracker;
mod quota_tracker;
mod received_body;
mod records;
mod refusal;
mod relay;
pub mod reservation;
mod resumption;
pub mod resumption_step;
mod retry;
mod select;
mod serve;
pub mod software_versions;
pub mod staleness;
mod view;
pub mod waiting;

pub use dial::{Dialling, InstanceDialler, TcpDialler};
pub use error::GatewayError;
pub use interface::{
    AnsweredRequest, ClientInterface, ForwardContext, PresentedKey, ProbeIdentity, RequestMetadata,
    ResponseMetadata, Resumption,
};

use courseshunt_http::{ConnectionTable, MemoryBudget};
use courseshunt_records::emit;
use courseshunt_services::InstancePaths;
use courseshunt_settings::service::{SeedList, ServiceSettings};
use courseshunt_types::time::{MonotonicClock, SuspendDetector};
use courseshunt_types::{Incarnation, RouterId};
use courseshunt_wire::{ClusterKey, PeerIdentity};
use error::{BindSnafu, NoAddressSnafu, ShortKeySnafu};
use forwarding::ForwarderList;
use instance_reports::UnknownHeaders;
use limit_tracker::LimitTracker;
use load_reports::UnreadableLoads;
use metrics::Metrics;
use origin_tracker::OriginTracker;
use pool::ConnectionPool;
use quarantine_tracker::QuarantineTracker;
use quota_tracker::{QuotaTracker, quota_settings};
use records::RouterRecord;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use view::View;

/// After a stop is requested, new connections are still accepted for this time, because the
/// platform observes the failing readiness probe with a delay.
const READINESS_PROPAGATION_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is reserved for the exit of the process. Like the other margins of
/// a stop, it is in proportion shorter for a short grace period.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// In a planned stop, queued requests are refused this much before the grace period ends, so
/// that the refusals reach the clients before the process exits.
const QUEUED_REFUSAL_MARGIN: Duration = Duration::from_millis(500);
/// In a planned stop, requests without a response are answered this much before the grace period
/// ends, whatever they wait for.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Time in which requests that have arrived are read, before a router without any other ends.
const ARRIVED_REQUESTS_TIME: Duration = Duration::from_millis(20);

/// State shared by all components of a router.
pub(crate) struct Shared {
    pub(crate) settings: ServiceSettings,
    pub(crate) interface: Arc<dyn ClientInterface>,
    pub(crate) view: View,
    pub(crate) pool: ConnectionPool,
    pub(crate) dialler: Arc<dyn InstanceDialler>,
    /// Key that all processes of the cluster share.
    pub(crate) key: ClusterKey,
    paths: Mutex<InstancePaths>,
    pub(crate) forwarders: Arc<ForwarderList>,
    pub(crate) metrics: Metrics,
    pub(crate) clients: ConnectionTable,
    /// Memory of all bodies that this process holds.
    pub(crate) memory: MemoryBudget,
    pub(crate) quotas: Arc<QuotaTracker>,
    pub(crate) limits: LimitTracker,
    pub(crate) origins: OriginTracker,
    pub(crate) quarantine: QuarantineTracker,
    pub(crate) unknown_headers: UnknownHeaders,
    pub(crate) unreadable_loads: UnreadableLoads,
    pub(crate) seeds: SeedList,
    pub(crate) clock: MonotonicClock,
    /// Cancelled when a stop is requested.
    pub(crate) stopping: CancellationToken,
    /// When the requests that are still queued during a planned stop are refused; set when the stop
    /// begins.
    pub(crate) queued_refused_at: OnceLock<Instant>,
    /// Cancelled when neither new connections nor requests that are not yet admitted are accepted.
    pub(crate) closing: CancellationToken,
    /// Cancelled when the requests that are still queued during a planned stop must be refused.
    pub(crate) refusing_queued: CancellationToken,
    /// Cancelled when all requests without a response must be answered during a planned stop.
    pub(crate) last_answers_due: CancellationToken,
    /// Cancelled when the router has stopped.
    pub(crate) ended: CancellationToken,
    pub(crate) requests: TaskTracker,
}

impl Shared {
    /// The identity by which this router opens and accepts connections between processes.
    pub(crate) fn wire_identity(&self) -> PeerIdentity {
        let name = RouterId::from(self.settings.name.as_str());
        PeerIdentity::Router(name, Incarnation(rand::random()))
    }

    /// Whether a message of a leader arrived within [`staleness::MAX_LEADER_SILENCE`].
    pub(crate) fn has_recent_leader(&self) -> bool {
        self.view.feed_age() <= staleness::MAX_LEADER_SILENCE
    }
}

/// Interval between checks whether the machine was suspended.
const SUSPEND_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Records suspensions of the machine. Nothing depends on this task: expiry is always evaluated
/// against a clock that counts suspended time.
async fn watch_suspend(shared: Arc<Shared>) {
    let mut watch = SuspendDetector::start(&shared.clock);
    loop {
        tokio::time::sleep(SUSPEND_CHECK_INTERVAL).await;
        if let Some(suspended) = watch.check(&shared.clock) {
            shared.metrics.add_suspended(suspended);
            emit(&RouterRecord::Slept {
                slept_ms: suspended.0,
            });
        }
    }
}

/// A running router.
pub struct Gateway {
    shared: Arc<Shared>,
}

impl Gateway {
    /// Starts a router.
    ///
    /// # Errors
    /// If the cluster key is too short, or if a listen address is missing or can't be bound.
    pub async fn start(
        settings: ServiceSettings,
        interface: Arc<dyn ClientInterface>,
    ) -> Result<Self, GatewayError> {
        Self::start_with_clock(MonotonicClock::start(), settings, interface).await
    }

    /// Starts a router that evaluates expiry by `clock`.
    ///
    /// # Errors
    /// If the cluster key is too short, or if a listen address is missing or can't be bound.
    pub async fn start_with_clock(
        clock: MonotonicClock,
        settings: ServiceSettings,
        interface: Arc<dyn ClientInterface>,
    ) -> Result<Self, GatewayError> {
        Self::start_with_dialler(Arc::new(TcpDialler), clock, settings, interface).await
    }

    /// Starts a router that evaluates expiry by `clock` and reaches instances by `dialler`.
    ///
    /// # Errors
    /// If the cluster key is too short, or if a listen address is missing or can't be bound.
    pub async fn start_with_dialler(
        dialler: Arc<dyn InstanceDialler>,
        clock: MonotonicClock,
        settings: ServiceSettings,
        interface: Arc<dyn ClientInterface>,
    ) -> Result<Self, GatewayError> {
        let key = ClusterKey::new(settings.cluster_key.as_bytes());
        let key = key.context(ShortKeySnafu)?;
        let clients = settings.listen.clients.context(NoAddressSnafu)?;
        let clients = bind(clients)?;
        let ready = settings.listen.ready.map(bind).transpose()?;
        let metrics_listener = settings.listen.metrics.map(bind).transpose()?;
        let routers = bind(settings.wire_address())?;
        let metrics = Metrics::default();
        let shared = Arc::new(Shared {
            view: View::new(&settings, clock),
            pool: ConnectionPool::new(metrics.passed_over()),
            dialler,
            key: key.clone(),
            paths: Mutex::default(),
            forwarders: Arc::default(),
            metrics,
            clients: ConnectionTable::default(),
            memory: MemoryBudget::of_process(settings.limits.process_memory_bytes()),
            quotas: Arc::new(QuotaTracker::new(
                quota_settings(&settings.limits),
                view::INITIAL_ROUTER_COUNT,
            )),
            limits: LimitTracker::default(),
            origins: OriginTracker::default(),
            quarantine: QuarantineTracker::new(clock),
            unknown_headers: UnknownHeaders::default(),
            unreadable_loads: UnreadableLoads::default(),
            seeds: SeedList::new(&settings),
            interface,
            clock,
            stopping: CancellationToken::new(),
            queued_refused_at: OnceLock::new(),
            closing: CancellationToken::new(),
            refusing_queued: CancellationToken::new(),
            last_answers_due: CancellationToken::new(),
            ended: CancellationToken::new(),
            requests: TaskTracker::new(),
            settings,
        });
        let ended = shared.ended.clone();
        let feed = feed::follow(shared.clone(), key);
        tokio::spawn(ended.clone().run_until_cancelled_owned(feed));
        let suspend_watch = watch_suspend(shared.clone());
        tokio::spawn(ended.clone().run_until_cancelled_owned(suspend_watch));
        tokio::spawn(serve::accept_clients(clients, shared.clone()));
        let routers = forwarding::accept_routers(routers, shared.clone());
        tokio::spawn(ended.clone().run_until_cancelled_owned(routers));
        let recovery = path::recover_lost(shared.clone());
        tokio::spawn(ended.clone().run_until_cancelled_owned(recovery));
        if let Some(ready) = ready {
            tokio::spawn(serve::serve_readiness(ready, shared.clone()));
        }
        if let Some(listener) = metrics_listener {
            tokio::spawn(serve::serve_metrics(listener, shared.clone()));
        }
        emit(&RouterRecord::Started {
            name: &shared.settings.name,
            zone: &shared.settings.zone,
        });
        Ok(Self { shared })
    }

    /// Applies changed settings: new seeds take effect immediately, everything else at the next
    /// start.
    pub fn reload(&self, settings: &ServiceSettings) {
        let seeds = self.shared.seeds.follow(settings);
        emit(&RouterRecord::Reloaded { seeds });
    }

    /// Performs a planned stop: fails the readiness probe, serves requests that still arrive,
    /// and returns once no request is in flight or the grace period is nearly over.
    pub async fn stop(self) {
        emit(&RouterRecord::Stops);
        let limits = self.shared.settings.limits;
        let limit = Instant::now() + limits.grace() - limits.stop_margin(STOP_MARGIN);
        let queued_refused_at = limit - limits.stop_margin(QUEUED_REFUSAL_MARGIN);
        let _ = self.shared.queued_refused_at.set(queued_refused_at);
        self.shared.stopping.cancel();
        self.shared.forwarders.report_due.notify_one();
        tokio::time::sleep(READINESS_PROPAGATION_TIME.min(limits.grace() / 2)).await;
        self.shared.closing.cancel();
        self.shared.requests.close();
        self.end_requests(limit).await;
        self.shared.ended.cancel();
        let unfinished = self.shared.requests.len();
        emit(&RouterRecord::Stopped { unfinished });
    }

    /// Waits until no request is in flight, at most until `limit`. Before that, first the requests
    /// that wait for an instance are refused, and then all that have no response are answered.
    async fn end_requests(&self, limit: Instant) {
        let limits = self.shared.settings.limits;
        let requests = &self.shared.requests;
        let steps = [
            (QUEUED_REFUSAL_MARGIN, Some(&self.shared.refusing_queued)),
            (LAST_ANSWER_MARGIN, Some(&self.shared.last_answers_due)),
            (Duration::ZERO, None),
        ];
        for (margin, next_step) in steps {
            let step_due = limit - limits.stop_margin(margin);
            let ended = tokio::time::timeout_at(step_due, requests_ended(requests)).await;
            if ended.is_ok() {
                return;
            }
            if let Some(next_step) = next_step {
                next_step.cancel();
            }
        }
    }
}

/// Waits until no request is in flight, also none that had arrived and was not read yet when the last
/// one ended.
async fn requests_ended(requests: &TaskTracker) {
    while !requests.is_empty() {
        requests.wait().await;
        tokio::time::sleep(ARRIVED_REQUESTS_TIME).await;
    }
}

fn bind(address: SocketAddr) -> Result<tokio::net::TcpListener, GatewayError> {
    courseshunt_wire::listen(address).context(BindSnafu { address })
}
