//! Statuses that are no final ones counted as answers.

use courseshunt_http::{HttpClient, HttpError, NoFinalStatus, require_final_status};
use hyper::{Method, Response, StatusCode};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longest time for a reply.
const REPLY_LIMIT: Duration = Duration::from_secs(2);
/// The client takes a connection back within this time.
const TAKEN_BACK: Duration = Duration::from_millis(20);
/// Replies that are no final response. The connection is kept after each.
const INVALID: [&str; 14] = [
    "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 600 Internal\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 600 Internal\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 700 Unknown\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 999 Blocked\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 099 Under\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 1000 Over\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 abc\r\nContent-Length: 0\r\n\r\n",
    "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    "ICY 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 103 Early\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 Internal\r\nContent-Length: 0\r\n\r\n",
];
const FINAL: &str =
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

#[test]
fn only_200_to_599_are_final() {
    for code in 100..=999 {
        let status = StatusCode::from_u16(code).expect("three digits");
        let mut response = Response::new(());
        *response.status_mut() = status;
        let judged = require_final_status(response).map(|response| response.status());
        let expected = match code {
            200..=599 => Ok(status),
            _ => Err(NoFinalStatus { status }),
        };
        assert_eq!(judged, expected);
    }
}

/// Answers each request whose path holds a number by that reply, and others by a final one; counts
/// connections.
async fn serve(listener: TcpListener, connections: Arc<AtomicUsize>) {
    while let Ok((stream, _)) = listener.accept().await {
        connections.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(reply(stream));
    }
}

async fn reply(mut stream: TcpStream) {
    let mut bytes = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        bytes.push(byte);
        if !bytes.ends_with(b"\r\n\r\n") {
            continue;
        }
        let head = String::from_utf8_lossy(&bytes).into_owned();
        let path = head.split(' ').nth(1).unwrap_or_default();
        let number = path.trim_start_matches('/').parse::<usize>().ok();
        let reply = number.map_or(FINAL, |number| INVALID[number]);
        let _ = stream.write_all(reply.as_bytes()).await;
        bytes.clear();
    }
}

/// An order that was answered by 600 counted as one that the instance had refused.
#[tokio::test]
async fn a_reply_without_a_final_status_is_an_error_and_ends_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let connections = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve(listener, connections.clone()));
    let client = HttpClient::default();
    let call = async |path: &str| {
        let call = client.call::<()>(Method::POST, &address, path, None, None, REPLY_LIMIT);
        let replied = call.await;
        tokio::time::sleep(TAKEN_BACK).await;
        replied
    };
    for (number, reply) in INVALID.iter().enumerate() {
        let before = connections.load(Ordering::Relaxed);
        let good = call("/good").await.expect("a reply");
        assert_eq!(good.status, StatusCode::OK);
        let replied = call(&format!("/{number}")).await;
        assert!(
            matches!(replied, Err(HttpError::Broken { .. })),
            "{reply}: {replied:?}"
        );
        let good = call("/good").await.expect("a reply");
        assert_eq!(good.status, StatusCode::OK, "after {reply}");
        let opened = connections.load(Ordering::Relaxed) - before;
        let expected = if number == 0 { 2 } else { 1 };
        assert_eq!(opened, expected, "connections around {reply}");
    }
}
