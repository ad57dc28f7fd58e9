//! Pool of idle connections to instances and to routers that forward requests.
//!
//! Invariant: a connection is reused only after a complete response, and only for the endpoint
//! that it was opened to.

use crate::dial::InstanceDialler;
use bytes::Bytes;
use courseshunt_http::BodyFraming;
use courseshunt_types::RunnerId;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Timeout for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// A peer that acknowledges no data for this time is considered lost.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// TCP keep-alive: idle time before the first probe, interval of the probes, and their number;
/// without an answer the connection is closed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 1;
/// Idle time after which a connection is not reused, unless the instance states another one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of a stated idle timeout that is used.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
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

/// A connection to an instance or a forwarder; closed when dropped.
pub(crate) struct Upstream {
    pub(crate) endpoint: Endpoint,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_timeout: Duration,
    last_used_at: Instant,
    pub(crate) fresh: bool,
    /// Whether the present response ends with the connection.
    ends_with_response: bool,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Upstream {
    /// Applies the framing of the present response: a connection that ends with it is not reused.
    pub(crate) fn apply_framing(&mut self, framing: BodyFraming) {
        self.ends_with_response = framing == BodyFraming::ConnectionClose;
    }

    /// Whether the connection may carry another request after the present response.
    pub(crate) fn is_reusable(&self) -> bool {
        !self.ends_with_response && !self.sender.is_closed()
    }

    /// Applies the idle timeout of a `keep-alive` header.
    pub(crate) fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        let stated = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok());
        let Some(stated) = stated else {
            return;
        };
        let parameters = stated.split(',').map(str::trim);
        let seconds = parameters.filter_map(|one| one.strip_prefix("timeout="));
        let seconds = seconds.filter_map(|seconds| seconds.parse::<u32>().ok());
        if let Some(seconds) = seconds.min() {
            self.idle_timeout = Duration::from_secs_f64(f64::from(seconds) * IDLE_TIMEOUT_FRACTION);
        }
    }
}

/// Idle connections by endpoint.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<Endpoint, Vec<Upstream>>>,
}

impl ConnectionPool {
    fn lock(&self) -> MutexGuard<'_, HashMap<Endpoint, Vec<Upstream>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection.
    pub(crate) fn take(&self, endpoint: &Endpoint) -> Option<Upstream> {
        let mut pools = self.lock();
        let idle = pools.get_mut(endpoint)?;
        let now = Instant::now();
        idle.retain(|one| !one.sender.is_closed() && now - one.last_used_at < one.idle_timeout);
        let ready = idle.iter().rposition(|one| one.sender.is_ready())?;
        let mut upstream = idle.remove(ready);
        upstream.fresh = false;
        Some(upstream)
    }

    /// Returns a connection to the pool after a complete response.
    pub(crate) fn put_back(&self, mut upstream: Upstream) {
        if !upstream.is_reusable() {
            return;
        }
        upstream.last_used_at = Instant::now();
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
            idle.retain(|one| !one.sender.is_closed() && now - one.last_used_at < one.idle_timeout);
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
    open(stream, Endpoint::Instance(instance.clone())).await
}

/// Prepares a connected stream for requests.
///
/// # Errors
/// If the stream is closed.
pub(crate) async fn open(stream: TcpStream, endpoint: Endpoint) -> io::Result<Upstream> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Upstream {
        endpoint,
        sender,
        task: task.abort_handle(),
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
        last_used_at: Instant::now(),
        fresh: true,
        ends_with_response: false,
    })
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
