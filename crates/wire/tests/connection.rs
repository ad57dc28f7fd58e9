//! Contract of connections: the key is proved both ways, bad frames close.

use courseshunt_types::{ControllerId, Revision};
use courseshunt_wire::{
    ClusterKey, Message, PeerIdentity, WireError, accept, connect, connect_from,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

fn key(text: &str) -> ClusterKey {
    ClusterKey::new(text.as_bytes()).unwrap()
}

const RIGHT: &str = "a key of sixteen bytes or more";

#[tokio::test]
async fn messages_pass_after_both_proofs() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (stream, from) = listener.accept().await.unwrap();
        let me = PeerIdentity::Controller(ControllerId(1));
        let mut connection = accept(stream, from, &key(RIGHT), &me).await.unwrap();
        connection.receiver.receive().await.unwrap()
    });
    let me = PeerIdentity::Controller(ControllerId(2));
    let mut connection = connect(address, &key(RIGHT), &me).await.unwrap();
    assert_eq!(connection.peer, PeerIdentity::Controller(ControllerId(1)));
    let message = Message::Confirmed {
        revision: Revision(4),
    };
    connection.sender.send(&message).await.unwrap();
    assert_eq!(server.await.unwrap(), Some(message));
}

#[tokio::test]
async fn a_wrong_key_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, from) = listener.accept().await.unwrap();
        let me = PeerIdentity::Controller(ControllerId(1));
        let _ = accept(stream, from, &key("another key of some length"), &me).await;
    });
    let me = PeerIdentity::Controller(ControllerId(2));
    let error = connect(address, &key(RIGHT), &me).await.unwrap_err();
    assert!(matches!(error, WireError::Protocol { .. }), "{error}");
}

#[tokio::test]
async fn garbage_ends_only_its_own_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (stream, from) = listener.accept().await.unwrap();
        let me = PeerIdentity::Controller(ControllerId(1));
        accept(stream, from, &key(RIGHT), &me).await
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&[0xff; 200]).await.unwrap();
    assert!(server.await.unwrap().is_err());
}

#[tokio::test]
async fn a_dialling_peer_comes_from_its_source_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (stream, from) = listener.accept().await.unwrap();
        let me = PeerIdentity::Controller(ControllerId(1));
        accept(stream, from, &key(RIGHT), &me).await.unwrap();
        from.ip()
    });
    let me = PeerIdentity::Controller(ControllerId(2));
    let source = "127.0.0.2".parse().unwrap();
    let connected = connect_from(Some(source), address, &key(RIGHT), &me).await;
    assert!(connected.is_ok());
    assert_eq!(server.await.unwrap(), source);
}
