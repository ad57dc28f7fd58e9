//! Connections to members that were down or removed.

use courseshunt_controller::peers::{AddressBook, PeerNetwork};
use courseshunt_types::{ControllerId, Revision};
use courseshunt_wire::{ClusterKey, Message, PeerIdentity, accept};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const OWN: ControllerId = ControllerId(1);
const OTHER: ControllerId = ControllerId(2);
/// Longest wait for the expected message.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against the loss of queued messages when a dial attempt hangs, as to a machine without
/// power. Once the member connects here, it is dialled again and receives the queued message.
#[tokio::test]
async fn queued_messages_survive_a_hanging_dial_when_the_member_connects() {
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
    let (hanging, _) = listener.accept().await.expect("the first attempt");
    addresses.record_inbound_connection(OTHER);
    let received = async {
        loop {
            let (stream, from) = listener.accept().await.expect("another attempt");
            let identity = PeerIdentity::Controller(OTHER);
            let connection = accept(stream, from, &key, &identity).await;
            let mut connection = connection.expect("the handshake succeeds");
            if let Ok(Some(message)) = connection.receiver.receive().await {
                return message;
            }
        }
    };
    let received = tokio::time::timeout(TIMEOUT, received).await;
    assert_eq!(received.expect("the queued message in time"), message);
    drop(hanging);
}

/// Guards against endless dialling of a replaced voter, which gets no more messages: another
/// process may use its address, and each attempt costs both sides a handshake.
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
    let (closed, _) = listener.accept().await.expect("an attempt for the message");
    drop(closed);
    let second = tokio::time::timeout(Duration::from_millis(500), listener.accept()).await;
    assert!(second.is_err(), "dialled without a message");
}

#[test]
fn an_unexpected_peer_is_reported_once() {
    let addresses = AddressBook::default();
    let address = "127.0.0.1:7000".parse().expect("an address");
    let is_new: Vec<bool> = [OTHER, OTHER, ControllerId(3), ControllerId(3)]
        .into_iter()
        .map(|peer| addresses.record_unexpected_peer(address, peer))
        .collect();
    assert_eq!(is_new, [true, false, true, false]);
    assert_eq!(
        addresses.recent_unexpected_peers(),
        [(ControllerId(3), address)]
    );
}
