//! The runner's connections, which all break when its process dies.

use super::runner::Shared;
use courseshunt_http::Body;
use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// A request whose connection breaks instead of an answer.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("standin: the connection breaks as planned"))]
pub(super) struct PlannedBreak;

/// A handler's result.
pub(super) type Answer = Result<Response<Body>, PlannedBreak>;

/// Accepts connections until the process dies or stops.
pub(super) async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    alive: CancellationToken,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = alive.cancelled() => return,
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let connection = serve(stream, shared.clone(), stop.clone());
        let alive = alive.clone();
        tokio::spawn(alive.run_until_cancelled_owned(connection));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>, stop: CancellationToken) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { shared.answer(request).await }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("standin: a connection ended: {error}");
    }
}
