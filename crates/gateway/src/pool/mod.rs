//! Pool of idle connections to instances and to routers that forward requests.
//!
//! Invariant: a connection is reused only after a complete response, only for the endpoint that it
//! was opened to, and to an instance only for a request whose id it has not carried.

pub mod carried_ids;
mod upstream;

pub(crate) use upstream::{CloseTimer, ConnectionRecord, SendError, Upstream};

use crate::dial::InstanceDialler;
use courseshunt_types::RunnerId;
use prometheus_client::metrics::counter::Counter;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Timeout for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 32;

/// What a connection was opened to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Endpoint {
    /// An instance.
    Instance(RunnerId),
    /// A router that forwards requests, by its wire address.
    Forwarder(SocketAddr),
}

/// Idle connections by endpoint.
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<Endpoint, Vec<Upstream>>>,
    /// Requests for which there were idle connections, but only such as had carried the id.
    passed_over: Counter,
}

impl ConnectionPool {
    /// An empty pool that counts in `passed_over` the requests for which all idle connections had
    /// carried the id.
    pub(crate) fn new(passed_over: Counter) -> Self {
        Self {
            idle: Mutex::default(),
            passed_over,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Endpoint, Vec<Upstream>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection for a request with this id.
    pub(crate) fn take(&self, endpoint: &Endpoint, id: &str) -> Option<Upstream> {
        let mut pools = self.lock();
        let idle = pools.get_mut(endpoint)?;
        let now = Instant::now();
        idle.retain(|one| one.is_usable(now));
        let accepting = idle
            .iter()
            .rposition(|one| one.is_ready() && one.accepts(id));
        let Some(position) = accepting else {
            if idle.iter().any(Upstream::is_ready) {
                self.passed_over.inc();
            }
            return None;
        };
        let mut upstream = idle.remove(position);
        upstream.fresh = false;
        Some(upstream)
    }

    /// Returns a connection to the pool after a complete response.
    pub(crate) fn put_back(&self, mut upstream: Upstream) {
        if !upstream.is_reusable() {
            return;
        }
        upstream.begin_idle();
        let mut pools = self.lock();
        let idle = pools.entry(upstream.endpoint.clone()).or_default();
        if idle.len() < MAX_IDLE_PER_ENDPOINT {
            idle.push(upstream);
        }
    }

    /// Closes the idle connections of instances that are gone.
    pub(crate) fn remove(&self, instances: &[RunnerId]) {
        let mut pools = self.lock();
        for instance in instances {
            pools.remove(&Endpoint::Instance(instance.clone()));
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.lock().retain(|_, idle| {
            idle.retain(|one| one.is_usable(now));
            !idle.is_empty()
        });
    }
}

/// Opens a new connection.
///
/// # Errors
/// If the instance can't be reached in time.
async fn connect(
    dialler: &dyn InstanceDialler,
    instance: &RunnerId,
    address: SocketAddr,
) -> io::Result<Upstream> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, dialler.dial(address));
    let stream = connecting.await??;
    Upstream::open(stream, Endpoint::Instance(instance.clone())).await
}

/// Opens a new connection to an instance at `ip:port`.
///
/// # Errors
/// If the address can't be parsed, or if it can't be reached in time.
pub(crate) async fn connect_to(
    dialler: &dyn InstanceDialler,
    instance: &RunnerId,
    address: &str,
) -> io::Result<Upstream> {
    let address = address.parse().map_err(io::Error::other)?;
    connect(dialler, instance, address).await
}
