//! The request router: callers' API, waiting queues, dispatch and retries.
//! This crate composes the pure queue core with HTTP and the control feed.

pub mod caller;
pub mod configuration;
pub mod control;
pub mod dispatch;
pub mod error;
pub mod limits;
pub mod peers;

pub use error::RouterError;

use configuration::ConfigurationView;
use control::{LedgerClient, LinkSettings};
use courseshunt_http::{HttpClient, ServerLimits};
use courseshunt_settings::RouterSettings;
use courseshunt_types::Incarnation;
use courseshunt_types::time::MonotonicClock;
use courseshunt_wire::{ClusterKey, PeerIdentity};
use dispatch::DispatcherHandle;
use error::{BindSnafu, FileSnafu, ShortKeySnafu};
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// What the parts of a router share.
#[derive(Debug, Clone)]
pub struct RouterContext {
    /// Settings.
    pub settings: Arc<RouterSettings>,
    /// Drawn at this start.
    pub incarnation: Incarnation,
    /// Configuration, replicas and fleet, as last fed.
    pub view: Arc<ConfigurationView>,
    /// The waiting queues.
    pub dispatcher: DispatcherHandle,
    /// Commands for the replicated ledger.
    pub ledger: LedgerClient,
    /// Callers' requests by result.
    pub requests: Arc<caller::RequestCounts>,
    /// Bound on callers' bodies in memory.
    pub bodies: limits::BodyBudget,
    /// HTTP client for runners.
    pub client: HttpClient,
    /// Clock of this process.
    pub clock: MonotonicClock,
    /// Cancelled at the planned stop.
    pub stop: CancellationToken,
}

/// A running router.
#[derive(Debug)]
pub struct Router {
    /// Address for callers.
    pub http_address: SocketAddr,
    /// Address for other processes.
    pub wire_address: SocketAddr,
    context: RouterContext,
    server: tokio::task::JoinHandle<()>,
    /// Cancelled when no request runs any more; the connections to controllers
    /// and to other routers serve until then.
    ended: CancellationToken,
}

impl Router {
    /// Starts a router from its settings.
    ///
    /// # Errors
    /// When the key can't be read or an address is taken.
    pub async fn start(settings: RouterSettings) -> Result<Self, RouterError> {
        let path = &settings.cluster_key_file;
        let key = std::fs::read_to_string(path).context(FileSnafu { path })?;
        let key = ClusterKey::new(key.trim().as_bytes()).context(ShortKeySnafu)?;
        let http = bind(settings.http_address).await?;
        let wire = bind(settings.wire_address).await?;
        let http_address = local_address(&http, settings.http_address)?;
        let wire_address = local_address(&wire, settings.wire_address)?;
        let clock = MonotonicClock::start();
        let view = Arc::new(ConfigurationView::default());
        let settings = Arc::new(settings);
        let (ledger, ledger_calls) = control::ledger_channel();
        let incarnation = Incarnation(rand::random());
        let identity = PeerIdentity::Router(settings.id.clone(), incarnation);
        let dispatcher = dispatch::start(dispatch::Arguments {
            router: settings.id.clone(),
            identity: identity.clone(),
            key: key.clone(),
            view: view.clone(),
            clock,
        });
        let dispatcher = dispatcher.await?;
        let limits = ServerLimits {
            max_connections: settings.max_connections,
            ..ServerLimits::default()
        };
        let max_waiting_bytes = settings.max_waiting_bytes;
        let context = RouterContext {
            settings,
            incarnation,
            view,
            dispatcher,
            ledger,
            requests: Arc::default(),
            bodies: limits::BodyBudget::new(max_waiting_bytes),
            client: HttpClient::default(),
            clock,
            stop: CancellationToken::new(),
        };
        let endpoints = control::Endpoints {
            http_address,
            wire_address,
        };
        let ended = CancellationToken::new();
        let peers = context.dispatcher.peer_context(key.clone(), identity);
        tokio::spawn(peers::accept_holders(wire, peers, ended.clone()));
        let link = LinkSettings::of_router(
            &context.settings,
            context.incarnation,
            endpoints,
            key,
            clock,
        );
        let link = control::run(context.clone(), link, ledger_calls);
        tokio::spawn(ended.clone().run_until_cancelled_owned(link));
        let handler = caller::handler(context.clone());
        let stop = context.stop.clone();
        let server = tokio::spawn(courseshunt_http::serve(http, limits, stop, handler));
        log::info!("router: serves callers on {http_address}, the cluster on {wire_address}");
        Ok(Self {
            http_address,
            wire_address,
            context,
            server,
            ended,
        })
    }

    /// What the parts share, for tests and embedding.
    #[must_use]
    pub fn context(&self) -> &RouterContext {
        &self.context
    }

    /// Stops as planned: running requests finish first.
    pub async fn stop(self) {
        self.context.stop.cancel();
        self.context.dispatcher.stop();
        let drain = self.context.settings.drain;
        if tokio::time::timeout(drain.into(), self.server)
            .await
            .is_err()
        {
            log::warn!("router: stopped before all requests had ended");
        }
        self.ended.cancel();
        log::info!("router: stopped");
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
