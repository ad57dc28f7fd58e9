//! Requests to an engine, and the speed of engines.

use courseshunt_types::{AdapterName, Attempt, DeploymentName, PriorityClass, RequestId};

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
    /// Hashes of the prompt's leading blocks, for the prefix cache.
    pub prefix_hashes: Vec<u64>,
    /// Tokens to generate.
    pub max_tokens: u32,
}

/// Why an engine refused a request. It did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRejection {
    /// The deployment is not loaded here.
    NotLoaded,
    /// The adapter is not attached here.
    AdapterNotLoaded,
    /// The runner is draining.
    Draining,
    /// The engine's own queue is full.
    Full,
    /// The same execution is here already.
    Duplicate,
}

/// Speed of an engine. One step gives each running request one token.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineTiming {
    /// Time that a request's first step adds, in milliseconds.
    pub first_token_ms: f64,
    /// Time that each prompt token outside the prefix cache adds to the first
    /// step, in milliseconds.
    pub prompt_token_ms: f64,
    /// Length of a step with one running request, in milliseconds.
    pub token_ms: f64,
    /// Time that each further running request adds to a step, in milliseconds.
    pub token_per_request_ms: f64,
    /// Time that 1000 prompt tokens of running requests add to a step, in
    /// milliseconds.
    pub token_per_context_ms: f64,
}

impl Default for EngineTiming {
    fn default() -> Self {
        Self {
            first_token_ms: 60.0,
            prompt_token_ms: 0.2,
            token_ms: 20.0,
            token_per_request_ms: 1.0,
            token_per_context_ms: 0.5,
        }
    }
}

/// A request with what was generated so far; it can move between runners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExportedSequence {
    /// The request.
    pub request: EngineRequest,
    /// Tokens generated so far.
    pub tokens_done: u32,
}

/// How far an execution is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SequenceProgress {
    /// Tokens generated.
    pub tokens_done: u32,
    /// Whether the last token is among them.
    pub finished: bool,
}
