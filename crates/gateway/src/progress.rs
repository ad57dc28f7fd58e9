//! How far a request has got on its way to a response.
//!
//! Invariant: a request of which this states that it has not run has certainly not run, and will not
//! unless its processing goes on.

use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum RequestStage {
    /// The first configuration, the origin of a resumed stream, or the tenant's quota.
    Admission,
    /// The rest of the request's body.
    RequestBody,
    /// The choice of an instance.
    Selection,
    /// A send permit for a rate-limited instance.
    SendPermit,
    /// A connection to the instance or to a forwarder.
    Connection,
    /// The response; the request may have run from now on.
    Response,
}

impl RequestStage {
    const ALL: [Self; 6] = [
        Self::Admission,
        Self::RequestBody,
        Self::Selection,
        Self::SendPermit,
        Self::Connection,
        Self::Response,
    ];

    /// Value in records.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Admission => "admission",
            Self::RequestBody => "request_body",
            Self::Selection => "selection",
            Self::SendPermit => "send_permit",
            Self::Connection => "connection",
            Self::Response => "response",
        }
    }
}

/// Progress of one request, shared between its processing and whoever ends it early.
#[derive(Debug)]
pub(crate) struct RequestProgress {
    stage: AtomicU8,
    /// Whether an attempt that is over may have run.
    has_ended_attempt: AtomicBool,
}

impl Default for RequestProgress {
    fn default() -> Self {
        Self {
            stage: AtomicU8::new(RequestStage::Admission as u8),
            has_ended_attempt: AtomicBool::new(false),
        }
    }
}

impl RequestProgress {
    /// Records what the request waits for from now on.
    pub(crate) fn enter(&self, stage: RequestStage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
    }

    /// Records that an attempt is over that may have run.
    pub(crate) fn record_ended_attempt(&self) {
        self.has_ended_attempt.store(true, Ordering::Relaxed);
    }

    /// What the request waits for.
    pub(crate) fn stage(&self) -> RequestStage {
        let stage = usize::from(self.stage.load(Ordering::Relaxed));
        RequestStage::ALL[stage]
    }

    /// Whether the request may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.has_ended_attempt.load(Ordering::Relaxed) || self.stage() == RequestStage::Response
    }
}
