//! Handshake of connections: both ends prove the cluster key, and an invalid handshake closes the
//! connection.

use courseshunt_types::{ControllerId, Revision};
use courseshunt_wire::{
    ClusterKey, Message, PeerIdentity, WireError, accept, connect, connect_from,
    connect_stream_within,
};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

fn key(text: &str) -> ClusterKey {
    ClusterKey::new(text.as_bytes()).unwrap()
}

const CLUSTER_KEY: &str = "a key of sixteen bytes or more";

#[tokio::test]
async fn messages_are_delivered_after_both_proofs() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (stream, from) = listener.accept().await.unwrap();
        let identity = PeerIdentity::Controller(ControllerId(1));
        let mut connection = accept(stream, from, &key(CLUSTER_KEY), &identity)
            .await
            .unwrap();
        connection.receiver.receive().await.unwrap()
    });
    let identity = PeerIdentity::Controller(ControllerId(2));
    let mut connection = connect(address, &key(CLUSTER_KEY), &identity)
        .await
        .unwrap();
    assert_eq!(connection.peer, PeerIdentity::Controller(ControllerId(1)));
    let message = Message::Confirmed {
        revision: Revision(4),
    };
    connection.sender.send(&message).await.unwrap();
    assert_eq!(server.await.unwrap(), Some(message));
}

#[tokio::test]
async fn wrong_key_is_rejected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, from) = listener.accept().await.unwrap();
        let identity = PeerIdentity::Controller(ControllerId(1));
        let _ = accept(stream, from, &key("another key of some length"), &identity).await;
    });
    let identity = PeerIdentity::Controller(ControllerId(2));
    let error = connect(address, &key(CLUSTER_KEY), &identity)
        .await
        .unwrap_err();
    assert!(matches!(error, WireError::Protocol { .. }), "{error}");
}

#[tokio::test]
async fn invalid_handshake_is_rejected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (stream, from) = listener.accept().await.unwrap();
        let identity = PeerIdentity::Controller(ControllerId(1));
        accept(stream, from, &key(CLUSTER_KEY), &identity).await
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&[0xff; 200]).await.unwrap();
    assert!(server.await.unwrap().is_err());
}

#[tokio::test]
async fn connection_uses_the_given_source_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (stream, from) = listener.accept().await.unwrap();
        let identity = PeerIdentity::Controller(ControllerId(1));
        accept(stream, from, &key(CLUSTER_KEY), &identity)
            .await
            .unwrap();
        from.ip()
    });
    let identity = PeerIdentity::Controller(ControllerId(2));
    let source = "127.0.0.2".parse().unwrap();
    let connected = connect_from(Some(source), address, &key(CLUSTER_KEY), &identity).await;
    assert!(connected.is_ok());
    assert_eq!(server.await.unwrap(), source);
}

/// What a receiver finds after its peer has sent these bytes and closed the connection.
async fn received_after(bytes: &[u8]) -> Result<Option<Message>, WireError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (stream, from) = listener.accept().await.unwrap();
        let identity = PeerIdentity::Controller(ControllerId(1));
        let accepted = accept(stream, from, &key(CLUSTER_KEY), &identity).await;
        accepted.unwrap().receiver.receive().await
    });
    let identity = PeerIdentity::Controller(ControllerId(2));
    let limit = Duration::from_secs(5);
    let cluster_key = key(CLUSTER_KEY);
    let connecting = connect_stream_within(limit, None, address, &cluster_key, &identity);
    let mut stream = connecting.await.unwrap().stream;
    stream.write_all(bytes).await.unwrap();
    drop(stream);
    server.await.unwrap()
}

/// A connection that ended within the header of a frame counted as closed between two frames.
#[tokio::test]
async fn a_frame_that_is_cut_short_is_no_proper_close() {
    assert!(matches!(received_after(&[]).await, Ok(None)));
    for length in [1, 2, 5] {
        let received = received_after(&[0; 8][..length]).await;
        assert!(
            matches!(received, Err(WireError::Io { .. })),
            "{length} bytes: {received:?}"
        );
    }
}
