//! A connection to an instance or to a router that forwards requests.
//!
//! Invariant: a connection to an instance carries each id at most once, so that the id of a response
//! shows which request it answers. An instance may give a response once more, late, in the place of
//! the response to the next request.

use super::Endpoint;
use super::carried_ids::CarriedIds;
use bytes::Bytes;
use courseshunt_http::{
    BodyFraming, InterimLimit, MAX_RESPONSE_HEAD_BYTES, NoFinalStatus, ShortReads,
    announces_missing_body, require_final_status,
};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

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

/// Connections that this process has opened; the next one has this number.
static OPENED: AtomicU64 = AtomicU64::new(1);

/// Why a request got no response on a connection.
pub(crate) enum SendError {
    /// The request was certainly not sent: the connection had been closed, or it has carried the
    /// request's id before.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection broke, with this problem; the request may have been sent.
    Broken(String),
    /// The peer responded without a final status; the request may have run.
    NotFinal(NoFinalStatus),
}

/// The connection of an attempt, for records.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct ConnectionRecord {
    /// Number of the connection among those of this process.
    connection: u64,
    /// Time since it was opened.
    connection_age_ms: u64,
    /// Requests that were sent on it, this one included.
    connection_requests: u32,
}

/// Closes a connection at a time, unless it is dropped before.
pub(crate) struct CloseTimer(AbortHandle);

impl Drop for CloseTimer {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to an instance or a forwarder; closed when dropped.
pub(crate) struct Upstream {
    pub(crate) endpoint: Endpoint,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    number: u64,
    opened_at: Instant,
    requests: u32,
    carried_ids: CarriedIds,
    idle_timeout: Duration,
    last_used_at: Instant,
    pub(crate) fresh: bool,
    /// Whether the connection ends with the present response.
    ends_with_response: bool,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Upstream {
    /// Prepares a connected stream for requests.
    ///
    /// # Errors
    /// If the stream is closed.
    pub(crate) async fn open(stream: TcpStream, endpoint: Endpoint) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        let _ = socket.set_tcp_keepalive(&keepalive);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_RESPONSE_HEAD_BYTES);
        let stream = TokioIo::new(ShortReads::new(stream));
        let handshake = builder.handshake(stream).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        let now = Instant::now();
        Ok(Self {
            endpoint,
            sender,
            task: task.abort_handle(),
            number: OPENED.fetch_add(1, Ordering::Relaxed),
            opened_at: now,
            requests: 0,
            carried_ids: CarriedIds::default(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            last_used_at: now,
            fresh: true,
            ends_with_response: false,
        })
    }

    /// Sends a request with this id and waits for the head of the response.
    ///
    /// # Errors
    /// If the connection is closed, breaks, has carried the id before, if too many interim
    /// responses come first, or if the response has no final status.
    pub(crate) async fn send(
        &mut self,
        id: &str,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if !self.accepts(id) {
            return Err(SendError::Unsent(Box::new(request)));
        }
        if let Endpoint::Instance(_) = self.endpoint {
            self.carried_ids.insert(id);
        }
        self.requests = self.requests.saturating_add(1);
        let interim = InterimLimit::of(&mut request);
        let sent = interim.wait(self.sender.try_send_request(request)).await;
        let sent = sent.map_err(|error| SendError::Broken(error.to_string()))?;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(unsent) => SendError::Unsent(Box::new(unsent)),
            None => SendError::Broken(error.error().to_string()),
        })?;
        require_final_status(response).map_err(|problem| {
            self.ends_with_response = true;
            SendError::NotFinal(problem)
        })
    }

    /// The connection as it is recorded for the request that was sent last.
    pub(crate) fn record(&self) -> ConnectionRecord {
        ConnectionRecord {
            connection: self.number,
            connection_age_ms: crate::flight::millis(self.opened_at.elapsed()),
            connection_requests: self.requests,
        }
    }

    /// Whether a request with this id may be sent. A forwarder answers each request once, so that
    /// its connections may carry an id again.
    pub(super) fn accepts(&self, id: &str) -> bool {
        match self.endpoint {
            Endpoint::Instance(_) => self.carried_ids.accepts(id),
            Endpoint::Forwarder(_) => true,
        }
    }

    /// Whether the peer has closed the connection.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the connection is open and has not been idle for too long.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        !self.is_closed() && now - self.last_used_at < self.idle_timeout
    }

    /// Whether a request can be sent at once.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Starts the idle time.
    pub(super) fn begin_idle(&mut self) {
        self.last_used_at = Instant::now();
    }

    /// Reads the framing of the present response, which is the instance's, to a request with this
    /// method. A connection that ends with the response is not reused, nor is one on which a body
    /// may follow that the response does not have.
    pub(crate) fn read_framing(&mut self, method: &Method, head: &Parts) -> BodyFraming {
        let framing = BodyFraming::of_response(method, head.status, &head.headers);
        self.ends_with_response = framing == BodyFraming::ConnectionClose
            || announces_missing_body(method, head.status, &head.headers);
        framing
    }

    /// Closes the connection after the present response, which is not the one to the request: the
    /// right one is still due.
    pub(crate) fn close_after_response(&mut self) {
        self.ends_with_response = true;
    }

    /// Closes the connection at this time, whether or not the present response is being read. Its
    /// body may look complete from then on.
    pub(crate) fn close_at(&self, time: Instant) -> CloseTimer {
        let connection = self.task.clone();
        let closing = tokio::spawn(async move {
            tokio::time::sleep_until(time).await;
            connection.abort();
        });
        CloseTimer(closing.abort_handle())
    }

    /// Whether the connection may carry another request after the present response.
    pub(crate) fn is_reusable(&self) -> bool {
        !self.ends_with_response && !self.carried_ids.is_full() && !self.is_closed()
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
