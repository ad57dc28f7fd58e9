//! Sends one request and checks what comes back.

use super::echo::{EchoCheck, messages};
use super::record::{PlannedRequest, RequestForm, RequestRecord, RequestResult};
use super::since;
use bytes::Bytes;
use courseshunt_http::{Body, HttpClient, HttpError, full_body, read_limited};
use courseshunt_types::Outcome;
use courseshunt_types::outcome::OUTCOME_HEADER;
use courseshunt_types::runner_api::REQUEST_ID_HEADER;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderMap};
use hyper::{Request, Response};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Pause before a request is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// One router.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name in reports.
    pub name: String,
    /// `ip:port`.
    pub address: String,
    /// Client for it.
    pub client: HttpClient,
}

impl Target {
    /// The router at `address`.
    #[must_use]
    pub fn new(address: impl Into<String>) -> Self {
        let address = address.into();
        Self::named(address.clone(), address)
    }

    /// The router at `address`, with a name for reports.
    #[must_use]
    pub fn named(name: impl Into<String>, address: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            address: address.into(),
            client: HttpClient::default(),
        }
    }
}

/// How requests are sent and checked.
#[derive(Debug, Clone)]
pub struct CallSettings {
    /// Bearer token.
    pub token: String,
    /// What an answer must be.
    pub echo: EchoCheck,
    /// How long after the deadline a caller still waits before it calls the
    /// system silent.
    pub grace: Duration,
    /// How often a request is sent again, to the next router, when its caller
    /// got no word. Requests that may run more than once and once-only ones
    /// alike: the key protects the latter.
    pub resends: u32,
}

/// Sends a request to the first target, and to the next ones when there is no
/// word from it.
pub async fn send(
    targets: &[Target],
    request: PlannedRequest,
    settings: &CallSettings,
    start: Instant,
) -> RequestRecord {
    let mut call = Call {
        request: &request,
        settings,
        start,
        request_id: None,
        first_byte: None,
    };
    let mut earlier = Vec::new();
    let mut turns = targets.iter().cycle();
    let mut left = settings.resends;
    let mut pause = RESEND_PAUSE;
    loop {
        let Some(target) = turns.next() else {
            return RequestRecord::not_sent(request);
        };
        let result = call.once(target).await;
        if left == 0 || call.overdue() || !result.may_be_sent_again(request.form) {
            let (request_id, first_byte) = (call.request_id.take(), call.first_byte);
            return RequestRecord {
                router: target.name.clone(),
                request_id,
                earlier,
                first_byte,
                ended_at: since(start),
                result,
                request,
            };
        }
        earlier.push(result);
        left -= 1;
        tokio::time::sleep(pause).await;
        pause *= 2;
    }
}

struct Call<'a> {
    request: &'a PlannedRequest,
    settings: &'a CallSettings,
    start: Instant,
    request_id: Option<String>,
    first_byte: Option<Duration>,
}

