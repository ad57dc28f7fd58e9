//! Connects to the leader while another member leads, and repeats a task with each new leader and
//! after each failure.

use crate::Shared;
use courseshunt_wire::{Connection, PeerIdentity, WireError, connect_within};
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for connecting to the leader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next attempt to reach a leader.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Runs `work` with the leader's address, repeatedly, until the process stops. Each run is
/// cancelled when the leader changes; `ended` is called after each with the error, if there was
/// one.
pub(crate) async fn run_with_leader<F>(
    shared: &Shared,
    work: impl Fn(SocketAddr) -> F,
    ended: impl Fn(SocketAddr, Option<WireError>),
) where
    F: Future<Output = Result<(), WireError>>,
{
    let mut status = shared.replica.status();
    loop {
        let leader = status.borrow_and_update().leader;
        let other = leader.filter(|leader| *leader != shared.id);
        let address = other.and_then(|leader| shared.addresses.get(leader));
        let Some(address) = address else {
            let _ = tokio::time::timeout(RETRY_DELAY, status.changed()).await;
            continue;
        };
        let problem = tokio::select! {
            ended = work(address) => ended.err(),
            _ = status.wait_for(|status| status.leader != leader) => None,
        };
        ended(address, problem);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Connects to the leader at `address`.
pub(crate) async fn connect(address: SocketAddr, shared: &Shared) -> Result<Connection, WireError> {
    let identity = PeerIdentity::Controller(shared.id);
    let source = Some(shared.settings.address);
    connect_within(CONNECT_TIMEOUT, source, address, &shared.key, &identity).await
}

pub(crate) fn timed_out(step: &'static str, address: SocketAddr) -> WireError {
    WireError::TimedOut {
        step,
        peer: address.to_string(),
    }
}
