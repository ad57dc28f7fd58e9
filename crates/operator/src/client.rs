//! Client of the operators' API.
//!
//! A change that got no answer is sent again, to another controller if there is
//! one: its change identity and its versions make that safe.

use courseshunt_http::{HttpClient, HttpError, Reply};
use courseshunt_state::{ChangeRequest, DocumentKey};
use courseshunt_types::overview::Overview;
use courseshunt_types::{ControllerId, Revision, RouterId};
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde_json::Value;
use std::time::Duration;
use tokio::time::Instant;

/// Longest call, without the wait for a revision to be in force.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time in which a controller that answers is looked for.
const RETRY_LIMIT: Duration = Duration::from_secs(20);
/// Pause after all controllers were tried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Why a call failed.
#[derive(Debug, snafu::Snafu)]
pub enum AdminError {
    /// The exchange failed.
    #[snafu(display("{source}"), context(false))]
    Exchange {
        /// The cause.
        source: HttpError,
    },
    /// The controller refused.
    #[snafu(display("{address} answered {status}: {message}"))]
    Refused {
        /// The controller.
        address: String,
        /// Status.
        status: StatusCode,
        /// What it said.
        message: String,
        /// Document that it refused.
        document: Option<DocumentKey>,
        /// Field of the document.
        field: Option<String>,
    },
    /// A page is not what it should be.
    #[snafu(display("{address} sent a page that can't be read: {problem}"))]
    Unreadable {
        /// The controller.
        address: String,
        /// What is wrong.
        problem: String,
    },
}

/// How a change is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ApplyOptions {
    /// Only judge it.
    pub dry_run: bool,
    /// Wait so long until it is in force at every live router.
    pub wait: Option<Duration>,
}

impl ApplyOptions {
    fn path(&self) -> String {
        let mut path = "/admin/v1/changes".to_owned();
        if self.dry_run {
            path.push_str("?dry_run");
        } else if let Some(wait) = self.wait {
            path.push_str(&format!("?wait_seconds={}", wait.as_secs().max(1)));
        }
        path
    }

    fn timeout(&self) -> Duration {
        CALL_TIMEOUT + self.wait.unwrap_or_default()
    }
}

/// A router at which a revision is not in force.
#[derive(Debug, Clone, PartialEq, Eq, serde::Deserialize)]
pub struct LaggingRouter {
    /// The router.
    pub router: RouterId,
    /// Revision in force there.
    pub revision: Revision,
}

/// Answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Deserialize)]
#[serde(default)]
pub struct ChangeReply {
    /// Revision of the change; of the first answer for a resend.
    pub revision: Revision,
    /// Newest revision when the answer was given.
    pub current_revision: Revision,
    /// Routers that lagged when the wait ended.
    pub lagging: Vec<LaggingRouter>,
    /// Controllers that had not reported their routers then.
    pub unheard: Vec<ControllerId>,
    /// Documents that a dry run would change.
    pub changes: Vec<DocumentKey>,
}

/// See the module.
#[derive(Debug, Clone)]
pub struct AdminClient {
    addresses: Vec<String>,
    token: String,
    client: HttpClient,
}

impl AdminClient {
    /// A client of the controllers at `addresses`, separated by commas; the
    /// first that answers is used.
    #[must_use]
    pub fn new(addresses: impl Into<String>, token: impl Into<String>) -> Self {
        let addresses: String = addresses.into();
        let addresses = addresses.split(',').map(|one| one.trim().to_owned());
        Self {
            addresses: addresses.collect(),
            token: token.into(),
            client: HttpClient::default(),
        }
    }

    /// Applies a batch; returns its revision.
    ///
    /// # Errors
    /// When no controller can be reached or it refuses.
    pub async fn apply(&self, change: &ChangeRequest) -> Result<Revision, AdminError> {
        let reply = self.submit(change, &ApplyOptions::default()).await?;
        Ok(reply.revision)
    }

