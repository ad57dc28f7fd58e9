//! Replies that were cut on their way, by something that does not state their length.

use courseshunt_operator::{AdminClient, JobClient, JobError};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers each request with the next of these answers, the last one again and again, and closes
/// its connection.
async fn answer_with(answers: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let last = answers.last().expect("an answer");
        let mut answers = answers.iter().chain(std::iter::repeat(last));
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answers.next().expect("there is always one");
            let mut request = [0_u8; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

const CUT: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"revision\": 4";
const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"revision\": 4}";

/// The cut reply counted as one without content.
#[tokio::test]
async fn a_cut_reply_of_a_controller_is_read_again() {
    let address = answer_with(&[CUT, WHOLE]).await;
    let client = AdminClient::new(address.to_string(), "token");
    let page = client.get("/admin/v1/history").await.expect("a page");
    assert_eq!(page["revision"], 4);
}

#[tokio::test]
async fn a_cut_reply_of_a_router_is_no_success() {
    let address = answer_with(&[CUT]).await;
    let client = JobClient::new(address.to_string(), "token");
    let cut = client.get("j-1").await;
    assert!(matches!(cut, Err(JobError::Exchange { .. })), "{cut:?}");
}
