//! Contract of the planned stop: no request that reached the server is broken
//! off, on old connections and new ones alike.

use courseshunt_http::{HttpClient, ServerLimits, serve, text_response};
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const LIMIT: Duration = Duration::from_secs(20);

/// What one caller saw: answers before it was told that the server stops.
async fn call_until_refused(address: SocketAddr, one_connection: bool) -> usize {
    let kept = HttpClient::default();
    let mut answered = 0;
    loop {
        let client = match one_connection {
            true => kept.clone(),
            false => HttpClient::default(),
        };
        let address = address.to_string();
        let call = client.call::<()>(Method::GET, &address, "/", None, None, LIMIT);
        let reply = call
            .await
            .expect("no request is broken off or refused a connection");
        if reply.status == StatusCode::SERVICE_UNAVAILABLE {
            return answered;
        }
        answered += 1;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_breaks_no_request_off() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let stopping = stop.clone();
    let release = CancellationToken::new();
    let released = release.clone();
    let handler = move |request: hyper::Request<hyper::body::Incoming>, _| {
        let (stopping, released) = (stopping.clone(), released.clone());
        async move {
            if request.uri().path() == "/slow" {
                released.cancelled().await;
                return text_response(StatusCode::OK, "slow\n");
            }
            match stopping.is_cancelled() {
                true => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
                false => text_response(StatusCode::OK, "ok\n"),
            }
        }
    };
    let server = serve(listener, ServerLimits::default(), stop.clone(), handler);
    let server = tokio::spawn(server);
    let slow = tokio::spawn(async move {
        let client = HttpClient::default();
        let address = address.to_string();
        let call = client.call::<()>(Method::GET, &address, "/slow", None, None, LIMIT);
        call.await.unwrap().status
    });
    let callers: Vec<_> = (0..8)
        .map(|number| tokio::spawn(call_until_refused(address, number % 2 == 0)))
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    stop.cancel();
    for caller in callers {
        assert!(caller.await.unwrap() > 0);
    }
    // The request that was running all the time ends whole, and then the server.
    release.cancel();
    assert_eq!(slow.await.unwrap(), StatusCode::OK);
    tokio::time::timeout(LIMIT, server).await.unwrap().unwrap();
}
