//! Parses and validates a caller's request.

use crate::attempt::Work;
use crate::configuration::ConfigurationView;
use bytes::Bytes;
use courseshunt_types::{
    AdapterName, DeploymentDocument, DeploymentName, Digest, IdempotencyKey, Millis, PriorityClass,
    Refusal, RefusalReason, RequestId, TenantName, Timestamp,
};
use hyper::header::HeaderMap;
use serde_json::Value;
use std::sync::Arc;

/// Header with the priority class: `critical`, `interactive` or `batch`.
pub const CLASS_HEADER: &str = "x-courseshunt-class";
/// Header with the deadline, in milliseconds after the arrival.
pub const DEADLINE_HEADER: &str = "x-courseshunt-deadline-ms";
/// Header that says whether the request may be repeated: `any` or `never`.
pub const REPEAT_HEADER: &str = "x-courseshunt-repeat";
/// Header with the key of a request that must run at most once.
pub const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Bytes per token in the estimate of the prompt's length.
const BYTES_PER_TOKEN: usize = 4;
/// Value of `max_tokens` if the request has none.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Whether a request may run more than once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepeatRule {
    /// It may run any number of times.
    Any,
    /// It must run at most once, under this key.
    Never(IdempotencyKey),
}

/// A validated request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Random id of the request, generated at parsing.
    pub request: RequestId,
    /// Tenant of the caller.
    pub tenant: TenantName,
    /// Document of the deployment that was in force at the arrival.
    pub document: Arc<DeploymentDocument>,
    /// Adapter, if the request names one.
    pub adapter: Option<AdapterName>,
    /// Priority class.
    pub class: PriorityClass,
    /// Time from the arrival to the deadline.
    pub deadline_in: Millis,
    /// Whether the request may run more than once.
    pub repeat: RepeatRule,
    /// Digest of the body, to detect a key that is reused with another body.
    pub digest: Digest,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Path of the request at the runner.
    pub path: &'static str,
    /// Body as the caller sent it.
    pub body: Bytes,
}

/// Whether a tenant may call a deployment.
#[must_use]
pub fn may_use(document: &DeploymentDocument, tenant: &TenantName) -> bool {
    document.tenant == *tenant || document.shared_with.contains(tenant)
}

impl CallerRequest {
    /// Parses headers and body.
    ///
    /// # Errors
    /// The refusal for the caller, with the outcome not-run.
    pub fn parse(
        headers: &HeaderMap,
        body: Bytes,
        tenant: TenantName,
        path: &'static str,
        view: &ConfigurationView,
    ) -> Result<Self, Refusal> {
        let content: Value = serde_json::from_slice(&body)
            .map_err(|error| invalid(format!("the body is no JSON: {error}")))?;
        let model = content.get("model").and_then(Value::as_str);
        let model = model.ok_or_else(|| invalid("`model` must be a string"))?;
        if content.get("messages").is_none() && content.get("prompt").is_none() {
            return Err(invalid("`messages` or `prompt` must be given"));
        }
        let (document, adapter) = find_model(model, &tenant, view)?;
        let class = class(headers)?;
        let deadline_in = deadline(headers, &document, class)?;
        let max_tokens = max_tokens(&content)?;
        let prompt_tokens = u32::try_from(body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        Ok(Self {
            request: RequestId(format!("req-{:032x}", rand::random::<u128>())),
            tenant,
            document,
            adapter,
            class,
            deadline_in,
            repeat: repeat(headers)?,
            digest: Digest::of(&body),
            prompt_tokens,
            max_tokens,
            stream: content
                .get("stream")
                .and_then(Value::as_bool)
                .unwrap_or(false),
            path,
            body,
        })
    }
}

impl CallerRequest {
    /// The idempotency key in the headers.
    ///
    /// # Errors
    /// When the key is empty, too long or not printable ASCII.
    pub fn key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Refusal> {
        let key = header_text(headers, KEY_HEADER)?;
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
            return Err(invalid(format!(
                "{KEY_HEADER} must have 1 to {MAX_KEY_BYTES} bytes"
            )));
        }
        Ok(key.map(IdempotencyKey::from))
    }

