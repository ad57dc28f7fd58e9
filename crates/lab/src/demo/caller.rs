//! A caller that checks its answers.

use super::TENANT_TOKEN;
use crate::error::LabError;
use courseshunt_http::{HttpClient, full_body, read_limited};
use courseshunt_standin::server::answer_word;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
const TOKENS: u32 = 12;

/// A caller of one router.
#[derive(Debug, Clone)]
pub struct Caller {
    address: SocketAddr,
    client: HttpClient,
}

/// A whole answer that was checked.
#[derive(Debug, Clone)]
pub struct CallerAnswer {
    /// The generated text.
    pub text: String,
    /// Time from sending to the first byte of the answer.
    pub first_byte: Duration,
    /// Time from sending to the end.
    pub total: Duration,
}

impl Caller {
    /// A caller of the router at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let client = HttpClient::default();
        Self { address, client }
    }

    /// Asks for a whole answer.
    pub async fn whole(
        &self,
        model: &str,
        prompt: &str,
        key: Option<&str>,
    ) -> Result<CallerAnswer, LabError> {
        let (body, times) = self.send(model, prompt, key, false).await?;
        let content: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let text = content
            .pointer("/choices/0/message/content")
            .and_then(Value::as_str);
        times.check(prompt, text.unwrap_or_default())
    }

    /// Asks for a stream.
    pub async fn stream(&self, model: &str, prompt: &str) -> Result<CallerAnswer, LabError> {
        let (body, times) = self.send(model, prompt, None, true).await?;
        let body = String::from_utf8_lossy(&body).into_owned();
        let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
        let events = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
        let words = events.filter_map(|event| {
            let word = event.pointer("/choices/0/delta/content")?;
            Some(word.as_str()?.to_owned())
        });
        times.check(prompt, &words.collect::<String>())
    }

    async fn send(
        &self,
        model: &str,
        prompt: &str,
        key: Option<&str>,
        stream: bool,
    ) -> Result<(bytes::Bytes, Times), LabError> {
        let content = body(model, prompt, stream);
        let mut request = Request::post(format!("http://{}/v1/chat/completions", self.address))
            .header(AUTHORIZATION, format!("Bearer {TENANT_TOKEN}"));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
            request = request.header("x-courseshunt-repeat", "never");
        }
        let request = request.body(full_body(content.to_string()));
        let request = request.map_err(|error| LabError::violation(error.to_string()))?;
        let sent = Instant::now();
        let response = self.client.send(request).await?;
        let first_byte = sent.elapsed();
        let status = response.status();
        let peer = self.address.to_string();
        let body = read_limited(response.into_body(), MAX_ANSWER_BYTES, &peer).await?;
        if !status.is_success() {
            let text = String::from_utf8_lossy(&body);
            return Err(LabError::violation(format!(
                "{peer} answered {status}: {text}"
            )));
        }
        let total = sent.elapsed();
        Ok((body, Times { first_byte, total }))
    }
}

/// The body of a request.
pub fn body(model: &str, prompt: &str, stream: bool) -> Value {
    json!({
        "model": model, "stream": stream, "max_tokens": TOKENS,
        "messages": messages(prompt),
    })
}

fn messages(prompt: &str) -> Value {
    json!([{"role": "user", "content": prompt}])
}

/// Times of an answer that is not checked yet.
pub struct Times {
    /// From sending to the first byte.
    pub first_byte: Duration,
    /// From sending to the end.
    pub total: Duration,
}

impl Times {
    /// Checks that the text is whole and answers this prompt.
    pub fn check(self, prompt: &str, text: &str) -> Result<CallerAnswer, LabError> {
        let sent = messages(prompt).to_string();
        let expected: String = (0..TOKENS)
            .map(|position| answer_word(&sent, position))
            .collect();
        if text != expected {
            let message = format!("the answer to `{prompt}` is not whole or not its own: {text}");
            return Err(LabError::violation(message));
        }
        Ok(CallerAnswer {
            text: text.to_owned(),
            first_byte: self.first_byte,
            total: self.total,
        })
    }
}