impl Call<'_> {
    fn deadline(&self) -> Instant {
        self.start + self.request.at + self.request.deadline
    }

    fn overdue(&self) -> bool {
        Instant::now() >= self.deadline()
    }

    async fn once(&mut self, target: &Target) -> RequestResult {
        let limit = self.deadline() + self.settings.grace;
        let exchange = self.exchange(target);
        let ended = tokio::time::timeout_at(limit.into(), exchange).await;
        ended.unwrap_or(RequestResult::Silent)
    }

    async fn exchange(&mut self, target: &Target) -> RequestResult {
        let request = match self.build(&target.address) {
            Ok(request) => request,
            Err(error) => {
                let problem = error.to_string();
                return RequestResult::NotConnected { problem };
            }
        };
        match target.client.send(request).await {
            Ok(response) => self.read(response, target).await,
            Err(error) => failed(&error),
        }
    }

    fn build(&self, address: &str) -> Result<Request<Body>, hyper::http::Error> {
        let request = self.request;
        let content = json!({
            "model": request.model,
            "stream": request.form == RequestForm::Stream,
            "max_tokens": request.max_tokens,
            "messages": messages(&request.prompt),
        });
        let left = self.deadline().saturating_duration_since(Instant::now());
        let left = left.as_millis().max(1).to_string();
        let mut built = Request::post(format!("http://{address}/v1/chat/completions"))
            .header(AUTHORIZATION, format!("Bearer {}", self.settings.token))
            .header("x-courseshunt-class", request.class.as_str())
            .header("x-courseshunt-deadline-ms", left);
        if request.form == RequestForm::OnceOnly {
            built = built.header("idempotency-key", &request.key);
            built = built.header("x-courseshunt-repeat", "never");
        }
        built.body(full_body(content.to_string()))
    }

    async fn read(&mut self, response: Response<Incoming>, target: &Target) -> RequestResult {
        self.first_byte = Some(since(self.start).saturating_sub(self.request.at));
        let status = response.status();
        let headers = response.headers().clone();
        self.request_id = header(&headers, REQUEST_ID_HEADER);
        let body = read_limited(response.into_body(), MAX_ANSWER_BYTES, &target.address).await;
        let body = match body {
            Ok(body) => body,
            Err(error) => return failed(&error),
        };
        if !status.is_success() {
            return refusal(status.as_u16(), &headers, &body);
        }
        match self.request.form {
            RequestForm::Stream => self.judge_stream(&body),
            _ => self.judge_whole(&headers, &body),
        }
    }

    fn judge_whole(&self, headers: &HeaderMap, body: &Bytes) -> RequestResult {
        if header(headers, OUTCOME_HEADER).as_deref() != Some(Outcome::Done.as_str()) {
            let problem = "an answer without the outcome `done`".to_owned();
            return RequestResult::Wrong { problem };
        }
        let content: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let text = content.pointer("/choices/0/message/content");
        self.judge_text(text.and_then(Value::as_str).unwrap_or_default())
    }

    fn judge_stream(&self, body: &Bytes) -> RequestResult {
        let body = String::from_utf8_lossy(body);
        let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
        let mut text = String::new();
        let mut ended = false;
        for event in events {
            ended |= event == "[DONE]";
            let event: Value = serde_json::from_str(event).unwrap_or(Value::Null);
            if let Some(error) = event.get("error") {
                let code = error.get("code").and_then(Value::as_str);
                let code = code.unwrap_or("unnamed").to_owned();
                return RequestResult::StreamError { code };
            }
            let word = event.pointer("/choices/0/delta/content");
            text.push_str(word.and_then(Value::as_str).unwrap_or_default());
        }
        if !ended {
            let problem = format!("a stream ended in silence after {} bytes", text.len());
            return RequestResult::Wrong { problem };
        }
        self.judge_text(&text)
    }

    fn judge_text(&self, text: &str) -> RequestResult {
        let request = self.request;
        let echo = self.settings.echo;
        match echo.check(&request.prompt, request.max_tokens, text) {
            Ok(()) => RequestResult::Answered,
            Err(problem) => RequestResult::Wrong { problem },
        }
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn failed(error: &HttpError) -> RequestResult {
    let problem = error.to_string();
    match error {
        HttpError::Connect { .. } => RequestResult::NotConnected { problem },
        _ => RequestResult::Broken { problem },
    }
}

fn refusal(status: u16, headers: &HeaderMap, body: &Bytes) -> RequestResult {
    let content: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let code = content.pointer("/error/code").and_then(Value::as_str);
    let code = code.unwrap_or("unnamed").to_owned();
    let outcome = match header(headers, OUTCOME_HEADER).as_deref() {
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => {
            let problem = format!("status {status} `{code}` without an outcome");
            return RequestResult::Wrong { problem };
        }
    };
    RequestResult::Refused {
        status,
        code,
        outcome,
    }
}
