//! Client of the operators' API.

use courseshunt_http::{HttpClient, HttpError, Reply};
use courseshunt_state::ChangeRequest;
use courseshunt_types::Revision;
use courseshunt_types::overview::Overview;
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde_json::Value;
use std::time::Duration;

/// Longest call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

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

/// See the module.
#[derive(Debug, Clone)]
pub struct AdminClient {
    address: String,
    token: String,
    client: HttpClient,
}

impl AdminClient {
    /// A client of the controller at `address`.
    #[must_use]
    pub fn new(address: impl Into<String>, token: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            token: token.into(),
            client: HttpClient::default(),
        }
    }

    /// Applies a batch; returns its revision.
    ///
    /// # Errors
    /// When the controller can't be reached or refuses.
    pub async fn apply(&self, change: &ChangeRequest) -> Result<Revision, AdminError> {
        let reply = self
            .call(Method::POST, "/admin/v1/changes", Some(change))
            .await?;
        let revision = reply.get("revision").and_then(Value::as_u64);
        Ok(Revision(revision.unwrap_or_default()))
    }

    /// Reads the overview.
    ///
    /// # Errors
    /// When the controller can't be reached, refuses, or sends something else.
    pub async fn overview(&self) -> Result<Overview, AdminError> {
        let page = self.get("/admin/v1/overview").await?;
        serde_json::from_value(page).map_err(|error| AdminError::Unreadable {
            address: self.address.clone(),
            problem: error.to_string(),
        })
    }

    /// Reads a page as JSON.
    ///
    /// # Errors
    /// When the controller can't be reached or refuses.
    pub async fn get(&self, path: &str) -> Result<Value, AdminError> {
        self.call::<()>(Method::GET, path, None).await
    }

    async fn call<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        content: Option<&T>,
    ) -> Result<Value, AdminError> {
        let token = Some(self.token.as_str());
        let call = self
            .client
            .call(method, &self.address, path, token, content, CALL_TIMEOUT);
        let reply = call.await?;
        self.judge(&reply)
    }

    fn judge(&self, reply: &Reply) -> Result<Value, AdminError> {
        let content: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        if reply.status.is_success() {
            return Ok(content);
        }
        let message = content.pointer("/error/message").and_then(Value::as_str);
        Err(AdminError::Refused {
            address: self.address.clone(),
            status: reply.status,
            message: message.unwrap_or("no message").to_owned(),
        })
    }
}
