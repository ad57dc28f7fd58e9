//! A fake controller on a loopback socket, and routers that connect to it.
#![allow(dead_code, reason = "each test file uses only a part of the module")]

use courseshunt_router::Router;
use courseshunt_settings::RouterSettings;
use courseshunt_types::ControllerId;
use courseshunt_wire::message::Subscribe;
use courseshunt_wire::{ClusterKey, Connection, Message, PeerIdentity, accept};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

pub const KEY: &str = "a cluster key for tests";
/// Timeout of waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of a router that connects to `controllers`.
pub fn settings(
    folder: &std::path::Path,
    name: &str,
    controllers: &[SocketAddr],
) -> RouterSettings {
    let key_file = folder.join("cluster.key");
    std::fs::write(&key_file, KEY).unwrap();
    let controllers: Vec<String> = controllers.iter().map(ToString::to_string).collect();
    let arguments = [
        format!("--id={name}"),
        "--http-address=127.0.0.1:0".to_owned(),
        "--wire-address=127.0.0.1:0".to_owned(),
        "--drain-seconds=1".to_owned(),
        format!("--cluster-key-file={}", key_file.display()),
        format!("--controllers={}", controllers.join(",")),
    ];
    RouterSettings::load(&arguments).unwrap()
}

/// Starts a router that connects to `controllers`.
pub async fn start_router(controllers: &[SocketAddr]) -> Router {
    start_router_named("router-1", controllers).await
}

/// Starts a router named `name` that connects to `controllers`.
pub async fn start_router_named(name: &str, controllers: &[SocketAddr]) -> Router {
    let folder = tempfile::tempdir().unwrap();
    let settings = settings(folder.path(), name, controllers);
    Router::start(settings).await.unwrap()
}

pub struct FakeController {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl FakeController {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        Self { listener, address }
    }

    /// Accepts the next router. Returns the connection and its subscription.
    pub async fn router(&self) -> (Connection, Subscribe) {
        let accepted = async {
            let (stream, address) = self.listener.accept().await.unwrap();
            let key = ClusterKey::new(KEY.as_bytes()).unwrap();
            let identity = PeerIdentity::Controller(ControllerId(1));
            accept(stream, address, &key, &identity).await.unwrap()
        };
        let accepted = tokio::time::timeout(WAIT_TIMEOUT, accepted).await;
        let mut connection = accepted.expect("a router connects before the timeout");
        let first = connection.receiver.receive().await.unwrap();
        let Some(Message::Subscribe(subscribe)) = first else {
            panic!("expected a subscription, got {first:?}");
        };
        (connection, subscribe)
    }
}
