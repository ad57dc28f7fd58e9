//! Listeners of a router: clients, readiness and metrics.
//!
//! Invariant: a request counts as in flight until its response has been written to its connection, or
//! the connection has ended.

use crate::Shared;
use crate::handle::handle;
use crate::metrics::GaugeValues;
use courseshunt_http::{
    CloseDelimitedStream, CloseDelimiter, RequestLine, SendTracker, ServerLimits, TrackedStream,
    text_response,
};
use courseshunt_services::ClientLimits;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after an accept error, such as too many open files.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// Minimum read buffer that hyper accepts.
pub(crate) const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;

/// Accepts client connections until the task is cancelled.
pub(crate) async fn accept_clients(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_client(stream, shared.clone()));
            }
            Err(error) => {
                log::warn!("router: accept of a client connection failed: {error}");
                tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
}

async fn serve_client(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let limits = shared.view.table();
    let limits = limits.map_or(ClientLimits::default(), |table| {
        table.configuration().limits
    });
    let serving = shared.clone();
    let delimiter = CloseDelimiter::default();
    let stream = CloseDelimitedStream::new(stream, delimiter.clone());
    let tracker = SendTracker::default();
    let stream = TrackedStream::new(stream, tracker.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let shared = serving.clone();
        let token = shared.requests.token();
        let delimiter = delimiter.clone();
        let tracker = tracker.clone();
        async move {
            let line = RequestLine::of(&request);
            let response = handle(request, shared).await;
            let response = delimiter.prepare(&line, response);
            Ok::<_, Infallible>(tracker.hold_until_written(response, token))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(limits.idle_timeout))
        .max_buf_size(limits.max_header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = shared.idle_close_due() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("router: client connection ended with an error: {error}");
    }
}

impl Shared {
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
    courseshunt_http::serve(listener, ServerLimits::default(), ended, handler).await;
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
            });
            text_response(StatusCode::OK, page)
        }
    };
    courseshunt_http::serve(listener, ServerLimits::default(), ended, handler).await;
}