    /// Whether the headers explicitly allow repetition.
    #[must_use]
    pub fn may_repeat(headers: &HeaderMap) -> bool {
        headers
            .get(REPEAT_HEADER)
            .is_some_and(|value| value == "any")
    }

    /// The work for a runner, for a request that arrived at `arrived`.
    #[must_use]
    pub fn work(&self, arrived: Timestamp) -> Work {
        Work {
            request: self.request.clone(),
            tenant: self.tenant.clone(),
            deployment: self.document.name.clone(),
            adapter: self.adapter.clone(),
            class: self.class,
            arrived,
            waited_before: Millis(0),
            deadline: arrived + self.deadline_in,
            repeatable: self.repeat == RepeatRule::Any,
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            stream: self.stream,
            path: self.path.to_owned(),
            body: self.body.clone(),
        }
    }
}

fn invalid(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalReason::InvalidRequest, message)
}

fn find_model(
    model: &str,
    tenant: &TenantName,
    view: &ConfigurationView,
) -> Result<(Arc<DeploymentDocument>, Option<AdapterName>), Refusal> {
    let unknown = || {
        let message = format!("there is no model `{model}`");
        Refusal::not_run(RefusalReason::UnknownModel, message)
    };
    let (name, adapter) = match model.split_once(':') {
        Some((name, adapter)) => (name, Some(AdapterName::from(adapter))),
        None => (model, None),
    };
    let document = view
        .deployment(&DeploymentName::from(name))
        .ok_or_else(unknown)?;
    if !may_use(&document, tenant) {
        return Err(unknown());
    }
    let is_declared =
        |adapter: &AdapterName| document.adapters.iter().any(|one| one.name == *adapter);
    if adapter
        .as_ref()
        .is_some_and(|adapter| !is_declared(adapter))
    {
        return Err(unknown());
    }
    Ok((document, adapter))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| invalid(format!("header {name} is no plain text")))?;
    Ok(Some(text.trim()))
}

fn class(headers: &HeaderMap) -> Result<PriorityClass, Refusal> {
    let Some(text) = header_text(headers, CLASS_HEADER)? else {
        return Ok(PriorityClass::default());
    };
    PriorityClass::parse(text).ok_or_else(|| {
        invalid(format!(
            "{CLASS_HEADER} is `{text}`; allowed: critical, interactive, batch"
        ))
    })
}

fn deadline(
    headers: &HeaderMap,
    document: &DeploymentDocument,
    class: PriorityClass,
) -> Result<Millis, Refusal> {
    let Some(text) = header_text(headers, DEADLINE_HEADER)? else {
        return Ok(document.limits.of(class).deadline_ms);
    };
    let millis = text.parse::<u64>().map_err(|_| {
        invalid(format!(
            "{DEADLINE_HEADER} is `{text}`; allowed: milliseconds from now"
        ))
    })?;
    Ok(Millis(millis))
}

fn repeat(headers: &HeaderMap) -> Result<RepeatRule, Refusal> {
    let key = CallerRequest::key(headers)?;
    match header_text(headers, REPEAT_HEADER)? {
        None | Some("any") => Ok(key.map_or(RepeatRule::Any, RepeatRule::Never)),
        Some("never") => {
            let key = key.ok_or_else(|| {
                invalid(format!(
                    "{REPEAT_HEADER}: never needs the header {KEY_HEADER}"
                ))
            })?;
            Ok(RepeatRule::Never(key))
        }
        Some(other) => {
            let message = format!("{REPEAT_HEADER} is `{other}`; allowed: any, never");
            Err(invalid(message))
        }
    }
}

fn max_tokens(content: &Value) -> Result<u32, Refusal> {
    let Some(value) = content.get("max_tokens") else {
        return Ok(DEFAULT_MAX_TOKENS as u32);
    };
    let number = value.as_u64().filter(|number| *number > 0);
    let number = number.and_then(|number| u32::try_from(number).ok());
    number.ok_or_else(|| invalid("`max_tokens` must be a whole number, 1 or more"))
}