    /// Applies or tries out a batch.
    ///
    /// # Errors
    /// When no controller can be reached or it refuses.
    pub async fn submit(
        &self,
        change: &ChangeRequest,
        options: &ApplyOptions,
    ) -> Result<ChangeReply, AdminError> {
        let (path, timeout) = (options.path(), options.timeout());
        let reply = self
            .call(Method::POST, &path, Some(change), timeout)
            .await?;
        Ok(serde_json::from_value(reply).unwrap_or_default())
    }

    /// Sends a request with content and reads the answer as JSON.
    ///
    /// # Errors
    /// When no controller can be reached or it refuses.
    pub async fn post<T: Serialize>(
        &self,
        path: &str,
        content: &T,
        timeout: Duration,
    ) -> Result<Value, AdminError> {
        self.call(Method::POST, path, Some(content), timeout).await
    }

    /// Reads the overview.
    ///
    /// # Errors
    /// When the controller can't be reached, refuses, or sends something else.
    pub async fn overview(&self) -> Result<Overview, AdminError> {
        let page = self.get("/admin/v1/overview").await?;
        serde_json::from_value(page).map_err(|error| AdminError::Unreadable {
            address: self.addresses.join(","),
            problem: error.to_string(),
        })
    }

    /// Asks a `router` or `runner` to stop as planned.
    ///
    /// # Errors
    /// When no controller can be reached or it refuses.
    pub async fn drain(&self, kind: &str, id: &str) -> Result<(), AdminError> {
        let content = serde_json::json!({ kind: id });
        self.call(
            Method::POST,
            "/admin/v1/drains",
            Some(&content),
            CALL_TIMEOUT,
        )
        .await?;
        Ok(())
    }

    /// Reads a page as JSON.
    ///
    /// # Errors
    /// When no controller can be reached or it refuses.
    pub async fn get(&self, path: &str) -> Result<Value, AdminError> {
        self.call::<()>(Method::GET, path, None, CALL_TIMEOUT).await
    }

    /// Tries one controller after the other until one answers for good.
    async fn call<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        content: Option<&T>,
        timeout: Duration,
    ) -> Result<Value, AdminError> {
        let deadline = Instant::now() + RETRY_LIMIT;
        loop {
            let mut last = None;
            for address in &self.addresses {
                let method = method.clone();
                let tried = self.call_one(address, method, path, content, timeout).await;
                match tried {
                    Err(error) if error.is_worth_retrying() => last = Some(error),
                    finished => return finished,
                }
            }
            if let Some(error) = last
                && Instant::now() >= deadline
            {
                return Err(error);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn call_one<T: Serialize>(
        &self,
        address: &str,
        method: Method,
        path: &str,
        content: Option<&T>,
        timeout: Duration,
    ) -> Result<Value, AdminError> {
        let token = Some(self.token.as_str());
        let call = self
            .client
            .call(method, address, path, token, content, timeout);
        judge(address, &call.await?)
    }
}

impl AdminError {
    /// Whether another controller, or the same one later, may answer.
    fn is_worth_retrying(&self) -> bool {
        match self {
            Self::Exchange { .. } => true,
            Self::Refused { status, .. } => *status == StatusCode::SERVICE_UNAVAILABLE,
            Self::Unreadable { .. } => false,
        }
    }
}

fn judge(address: &str, reply: &Reply) -> Result<Value, AdminError> {
    let content = reply.json(address);
    if reply.status.is_success() {
        return Ok(content?);
    }
    let content = content.unwrap_or(Value::Null);
    let error = &content["error"];
    let document = serde_json::from_value(error["document"].clone());
    Err(AdminError::Refused {
        address: address.to_owned(),
        status: reply.status,
        message: error["message"].as_str().unwrap_or("no message").to_owned(),
        document: document.ok(),
        field: error["field"].as_str().map(str::to_owned),
    })
}
