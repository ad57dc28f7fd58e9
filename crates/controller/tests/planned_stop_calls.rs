//! A controller of deployments ended its operators' calls without an answer at a planned stop.

mod common;

use common::{Api, change, subscribe};
use std::io::{Read, Write};
use std::time::Duration;

#[test]
fn a_call_that_waits_is_answered_before_the_end_of_its_controller() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let (api, feed) = runtime.block_on(async {
        let api = Api::start().await;
        let feed = subscribe(&api, "r1", 0).await;
        (api, feed)
    });
    let body = change("c", 1, 10).to_string();
    let call = format!(
        "POST /admin/v1/changes?wait_seconds=20 HTTP/1.1\r\nhost: h\r\n\
         authorization: Bearer apply-token\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = std::net::TcpStream::connect(api.controller.http_address).unwrap();
    stream.write_all(call.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    stream
        .set_read_timeout(Some(Duration::from_millis(10)))
        .unwrap();
    let mut buffer = [0; 1024];
    assert!(stream.read(&mut buffer).is_err(), "the call waits");
    runtime.block_on(api.controller.stop());
    drop(feed);
    // The process exits.
    drop(runtime);
    stream
        .set_read_timeout(Some(Duration::from_secs(1)))
        .unwrap();
    let mut received = String::new();
    let _ = stream.read_to_string(&mut received);
    assert!(received.starts_with("HTTP/1.1 503 "), "{received:?}");
    assert!(received.contains("may have taken effect"), "{received:?}");
}
