//! Connections to instances, kept for further requests.
//!
//! Invariant: a connection is used again only after a whole answer, and never
//! for another instance than the one that it was made for.

use bytes::Bytes;
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

/// Longest time for a new connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);
/// A peer that acknowledges nothing for so long is given up.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_000);
/// Silence after which a peer is probed, and the pause between probes; without
/// an answer the connection is given up.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBES: u32 = 1;
/// Rest after which a connection isn't used again, unless the instance states
/// another.
const DEFAULT_REST: Duration = Duration::from_secs(4);
/// Part of a stated rest that is used.
const REST_PART: f64 = 0.7;
/// Resting connections to one instance at the most.
const MAX_RESTING: usize = 32;

/// One connection; closed when dropped.
pub(crate) struct Upstream {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    rest: Duration,
    used_at: Instant,
    pub(crate) fresh: bool,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Upstream {
    /// Follows what an answer says about how long the connection may rest.
    pub(crate) fn follow(&mut self, headers: &HeaderMap) {
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
            self.rest = Duration::from_secs_f64(f64::from(seconds) * REST_PART);
        }
    }
}

/// See the module.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    resting: Mutex<HashMap<RunnerId, Vec<Upstream>>>,
}

impl ConnectionPool {
    fn lock(&self) -> MutexGuard<'_, HashMap<RunnerId, Vec<Upstream>>> {
        self.resting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A resting connection to an instance.
    pub(crate) fn take(&self, instance: &RunnerId) -> Option<Upstream> {
        let mut pools = self.lock();
        let resting = pools.get_mut(instance)?;
        let now = Instant::now();
        resting.retain(|one| !one.sender.is_closed() && now - one.used_at < one.rest);
        let ready = resting.iter().rposition(|one| one.sender.is_ready())?;
        let mut upstream = resting.remove(ready);
        upstream.fresh = false;
        Some(upstream)
    }

    /// Keeps a connection after a whole answer.
    pub(crate) fn keep(&self, instance: &RunnerId, mut upstream: Upstream) {
        if upstream.sender.is_closed() {
            return;
        }
        upstream.used_at = Instant::now();
        let mut pools = self.lock();
        let resting = pools.entry(instance.clone()).or_default();
        if resting.len() < MAX_RESTING {
            resting.push(upstream);
        }
    }

    /// Closes the resting connections of instances that are gone.
    pub(crate) fn forget(&self, instances: &[RunnerId]) {
        let mut pools = self.lock();
        for instance in instances {
            pools.remove(instance);
        }
    }

    /// Closes connections that have rested for too long.
    pub(crate) fn tidy(&self) {
        let now = Instant::now();
        self.lock().retain(|_, resting| {
            resting.retain(|one| !one.sender.is_closed() && now - one.used_at < one.rest);
            !resting.is_empty()
        });
    }
}

/// Makes a new connection.
///
/// # Errors
/// When the instance can't be reached in time.
async fn connect(address: SocketAddr) -> io::Result<Upstream> {
    let connecting = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address));
    let stream = connecting.await.map_err(io::Error::other)??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let _ = socket.set_tcp_keepalive(&probes);
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Upstream {
        sender,
        task: task.abort_handle(),
        rest: DEFAULT_REST,
        used_at: Instant::now(),
        fresh: true,
    })
}

/// Makes a new connection to an instance at `ip:port`.
///
/// # Errors
/// When its address can't be read or it can't be reached in time.
pub(crate) async fn connect_to(address: &str) -> io::Result<Upstream> {
    connect(address.parse().map_err(io::Error::other)?).await
}
