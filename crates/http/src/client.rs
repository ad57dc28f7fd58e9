//! A pooled HTTP/1.1 client.

use crate::body::{Body, empty_body, full_body, read_limited};
use crate::error::HttpError;
use crate::final_status::require_final_status;
use crate::interim::InterimLimit;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde_json::Value;
use std::net::IpAddr;
use std::time::Duration;

/// Longest time for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest head of a response that a client of this crate or of a router reads, in bytes. A
/// connection reads no more than this at once, whatever comes.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;
/// Longest JSON reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// See the module.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Body>,
}

/// A whole reply.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// The reply's JSON; `null` if the reply is empty.
    ///
    /// # Errors
    /// [`HttpError::Broken`] if it is something else, such as JSON that was cut on its way by a peer
    /// that does not state its length.
    pub fn json(&self, peer: &str) -> Result<Value, HttpError> {
        if self.body.is_empty() {
            return Ok(Value::Null);
        }
        serde_json::from_slice(&self.body).map_err(|error| HttpError::Broken {
            step: "read the reply",
            peer: peer.to_owned(),
            problem: error.to_string(),
        })
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::from_address(None)
    }
}

impl HttpClient {
    /// A client whose connections come from `source`; `None` lets the system
    /// choose.
    #[must_use]
    pub fn from_address(source: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_local_address(source);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        builder.http1_max_buf_size(MAX_RESPONSE_HEAD_BYTES);
        let client = builder.build(connector);
        Self { client }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`HttpError::Connect`] when surely nothing was sent, else [`HttpError::Broken`]; also if the
    /// response has no final status.
    pub async fn send(&self, mut request: Request<Body>) -> Result<Response<Incoming>, HttpError> {
        let peer = request.uri().authority().map(ToString::to_string);
        let peer = peer.unwrap_or_default();
        let interim = InterimLimit::of(&mut request);
        let connection = capture_connection(&mut request);
        let sent = match interim.wait(self.client.request(request)).await {
            Ok(sent) => sent,
            Err(error) => {
                return Err(HttpError::Broken {
                    step: "send a request",
                    peer,
                    problem: error.to_string(),
                });
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(error) => return Err(send_error(&error, peer)),
        };
        require_final_status(response).map_err(|problem| {
            close(&connection);
            HttpError::Broken {
                step: "read the status",
                peer,
                problem: problem.to_string(),
            }
        })
    }

    /// Sends JSON (or nothing) and reads the whole reply within `limit`.
    ///
    /// # Errors
    /// When the exchange fails or takes longer.
    pub async fn call<T: Serialize>(
        &self,
        method: Method,
        address: &str,
        path: &str,
        token: Option<&str>,
        content: Option<&T>,
        limit: Duration,
    ) -> Result<Reply, HttpError> {
        let request = build(method, address, path, token, content);
        let request = request.map_err(|error| HttpError::Connect {
            peer: address.to_owned(),
            problem: error.to_string(),
        })?;
        let exchange = async {
            let response = self.send(request).await?;
            let status = response.status();
            let body = read_limited(response.into_body(), MAX_REPLY_BYTES, address).await?;
            Ok(Reply { status, body })
        };
        let finished = tokio::time::timeout(limit, exchange).await;
        finished.unwrap_or(Err(HttpError::TimedOut {
            step: "call",
            peer: address.to_owned(),
        }))
    }
}

fn build<T: Serialize>(
    method: Method,
    address: &str,
    path: &str,
    token: Option<&str>,
    content: Option<&T>,
) -> Result<Request<Body>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    if let Some(token) = token {
        request = request.header(AUTHORIZATION, format!("Bearer {token}"));
    }
    let Some(content) = content else {
        return request.body(empty_body());
    };
    let content = serde_json::to_vec(content).unwrap_or_default();
    let request = request.header(CONTENT_TYPE, "application/json");
    request.body(full_body(content))
}

fn send_error(error: &hyper_util::client::legacy::Error, peer: String) -> HttpError {
    let problem = describe(error);
    if error.is_connect() || is_unsent(error) {
        return HttpError::Connect { peer, problem };
    }
    HttpError::Broken {
        step: "send a request",
        peer,
        problem,
    }
}

/// Keeps the connection of a request from being used again.
fn close(connection: &CaptureConnection) {
    if let Some(connection) = connection.connection_metadata().as_ref() {
        connection.poison();
    }
}

/// Whether the library gave the request up before its first byte: a pooled
/// connection closed while the request waited for it.
fn is_unsent(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = error.source();
    while let Some(inner) = cause {
        if let Some(error) = inner.downcast_ref::<hyper::Error>() {
            return error.is_canceled();
        }
        cause = inner.source();
    }
    false
}

fn describe(error: &(dyn std::error::Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
