//! Client of the deferred jobs' interface of a router.

use courseshunt_http::{HttpClient, HttpError, Reply, empty_body, full_body, read_in_time};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request, StatusCode};
use serde_json::Value;
use std::time::Duration;

/// Path of the interface.
const JOBS_PATH: &str = "/v1/jobs";
/// Longest call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, snafu::Snafu)]
pub enum JobError {
    /// The exchange failed.
    #[snafu(display("{source}"), context(false))]
    Exchange {
        /// The cause.
        source: HttpError,
    },
    /// The request can't be built.
    #[snafu(display("jobs: build the request to {address}: {problem}"))]
    Request {
        /// The router.
        address: String,
        /// What is wrong.
        problem: String,
    },
    /// The router refused.
    #[snafu(display("{address} answered {status} ({outcome}): {message}"))]
    Refused {
        /// The router.
        address: String,
        /// Status.
        status: StatusCode,
        /// Whether what was asked for was done.
        outcome: String,
        /// What it said.
        message: String,
    },
}

/// How a job is to be executed.
#[derive(Debug, Clone, Default)]
pub struct JobOptions {
    /// Recognises a resend.
    pub key: Option<String>,
    /// Run at most once; needs a key.
    pub once_only: bool,
    /// To be done within this time, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Priority class.
    pub class: Option<String>,
}

impl JobOptions {
    fn headers(&self) -> Vec<(&'static str, String)> {
        let repeat = match self.once_only {
            true => "never",
            false => "any",
        };
        let optional = [
            ("idempotency-key", self.key.clone()),
            (
                "x-courseshunt-deadline-ms",
                self.deadline_ms.map(|millis| millis.to_string()),
            ),
            ("x-courseshunt-class", self.class.clone()),
        ];
        let given = optional
            .into_iter()
            .filter_map(|(name, value)| Some((name, value?)));
        let repeat = ("x-courseshunt-repeat", repeat.to_owned());
        given.chain([repeat]).collect()
    }
}

/// See the module.
#[derive(Debug, Clone)]
pub struct JobClient {
    address: String,
    token: String,
    client: HttpClient,
}

impl JobClient {
    /// A client of the router at `address`.
    #[must_use]
    pub fn new(address: impl Into<String>, token: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            token: token.into(),
            client: HttpClient::default(),
        }
    }

    /// Submits a job; returns what the router says of it.
    ///
    /// # Errors
    /// When the router can't be reached or refuses.
    pub async fn submit(&self, body: Vec<u8>, options: &JobOptions) -> Result<Value, JobError> {
        self.call(Method::POST, JOBS_PATH, &options.headers(), Some(body))
            .await
    }

    /// Shows a job, with its answer if there is one.
    ///
    /// # Errors
    /// When the router can't be reached or refuses.
    pub async fn get(&self, job: &str) -> Result<Value, JobError> {
        let path = format!("{JOBS_PATH}/{job}");
        self.call(Method::GET, &path, &[], None).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// When the router can't be reached or refuses.
    pub async fn cancel(&self, job: &str) -> Result<Value, JobError> {
        let path = format!("{JOBS_PATH}/{job}");
        self.call(Method::DELETE, &path, &[], None).await
    }

    /// Lists the tenant's jobs.
    ///
    /// # Errors
    /// When the router can't be reached or refuses.
    pub async fn list(&self) -> Result<Value, JobError> {
        self.call(Method::GET, JOBS_PATH, &[], None).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Option<Vec<u8>>,
    ) -> Result<Value, JobError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(body.map_or_else(empty_body, full_body));
        let request = request.map_err(|error| JobError::Request {
            address: self.address.clone(),
            problem: error.to_string(),
        })?;
        let response = self.client.send(request).await?;
        let status = response.status();
        let body = response.into_body();
        let body = read_in_time(body, MAX_REPLY_BYTES, CALL_TIMEOUT, &self.address).await?;
        let content = Reply { status, body }.json(&self.address);
        if status.is_success() {
            return Ok(content?);
        }
        let content = content.unwrap_or(Value::Null);
        let text = |pointer| content.pointer(pointer).and_then(Value::as_str);
        Err(JobError::Refused {
            address: self.address.clone(),
            status,
            outcome: text("/error/outcome").unwrap_or("unknown").to_owned(),
            message: text("/error/message").unwrap_or("no message").to_owned(),
        })
    }
}
