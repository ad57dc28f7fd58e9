//! An HTTP/1.1 server with limits and a planned stop.

use crate::AcceptPace;
use crate::body::Body;
use crate::connection_table::{ConnectionPlace, ConnectionTable};
use crate::sending::{SendTracker, TrackedStream};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections at the most. For a new one, the one that has been without a request for the
    /// longest time is closed; if all have requests, the new one is.
    pub max_connections: usize,
    /// Longest time from the start of a connection, or the end of a response, until the headers of
    /// the next request are complete: idle connections end by it.
    pub header_timeout: Duration,
    /// Longest headers, in bytes.
    pub max_header_bytes: usize,
}

/// Longest headers that a server takes unless told otherwise, in bytes.
pub const MAX_HEADER_BYTES: usize = 32 * 1024;

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            header_timeout: Duration::from_secs(10),
            max_header_bytes: MAX_HEADER_BYTES,
        }
    }
}

/// Buffer for headers, in lengths of the limit: headers over the limit are
/// still read, so that the handler can refuse them in its interface's own
/// form; beyond the buffer the library answers 431 without a body.
const HEADER_BUFFER_FACTOR: usize = 4;
/// Bytes of a header line besides its name and value.
const HEADER_LINE_BYTES: usize = 4;

/// Bytes that the headers of a request take.
#[must_use]
pub fn header_bytes<T>(request: &Request<T>) -> usize {
    let headers = request.headers().iter();
    let lines = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES);
    lines.sum::<usize>() + request.uri().path().len()
}

/// Pause after an accept error, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a connection without a request is kept after the stop, so that a
/// request that is already on its way is answered.
const STOP_LINGER: Duration = Duration::from_millis(300);

/// Serves until `stop` is cancelled, then lets running requests finish.
///
/// While they run, new requests are still taken, on new connections too, and
/// answered as the handler sees fit (a stopping process refuses them); each of
/// these answers closes its connection. So a planned stop breaks none off.
pub async fn serve<F, R>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: CancellationToken,
    handler: F,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    serve_counted(listener, limits, stop, TaskTracker::new(), handler).await;
}

/// Like [`serve`]. Each request has a token of `requests` until its response has been written, so
/// that a stopping process can wait for these alone and not for connections without a request.
pub async fn serve_counted<F, R>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: CancellationToken,
    requests: TaskTracker,
    handler: F,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let table = ConnectionTable::default();
    let connections = TaskTracker::new();
    let late = TaskTracker::new();
    let serve_on = |tracker: &TaskTracker, (stream, peer, place): Accepted| {
        let stop = stop.clone();
        let requests = requests.clone();
        let connection = Connection {
            stream,
            peer,
            place,
        };
        tracker.spawn(connection.serve(limits, stop, requests, handler.clone()));
    };
    let accepting = async {
        let mut pace = AcceptPace::default();
        loop {
            if let Some(accepted) = accept(&listener, &table, limits.max_connections).await {
                serve_on(&connections, accepted);
                pace.accepted().await;
            }
        }
    };
    stop.run_until_cancelled(accepting).await;
    connections.close();
    loop {
        let accepted = tokio::select! {
            () = connections.wait() => break,
            accepted = accept(&listener, &table, limits.max_connections) => accepted,
        };
        if let Some(accepted) = accepted {
            serve_on(&late, accepted);
        }
    }
    drop(listener);
    late.close();
    late.wait().await;
}

type Accepted = (TcpStream, SocketAddr, ConnectionPlace);

async fn accept(listener: &TcpListener, table: &ConnectionTable, max: usize) -> Option<Accepted> {
    match listener.accept().await {
        Ok((stream, peer)) => {
            let admission = table.admit(max);
            if admission.as_ref().is_none_or(|one| one.closes_idle) {
                log::debug!("http: {max} connections are open when {peer} connects");
                // A connection that gives way is closed before others are accepted.
                tokio::task::yield_now().await;
            }
            admission.map(|admission| (stream, peer, admission.place))
        }
        Err(error) => {
            log::warn!("http: accept failed: {error}");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// An accepted connection.
struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    place: ConnectionPlace,
}

impl Connection {
    async fn serve<F, R>(
        self,
        limits: ServerLimits,
        stop: CancellationToken,
        requests: TaskTracker,
        handler: F,
    ) where
        F: Fn(Request<Incoming>, SocketAddr) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let Self {
            stream,
            peer,
            place,
        } = self;
        let _ = stream.set_nodelay(true);
        let tracker = SendTracker::default();
        let stream = TrackedStream::new(stream, tracker.clone());
        let stopping = stop.clone();
        let serving = place.clone();
        let service = service_fn(move |request| {
            let in_flight = serving.begin_request();
            let answer = handler(request, peer);
            let stopping = stopping.clone();
            let tracker = tracker.clone();
            let token = requests.token();
            async move {
                let mut response = answer.await;
                if stopping.is_cancelled() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(tracker.hold_until_written(response, (token, in_flight)))
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.max_header_bytes * HEADER_BUFFER_FACTOR)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let ended = tokio::select! {
            // A request that has arrived by then is read before the connection is closed.
            biased;
            ended = connection.as_mut() => ended,
            () = lingered(&stop) => match place.until_idle(connection.as_mut()).await {
                Some(ended) => ended,
                None => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            },
            () = place.close_due() => {
                connection.as_mut().graceful_shutdown();
                place.finish(connection).await.unwrap_or(Ok(()))
            }
        };
        if let Err(error) = ended {
            log::debug!("http: connection of {peer} ended: {error}");
        }
    }
}

async fn lingered(stop: &CancellationToken) {
    stop.cancelled().await;
    tokio::time::sleep(STOP_LINGER).await;
}
