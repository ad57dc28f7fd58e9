//! The controller process: replicated state, scheduling, feeds and the operators' API.
//!
//! Invariant: this crate connects the pure cores to sockets, disk and clocks; decisions are
//! made only in the cores.

pub mod admin;
pub mod demand;
pub mod error;
pub mod feed;
pub mod peers;
pub mod replica;
pub mod scheduler;
mod timekeeper;

pub use error::ControllerError;
pub use replica::{ProposeError, ReplicaHandle, ReplicaStatus};

use courseshunt_http::{HttpClient, ServerLimits};
use courseshunt_settings::ControllerSettings;
use courseshunt_types::time::MonotonicClock;
use courseshunt_wire::ClusterKey;
use demand::DemandTracker;
use error::{BindSnafu, FileSnafu};
use feed::{FeedSource, RouterRegistry};
use peers::{AddressBook, PeerNetwork};
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Longest wait for a leadership transfer at a planned stop.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait, after the transfer, for the end of the replica's work and its last write; a disk
/// may stall for longer.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Once the replica has stopped, the last answers to operators' calls are written within this time.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(1);

/// State and handles that the parts of a controller share.
#[derive(Debug, Clone)]
pub struct ControllerContext {
    /// Settings.
    pub settings: Arc<ControllerSettings>,
    /// Handle of the replicated state, for reads and proposals.
    pub replica: ReplicaHandle,
    /// Connections to the other controllers.
    pub peers: PeerNetwork,
    /// Demand, as reported by routers.
    pub demand: Arc<DemandTracker>,
    /// Registry of the live routers.
    pub routers: Arc<RouterRegistry>,
    /// Data and counters that all feeds share.
    pub feed: Arc<FeedSource>,
    /// Volatile state of the scheduler.
    pub scheduler: Arc<scheduler::SchedulerState>,
    /// HTTP client for runners and the platform.
    pub client: HttpClient,
    /// Token for the runners' control interface.
    pub runner_token: Arc<str>,
    /// Key that the processes of a cluster authenticate with.
    pub cluster_key: ClusterKey,
    /// Monotonic clock of this process.
    pub clock: MonotonicClock,
    /// Cancelled at graceful shutdown.
    pub stop: CancellationToken,
}

/// A running controller.
#[derive(Debug)]
pub struct Controller {
    /// Address of the operators' API.
    pub http_address: SocketAddr,
    /// Address at which other processes of the cluster connect.
    pub wire_address: SocketAddr,
    context: ControllerContext,
    /// Operators' calls without a complete answer.
    calls: TaskTracker,
}

impl Controller {
    /// Starts a controller from its settings.
    ///
    /// # Errors
    /// When a file can't be read, the store is damaged or an address is in use.
    pub async fn start(settings: ControllerSettings) -> Result<Self, ControllerError> {
        let http = bind(settings.http_address)?;
        let wire = bind(settings.wire_address)?;
        Self::start_on(settings, http, wire).await
    }

    /// Starts a controller on bound listeners, so that the ports of all members of a group are
    /// known before any member starts.
    ///
    /// # Errors
    /// When a file can't be read or the store is damaged.
    pub async fn start_on(
        settings: ControllerSettings,
        http: TcpListener,
        wire: TcpListener,
    ) -> Result<Self, ControllerError> {
        let key = read_file(&settings.cluster_key_file)?;
        let cluster_key = ClusterKey::new(key.trim().as_bytes()).context(error::ShortKeySnafu)?;
        let runner_token = read_file(&settings.runner_token_file)?;
        let operators = admin::Operators::read(&settings.operator_token_file)?;
        let http_address = http.local_addr().context(BindSnafu {
            address: settings.http_address,
        })?;
        let wire_address = wire.local_addr().context(BindSnafu {
            address: settings.wire_address,
        })?;
        let clock = MonotonicClock::start();
        let stop = CancellationToken::new();
        let addresses = AddressBook::dialling_from(settings.source_address);
        for voter in &settings.voters {
            addresses.set(voter.id, voter.address);
        }
        let peers = PeerNetwork::new(settings.id, cluster_key.clone(), addresses, stop.clone());
        let replica_settings = replica::ReplicaSettings::of_controller(&settings);
        let replica = replica::start(&replica_settings, clock, peers.clone()).await?;
        let client = HttpClient::from_address(settings.source_address);
        let scheduler = scheduler::SchedulerState::new(&settings)?;
        let context = ControllerContext {
            scheduler: Arc::new(scheduler),
            settings: Arc::new(settings),
            replica,
            peers,
            demand: Arc::default(),
            routers: Arc::default(),
            client,
            feed: Arc::default(),
            runner_token: runner_token.trim().into(),
            cluster_key,
            clock,
            stop,
        };
        feed::start(wire, &context);
        scheduler::start(&context);
        let advancing_time = timekeeper::run(context.clone());
        tokio::spawn(
            context
                .stop
                .clone()
                .run_until_cancelled_owned(advancing_time),
        );
        let stop = context.stop.clone();
        let clearing_demand = peers::clear_on_leadership_loss(context.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(clearing_demand));
        let handler = admin::handler(context.clone(), operators);
        let calls = TaskTracker::new();
        tokio::spawn(courseshunt_http::serve_counted(
            http,
            ServerLimits::default(),
            stop,
            calls.clone(),
            handler,
        ));
        log::info!(
            "controller: serving operators on {http_address}, the cluster on {wire_address}"
        );
        Ok(Self {
            http_address,
            wire_address,
            context,
            calls,
        })
    }

    /// The shared state, for tests and embedding.
    #[must_use]
    pub fn context(&self) -> &ControllerContext {
        &self.context
    }

    /// Waits until the replica fails and returns the cause. The process must exit then.
    pub async fn failed(&self) -> Arc<str> {
        self.context.replica.failed().await
    }

    /// Shuts down gracefully. Operators' calls that still wait are answered first; a slow disk delays
    /// no answer.
    pub async fn stop(self) {
        let replica = &self.context.replica;
        // The leadership transfer needs the peer connections, so they are closed after it.
        replica.hand_over(Instant::now() + TRANSFER_TIMEOUT).await;
        let write_deadline = Instant::now() + LAST_WRITE_TIMEOUT;
        replica.stop(write_deadline).await;
        self.context.stop.cancel();
        self.calls.close();
        let answering = tokio::time::timeout(LAST_ANSWERS_TIMEOUT, self.calls.wait());
        let _ = tokio::join!(answering, replica.store_closed(write_deadline));
        log::info!("controller: stopped");
    }
}

pub(crate) fn read_file(path: &Path) -> Result<String, ControllerError> {
    std::fs::read_to_string(path).context(FileSnafu { path })
}

fn bind(address: SocketAddr) -> Result<TcpListener, ControllerError> {
    courseshunt_wire::listen(address).context(BindSnafu { address })
}
