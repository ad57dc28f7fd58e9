//! Listeners of a router: clients, readiness and metrics.
//!
//! Invariant: a request counts as in flight until its response has been written to its connection, or
//! the connection has ended.

use crate::Shared;
use crate::client_limits::max_client_connections;
use crate::handle::handle;
use crate::metrics::GaugeValues;
use crate::records::RouterRecord;
use courseshunt_http::{
    CloseDelimitedStream, CloseDelimiter, ConnectionPlace, RequestLine, SendTracker, ServerLimits,
    TrackedStream, text_response,
};
use courseshunt_records::emit;
use courseshunt_services::ClientLimits;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after an accept error, such as too many open files.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of connections that are taken when the router closes: more than a listener's queue
/// holds.
const MAX_LAST_CONNECTIONS: usize = 4_096;
/// Limits of the readiness and the metrics address.
const READINESS_AND_METRICS_LIMITS: ServerLimits = ServerLimits {
    max_connections: 64,
    header_timeout: Duration::from_secs(10),
    max_header_bytes: 8 * 1024,
};
/// Minimum read buffer that hyper accepts.
pub(crate) const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;

/// Time in which the requests of connections are read that are taken when the router closes.
const LAST_REQUESTS_TIME: Duration = Duration::from_millis(100);

/// Accepts client connections until the router closes, the last ones among them those that the
/// system has accepted by then. The stop of the router does not end before this does.
pub(crate) async fn accept_clients(listener: TcpListener, shared: Arc<Shared>) {
    let _accepting = shared.requests.token();
    let accepting = accept_until_cancelled(&listener, &shared);
    shared.closing.run_until_cancelled(accepting).await;
    if accept_last(listener, &shared) > 0 {
        tokio::time::sleep(LAST_REQUESTS_TIME).await;
    }
}

async fn accept_until_cancelled(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                begin_serving(stream, peer, shared);
                // The connections that give way are closed before others are accepted.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                log::warn!("router: accept of a client connection failed: {error}");
                tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
}

/// Takes the connections that the system has accepted, which would be reset with the listener;
/// returns their number.
fn accept_last(listener: TcpListener, shared: &Arc<Shared>) -> usize {
    let Ok(listener) = listener.into_std() else {
        return 0;
    };
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    let mut count = 0;
    for (stream, peer) in accepted.take(MAX_LAST_CONNECTIONS) {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        if let Ok(stream) = stream.and_then(TcpStream::from_std) {
            begin_serving(stream, peer, shared);
            count += 1;
        }
    }
    count
}

fn begin_serving(stream: TcpStream, peer: SocketAddr, shared: &Arc<Shared>) {
    if let Some(place) = admit_connection(peer, shared) {
        tokio::spawn(serve_client(stream, place, shared.clone()));
    }
}

/// The place of a new connection. At the bound an idle connection, or else one whose body has
/// stopped arriving, is closed for it; `None` if there is neither.
fn admit_connection(peer: SocketAddr, shared: &Shared) -> Option<ConnectionPlace> {
    let max = max_client_connections(&shared.settings.limits, &shared.client_limits());
    let (place, closed) = match shared.clients.admit(max) {
        Some(admission) if !admission.closes_idle => return Some(admission.place),
        Some(admission) => (Some(admission.place), ClosedConnection::Idle),
        None if shared.memory.give_up_stopped() => {
            (Some(shared.clients.replace()), ClosedConnection::Stopped)
        }
        None => (None, ClosedConnection::New),
    };
    shared.metrics.client_connection_closed(closed.name());
    emit(&RouterRecord::ClientConnectionClosed {
        closed: closed.name(),
        peer: &peer.to_string(),
        open: shared.clients.open_count(),
        max,
    });
    place
}

/// Which connection is closed at the bound.
#[derive(Debug, Clone, Copy)]
enum ClosedConnection {
    /// The one that has been without a request for the longest time.
    Idle,
    /// The one whose request's body has stopped arriving for the longest time.
    Stopped,
    /// The new one, since all others have requests that are at work or still arriving.
    New,
}

impl ClosedConnection {
    /// Value in records and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Stopped => "stopped",
            Self::New => "new",
        }
    }
}

async fn serve_client(stream: TcpStream, place: ConnectionPlace, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let limits = shared.client_limits();
    let serving = shared.clone();
    let delimiter = CloseDelimiter::default();
    let stream = CloseDelimitedStream::new(stream, delimiter.clone());
    let tracker = SendTracker::default();
    let stream = TrackedStream::new(stream, tracker.clone());
    let requests = place.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let in_flight = requests.begin_request();
        let body_in_flight = requests.begin_request();
        let shared = serving.clone();
        let token = shared.requests.token();
        let delimiter = delimiter.clone();
        let tracker = tracker.clone();
        async move {
            let line = RequestLine::of(&request);
            let response = handle(request, body_in_flight, shared).await;
            let response = delimiter.prepare(&line, response);
            Ok::<_, Infallible>(tracker.hold_until_written(response, (token, in_flight)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(limits.idle_timeout))
        .max_buf_size(limits.max_header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        // A request that has arrived by then is read before the connection is closed.
        biased;
        ended = connection.as_mut() => ended,
        () = shared.idle_close_due() => match place.until_idle(connection.as_mut()).await {
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
        log::debug!("router: client connection ended with an error: {error}");
    }
}

impl Shared {
    /// Limits of clients in force.
    pub(crate) fn client_limits(&self) -> ClientLimits {
        let table = self.view.table();
        table.map_or(ClientLimits::default(), |table| {
            table.configuration().limits
        })
    }

    /// Resolves when idle connections must be closed for a planned stop.
    pub(crate) async fn idle_close_due(&self) {
        self.stopping.cancelled().await;
        tokio::time::sleep(crate::READINESS_PROPAGATION_TIME / 2).await;
    }
}

/// Serves the readiness probe.
pub(crate) async fn serve_readiness(listener: TcpListener, shared: Arc<Shared>) {
    let ended = shared.ended.clone();
    let handler = move |_request: Request<Incoming>, _peer| {
        let shared = shared.clone();
        async move {
            let ready = !shared.stopping.is_cancelled() && shared.view.is_ready();
            match ready {
                true => text_response(StatusCode::OK, "ready"),
                false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            }
        }
    };
    courseshunt_http::serve(listener, READINESS_AND_METRICS_LIMITS, ended, handler).await;
}

/// Serves the metrics page.
pub(crate) async fn serve_metrics(listener: TcpListener, shared: Arc<Shared>) {
    let ended = shared.ended.clone();
    let handler = move |_request: Request<Incoming>, _peer| {
        let shared = shared.clone();
        async move {
            let page = shared.metrics.render(&GaugeValues {
                configuration: shared.view.configuration_number(),
                feed_age: shared.view.feed_age(),
                quarantined: shared.quarantine.count(),
                slack_divisor: shared.view.slack_divisor(shared.clock.now()),
                instances_with_load: shared.view.instances_with_load(),
                instances_unreachable: shared.view.unreachable_count(shared.clock.now()),
                instances_forwarded: shared.paths().forwarded_count(),
                memory: shared.memory.usage(),
                client_connections: shared.clients.open_count(),
            });
            text_response(StatusCode::OK, page)
        }
    };
    courseshunt_http::serve(listener, READINESS_AND_METRICS_LIMITS, ended, handler).await;
}
