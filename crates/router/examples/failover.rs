//! Measures the delay of a waiting request's grant when the owner of its queue is
//! lost: from the loss to the grant, while a slot is free.
//!
//! `cargo run --release -p courseshunt-router --example failover`

#[allow(dead_code, missing_docs, reason = "shared with the tests")]
#[path = "../tests/support/mod.rs"]
mod support;

use courseshunt_types::PriorityClass;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{Cluster, answer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

const ROUNDS: usize = 20;
const LONG: Duration = Duration::from_secs(60);

/// How the owner is lost.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Loss {
    /// It fails; the fleet view reports it at once.
    OwnerFailedAndReported,
    /// It fails; the fleet view is stale.
    OwnerFailed,
    /// It is cut off: its connections stay open without traffic.
    SilentCut,
    /// It performs a planned stop.
    PlannedStop,
}

#[tokio::main]
async fn main() {
    println!("time from the loss of the owner to the grant, {ROUNDS} rounds each:");
    for loss in [
        Loss::PlannedStop,
        Loss::OwnerFailedAndReported,
        Loss::OwnerFailed,
        Loss::SilentCut,
    ] {
        let mut delays = Vec::new();
        for _ in 0..ROUNDS {
            delays.push(round(loss).await);
        }
        delays.sort_unstable();
        let (median, longest) = (delays[ROUNDS / 2], delays[ROUNDS - 1]);
        println!("  {loss:?}: median {median:.1?}, longest {longest:.1?}");
    }
}

async fn round(loss: Loss) -> Duration {
    let mut cluster = Cluster::start(3, 0, 4).await;
    let (owner, first, second) = cluster.owner_and_others();
    let cut = CancellationToken::new();
    let target = cluster.nodes[owner].endpoint.wire_address.clone();
    cluster.nodes[owner].endpoint.wire_address = proxy(target, cut.clone()).await.to_string();
    cluster.set_fleet(&[0, 1, 2]);
    let waiting = cluster.nodes[first].submit("waiting", PriorityClass::Interactive, LONG);
    cluster.wait_until_queued(owner, 1).await;
    let lost = Instant::now();
    match loss {
        Loss::SilentCut => cut.cancel(),
        Loss::PlannedStop => cluster.nodes[owner].dispatcher.stop(),
        Loss::OwnerFailed | Loss::OwnerFailedAndReported => cluster.nodes[owner].cut_off(),
    }
    if loss == Loss::OwnerFailedAndReported {
        cluster.set_fleet(&[first, second]);
    }
    cluster.set_replicas_at(&[first, second], 1);
    answer(waiting).await.expect("a grant from another owner");
    lost.elapsed()
}

/// Forwards bytes until `cut` is cancelled, then keeps all connections open without
/// traffic.
async fn proxy(target: String, cut: CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        let mut open_connections = Vec::new();
        while let Ok((mut client, _)) = listener.accept().await {
            if cut.is_cancelled() {
                open_connections.push(client);
                continue;
            }
            let (target, cut) = (target.clone(), cut.clone());
            tokio::spawn(async move {
                let Ok(mut server) = TcpStream::connect(target).await else {
                    return;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let forwarding = tokio::io::copy_bidirectional(&mut client, &mut server);
                if cut.run_until_cancelled(forwarding).await.is_none() {
                    std::future::pending::<()>().await;
                }
            });
        }
    });
    address
}
