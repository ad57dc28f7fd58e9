//! Frames between processes: damage is refused, also with a right checksum.

use courseshunt_fuzz::{config, damaged};
use courseshunt_types::{ControllerId, Incarnation, Millis, Revision};
use courseshunt_wire::message::Subscribe;
use courseshunt_wire::{ClusterKey, Message, PeerIdentity, accept, connect, decode, encode};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Bytes before the content of a frame: version, length, checksum.
const HEADER_BYTES: usize = 9;
/// Handshakes are tried over sockets, so fewer of them.
const HANDSHAKES: u32 = 60;
/// Longest wait for anything.
const PATIENCE: Duration = Duration::from_secs(30);

fn messages() -> Vec<Message> {
    vec![
        Message::Subscribe(Subscribe {
            router: "router-1".into(),
            incarnation: Incarnation(7),
            wire_address: "127.0.0.1:1".to_owned(),
            http_address: "127.0.0.1:2".to_owned(),
            zone: "a".into(),
            revision: Revision(3),
            placement: Default::default(),
        }),
        Message::FeedConfirmation {
            age: Millis(5),
            revision: Revision(9),
        },
        Message::Demand {
            reports: Vec::new(),
        },
    ]
}

fn contents() -> Vec<Vec<u8>> {
    let frames = messages()
        .into_iter()
        .map(|message| encode(&message).unwrap());
    frames.map(|frame| frame[HEADER_BYTES..].to_vec()).collect()
}

fn checksum(frame: &[u8]) -> u32 {
    u32::from_le_bytes([frame[5], frame[6], frame[7], frame[8]])
}

#[test]
fn frames_are_read_back() {
    for message in messages() {
        let frame = encode(&message).unwrap();
        assert_eq!(
            decode(&frame[HEADER_BYTES..], checksum(&frame)),
            Ok(message)
        );
    }
}

proptest! {
    #![proptest_config(config(3000))]

    /// What the checksum lets through is checked by the decoder.
    #[test]
    fn contents_with_a_right_checksum(content in damaged(contents())) {
        let checksum = crc32fast::hash(&content);
        if let Ok(message) = decode(&content, checksum) {
            prop_assert!(encode(&message).is_ok());
        }
    }

    #[test]
    fn contents_with_the_old_checksum(number in 0..3_usize, content in damaged(contents())) {
        let frame = encode(&messages()[number]).unwrap();
        let decoded = decode(&content, checksum(&frame));
        let same = content == frame[HEADER_BYTES..];
        prop_assert_eq!(decoded.is_ok(), same);
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn key() -> ClusterKey {
    ClusterKey::new(b"0123456789abcdef").unwrap()
}

/// Sends bytes in place of a handshake; says whether the listener let them in.
async fn let_in(bytes: &[u8]) -> bool {
    let (listener, address) = listen().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let (accepted, peer) = listener.accept().await.unwrap();
    let identity = PeerIdentity::Controller(ControllerId(1));
    let accepted = tokio::time::timeout(PATIENCE, accept(accepted, peer, &key(), &identity)).await;
    accepted.unwrap().is_ok()
}

proptest! {
    #![proptest_config(config(HANDSHAKES))]

    #[test]
    fn nobody_comes_in_without_the_key(bytes in damaged(vec![vec![0; 32], vec![9; 200]])) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        prop_assert!(!runtime.block_on(let_in(&bytes)));
    }
}

#[tokio::test]
async fn the_key_lets_in() {
    let (listener, address) = listen().await;
    let mine = PeerIdentity::Controller(ControllerId(2));
    let (dial_key, listen_key) = (key(), key());
    let dialled = tokio::spawn(async move { connect(address, &dial_key, &mine).await });
    let (stream, peer) = listener.accept().await.unwrap();
    let theirs = PeerIdentity::Controller(ControllerId(1));
    let accepted = accept(stream, peer, &listen_key, &theirs).await.unwrap();
    assert_eq!(accepted.peer, PeerIdentity::Controller(ControllerId(2)));
    assert!(dialled.await.unwrap().is_ok());
}
