//! Permits for retries: taken from the retry budget when an attempt has failed, and counted there
//! when the retry is sent.
//!
//! Invariant: a permit is reserved in the budget until its retry is sent or it is dropped.

use crate::Shared;
use crate::handle::AdmittedRequest;
use crate::records::RequestRecord;
use courseshunt_records::emit;
use std::sync::Arc;

/// A retry that the retry budget allows and that has not been sent yet.
pub(crate) struct RetryPermit {
    shared: Arc<Shared>,
    service: String,
    is_sent: bool,
}

impl RetryPermit {
    /// Takes a permit after attempt number `attempt` has failed; `None` if the budget is used up.
    pub(crate) fn take(
        admitted: &AdmittedRequest,
        shared: &Arc<Shared>,
        attempt: u32,
    ) -> Option<Self> {
        let service = &admitted.service.name;
        let decision = shared.view.decide_retry(service, shared.clock.now());
        emit(&RequestRecord::Retry {
            id: &admitted.metadata.id,
            service,
            attempt,
            outcome: match decision.is_allowed {
                true => "allowed",
                false => "denied",
            },
            slack_divisor: decision.slack_divisor,
            contact_ms: decision.contact.map(|contact| contact.0),
            requests: decision.requests,
            retries: decision.retries,
            share: decision.share,
        });
        decision.is_allowed.then(|| Self {
            shared: shared.clone(),
            service: service.clone(),
            is_sent: false,
        })
    }

    /// Counts the retry as sent now.
    pub(crate) fn use_now(mut self) {
        self.is_sent = true;
        let now = self.shared.clock.now();
        self.shared.view.record_retry(&self.service, now);
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_sent {
            self.shared.view.release_retry(&self.service);
        }
    }
}
