//! The control process: replicated state, planning, feeds and the operators'
//! API. This crate composes the pure cores; it decides nothing itself.

pub mod admin;
pub mod demand;
pub mod error;
pub mod feed;
pub mod replica;
pub mod scheduler;

pub use error::ControllerError;
pub use replica::{ProposeError, ReplicaHandle, ReplicaStatus};

use courseshunt_http::{HttpClient, ServerLimits};
use courseshunt_settings::ControllerSettings;
use courseshunt_types::time::MonotonicClock;
use courseshunt_wire::ClusterKey;
use demand::DemandBook;
use error::{BindSnafu, FileSnafu};
use feed::{FeedSource, RouterRegistry};
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// What the parts of a controller share.
#[derive(Debug, Clone)]
pub struct ControllerContext {
    /// Settings.
    pub settings: Arc<ControllerSettings>,
    /// The replicated state and the way to change it.
    pub replica: ReplicaHandle,
    /// Demand, as reported by routers.
    pub demand: Arc<DemandBook>,
    /// Live routers.
    pub routers: Arc<RouterRegistry>,
    /// What the feeds share.
    pub feed: Arc<FeedSource>,
    /// Soft state of the scheduler.
    pub scheduler: Arc<scheduler::SchedulerState>,
    /// HTTP client for runners and the platform.
    pub client: HttpClient,
    /// Token for the runners' control interface.
    pub runner_token: Arc<str>,
    /// Key of the cluster.
    pub cluster_key: ClusterKey,
    /// Clock of this process.
    pub clock: MonotonicClock,
    /// Cancelled at the planned stop.
    pub stop: CancellationToken,
}

/// A running controller.
#[derive(Debug)]
pub struct Controller {
    /// Address of the operators' API.
    pub http_address: SocketAddr,
    /// Address for other processes.
    pub wire_address: SocketAddr,
    context: ControllerContext,
}

impl Controller {
    /// Starts a controller from its settings.
    ///
    /// # Errors
    /// When a file can't be read, the store is damaged or an address is taken.
    pub async fn start(settings: ControllerSettings) -> Result<Self, ControllerError> {
        let key = read_file(&settings.cluster_key_file)?;
        let cluster_key = ClusterKey::new(key.trim().as_bytes()).context(error::ShortKeySnafu)?;
        let runner_token = read_file(&settings.runner_token_file)?;
        let operators = admin::Operators::read(&settings.operator_token_file)?;
        let http = bind(settings.http_address).await?;
        let wire = bind(settings.wire_address).await?;
        let http_address = http.local_addr().context(BindSnafu {
            address: settings.http_address,
        })?;
        let wire_address = wire.local_addr().context(BindSnafu {
            address: settings.wire_address,
        })?;
        let clock = MonotonicClock::start();
        let replica = replica::start(&settings, clock).await?;
        let scheduler = scheduler::SchedulerState::new(&settings)?;
        let context = ControllerContext {
            scheduler: Arc::new(scheduler),
            settings: Arc::new(settings),
            replica,
            demand: Arc::default(),
            routers: Arc::default(),
            feed: Arc::default(),
            client: HttpClient::default(),
            runner_token: runner_token.trim().into(),
            cluster_key,
            clock,
            stop: CancellationToken::new(),
        };
        feed::start(wire, &context);
        scheduler::start(&context);
        let stop = context.stop.clone();
        let handler = admin::handler(context.clone(), operators);
        tokio::spawn(courseshunt_http::serve(
            http,
            ServerLimits::default(),
            stop,
            handler,
        ));
        log::info!("controller: serves operators on {http_address}, the cluster on {wire_address}");
        Ok(Self {
            http_address,
            wire_address,
            context,
        })
    }

    /// What the parts share, for tests and embedding.
    #[must_use]
    pub fn context(&self) -> &ControllerContext {
        &self.context
    }

    /// Stops as planned.
    pub async fn stop(self) {
        self.context.stop.cancel();
        self.context.replica.stop().await;
        log::info!("controller: stopped");
    }
}

pub(crate) fn read_file(path: &Path) -> Result<String, ControllerError> {
    std::fs::read_to_string(path).context(FileSnafu { path })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, ControllerError> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { address })
}
