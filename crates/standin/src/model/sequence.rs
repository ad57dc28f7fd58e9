//! Requests running in an engine, batched continuously.

use courseshunt_types::{
    AdapterName, Attempt, DeploymentName, PriorityClass, RequestId, Timestamp,
};

/// Identity of one execution.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceKey {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
}

/// A request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequest {
    /// Identity.
    pub key: SequenceKey,
    /// Deployment to run on.
    pub deployment: DeploymentName,
    /// Adapter to run with.
    pub adapter: Option<AdapterName>,
    /// Priority.
    pub class: PriorityClass,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Tokens to generate.
    pub max_tokens: u32,
}

/// Why an engine refused a request. It did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRejection {
    /// The deployment is not loaded here.
    NotLoaded,
    /// The runner is draining.
    Draining,
    /// The engine's own queue is full.
    Full,
    /// The same execution is here already.
    Duplicate,
}

/// Speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineTiming {
    /// Time to the first token of an empty prompt, in milliseconds.
    pub first_token_ms: f64,
    /// Time for each prompt token, in milliseconds.
    pub prompt_token_ms: f64,
    /// Time between tokens with one running request, in milliseconds.
    pub token_ms: f64,
    /// Time that each further running request adds between tokens, in milliseconds.
    pub token_per_request_ms: f64,
}

impl Default for EngineTiming {
    fn default() -> Self {
        Self {
            first_token_ms: 60.0,
            prompt_token_ms: 0.2,
            token_ms: 20.0,
            token_per_request_ms: 1.0,
        }
    }
}

/// A running or waiting request.
#[derive(Debug, Clone)]
pub(crate) struct Sequence {
    pub(crate) request: EngineRequest,
    pub(crate) tokens_done: u32,
    /// When the next token comes; `None` while waiting for a slot.
    pub(crate) next_token: Option<Timestamp>,
    pub(crate) arrival: u64,
}
