//! Accepts connections of other processes, at a pace that leaves time for the other tasks of the
//! thread.

use courseshunt_http::AcceptPace;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay after an accept error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and serves each in a separate task, until it is cancelled. `prefix` is the
/// prefix of log lines.
pub(crate) async fn accept_all<F>(
    listener: TcpListener,
    prefix: &'static str,
    serve: impl Fn(TcpStream, SocketAddr) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut pace = AcceptPace::default();
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(serve(stream, address));
                pace.accepted().await;
            }
            Err(error) => {
                log::warn!("{prefix}: accept failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
