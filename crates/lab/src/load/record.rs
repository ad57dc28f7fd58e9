//! One request of a load and what became of it.

use courseshunt_types::{Outcome, PriorityClass};
use std::time::Duration;

/// How a request is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestForm {
    /// One whole answer.
    Whole,
    /// A stream of tokens.
    Stream,
    /// One whole answer; may run at most once.
    OnceOnly,
    /// A deferred job.
    Job,
}

impl RequestForm {
    /// The name in reports.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Stream => "stream",
            Self::OnceOnly => "once-only",
            Self::Job => "job",
        }
    }
}

/// A request before it is sent.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct PlannedRequest {
    /// Position in the load, from 0.
    pub number: usize,
    /// Planned time, from the start.
    pub at: Duration,
    /// Model, as callers name it.
    pub model: String,
    /// Class.
    pub class: PriorityClass,
    /// How it is asked.
    pub form: RequestForm,
    /// Idempotency key, sent when the request may run once only.
    pub key: String,
    /// The prompt; no two requests of a load have the same.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Time from the planned time to the deadline.
    pub deadline: Duration,
}

/// What became of a request, as its caller saw it.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum RequestResult {
    /// The whole answer to this request came.
    Answered,
    /// A refusal that says whether the request ran.
    Refused {
        /// HTTP status.
        status: u16,
        /// Machine-readable code.
        code: String,
        /// What it says.
        outcome: Outcome,
    },
    /// A stream ended with an explicit error event.
    StreamError {
        /// Its code.
        code: String,
    },
    /// No connection could be made; nothing was sent.
    NotConnected {
        /// Why.
        problem: String,
    },
    /// The connection broke before the answer was whole.
    Broken {
        /// Why.
        problem: String,
    },
    /// Nothing came until well after the deadline.
    Silent,
    /// An answer that is not whole, not this request's own, or without an
    /// outcome.
    Wrong {
        /// What is wrong.
        problem: String,
    },
    /// The tool had too many requests under way.
    NotSent,
}

/// A request and its end.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct RequestRecord {
    /// The request.
    pub request: PlannedRequest,
    /// Router that gave the last result.
    pub router: String,
    /// Identity that the router drew, if it told it.
    pub request_id: Option<String>,
    /// Results of earlier sendings of the same request, which were sent again.
    pub earlier: Vec<RequestResult>,
    /// Time from the planned time to the first byte of the answer.
    pub first_byte: Option<Duration>,
    /// Time of the end, from the start of the load.
    pub ended_at: Duration,
    /// The last result.
    pub result: RequestResult,
}

impl RequestRecord {
    /// A request that was never sent.
    #[must_use]
    pub fn not_sent(request: PlannedRequest) -> Self {
        let ended_at = request.at;
        Self {
            request,
            router: String::new(),
            request_id: None,
            earlier: Vec::new(),
            first_byte: None,
            ended_at,
            result: RequestResult::NotSent,
        }
    }

    /// Time from the planned time to the end.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.ended_at.saturating_sub(self.request.at)
    }

    /// Whether the whole answer came.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.result == RequestResult::Answered
    }
}

impl RequestResult {
    /// The name of the kind in reports.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused { .. } => "refused",
            Self::StreamError { .. } => "stream-error",
            Self::NotConnected { .. } => "not-connected",
            Self::Broken { .. } => "broken",
            Self::Silent => "silent",
            Self::Wrong { .. } => "wrong",
            Self::NotSent => "not-sent",
        }
    }

    /// Whether the same request is worth sending again: its caller has no
    /// answer, and it did not run, or may run twice, or its key keeps it from
    /// running twice.
    #[must_use]
    pub fn may_be_sent_again(&self, form: RequestForm) -> bool {
        match self {
            Self::NotConnected { .. } | Self::Broken { .. } => true,
            Self::Refused {
                outcome: Outcome::Unknown,
                ..
            } => form == RequestForm::OnceOnly,
            Self::Refused { code, .. } => {
                matches!(code.as_str(), "shutting_down" | "ledger_unavailable")
            }
            _ => false,
        }
    }
}
