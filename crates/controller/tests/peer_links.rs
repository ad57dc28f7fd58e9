//! Connections to members that were down.

use courseshunt_controller::peers::{AddressBook, PeerNetwork};
use courseshunt_types::{ControllerId, Revision};
use courseshunt_wire::{ClusterKey, Message, PeerIdentity, accept};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const OWN: ControllerId = ControllerId(1);
const OTHER: ControllerId = ControllerId(2);
/// Longest wait for what is to come.
const PATIENCE: Duration = Duration::from_secs(5);

/// The first connection hangs, as the one to a machine without power does. The
/// member then connects here: what waits for it is sent at once on a new one,
/// and not thrown away with the try that hangs.
#[tokio::test]
async fn a_member_that_is_heard_is_dialled_again_and_gets_what_waits() {
    let key = ClusterKey::new(b"a key of sixteen bytes or more").expect("a key");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addresses = AddressBook::default();
    addresses.set(OTHER, listener.local_addr().expect("an address"));
    let network = PeerNetwork::new(
        OWN,
        key.clone(),
        addresses.clone(),
        CancellationToken::new(),
    );
    let message = Message::Confirmed {
        revision: Revision(7),
    };
    network.send(OTHER, message.clone());
    let (hanging, _) = listener.accept().await.expect("the first try");
    addresses.record_inbound_connection(OTHER);
    let received = async {
        loop {
            let (stream, from) = listener.accept().await.expect("another try");
            let identity = PeerIdentity::Controller(OTHER);
            let connection = accept(stream, from, &key, &identity).await;
            let mut connection = connection.expect("both proofs");
            if let Ok(Some(message)) = connection.receiver.receive().await {
                return message;
            }
        }
    };
    let received = tokio::time::timeout(PATIENCE, received).await;
    assert_eq!(received.expect("what waited"), message);
    drop(hanging);
}

/// A voter that was replaced gets no more messages. Its address must not be dialled on and
/// on: another process may live there, and each try costs both sides a handshake.
#[tokio::test]
async fn a_member_that_gets_no_messages_is_not_dialled() {
    let key = ClusterKey::new(b"a key of sixteen bytes or more").expect("a key");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addresses = AddressBook::default();
    addresses.set(OTHER, listener.local_addr().expect("an address"));
    let network = PeerNetwork::new(OWN, key, addresses, CancellationToken::new());
    let message = Message::Confirmed {
        revision: Revision(7),
    };
    network.send(OTHER, message);
    let (closed, _) = listener.accept().await.expect("a try for the message");
    drop(closed);
    let again = tokio::time::timeout(Duration::from_millis(500), listener.accept()).await;
    assert!(again.is_err(), "dialled without a message");
}

#[test]
fn a_stranger_is_told_once() {
    let addresses = AddressBook::default();
    let place = "127.0.0.1:7000".parse().expect("an address");
    let met: Vec<bool> = [OTHER, OTHER, ControllerId(3), ControllerId(3)]
        .into_iter()
        .map(|stranger| addresses.record_unexpected_peer(place, stranger))
        .collect();
    assert_eq!(met, [true, false, true, false]);
    assert_eq!(
        addresses.recent_unexpected_peers(),
        [(ControllerId(3), place)]
    );
}
