//! The streams that this router relayed, and its queries to the leader on the origins of streams.
//!
//! Invariant: the leader gets a query only after the origins that this router has to report.

use crate::leader_queries::LeaderQueries;
use courseshunt_services::stream_origins::log::{LoggedOrigin, OriginLog};
use courseshunt_services::{OriginAnswer, OriginQuery, OriginVerdict, ReportMessage, StreamId};
use courseshunt_types::{RunnerId, Timestamp};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, oneshot};

/// Maximum number of streams in one report.
const MAX_REPORTED_STREAMS: usize = 1_024;

#[derive(Default)]
struct State {
    /// Whether a leader is connected.
    connected: bool,
    log: OriginLog,
    queries: LeaderQueries<OriginQuery, OriginVerdict>,
}

/// Origins of streams at this router. See the module documentation.
#[derive(Default)]
pub(crate) struct OriginTracker {
    state: Mutex<State>,
    /// Notified when there is a query to send.
    pub(crate) report_due: Notify,
}

impl OriginTracker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the feed of a leader starts, which has no reports of this router.
    pub(crate) fn start_leader_feed(&self) {
        let mut state = self.lock();
        state.connected = true;
        state.log.mark_all_unreported();
    }

    /// Records that the leader is lost: requests that wait for its answer get none.
    pub(crate) fn leader_lost(&self) {
        let mut state = self.lock();
        state.connected = false;
        state.queries.clear();
    }

    /// Records that an instance begins the stream that this request brings.
    pub(crate) fn record(&self, request: &str, service: &str, instance: &RunnerId, now: Timestamp) {
        let stream = StreamId::of_request(request);
        self.lock().log.record(stream, service, instance, now);
    }

    /// The origin of a stream that this router relayed.
    pub(crate) fn lookup(&self, stream: StreamId, now: Timestamp) -> Option<LoggedOrigin> {
        self.lock().log.lookup(stream, now).cloned()
    }

    /// The next report to send: the streams of services for which `is_ambiguous` holds, and in the
    /// last report the queries. `None` if there is nothing to send.
    pub(crate) fn take_report(
        &self,
        is_ambiguous: impl Fn(&str) -> bool,
        now: Timestamp,
    ) -> Option<ReportMessage> {
        let mut state = self.lock();
        let began = state
            .log
            .take_unreported(MAX_REPORTED_STREAMS, is_ambiguous, now);
        let queries = match began.len() < MAX_REPORTED_STREAMS {
            true => state.queries.take_unsent(),
            false => Vec::new(),
        };
        let has_news = !began.is_empty() || !queries.is_empty();
        has_news.then_some(ReportMessage::StreamOrigins { began, queries })
    }

    /// Applies the leader's answers.
    pub(crate) fn apply_answers(&self, answers: Vec<OriginAnswer>) {
        let mut state = self.lock();
        for OriginAnswer { number, verdict } in answers {
            // An answer that arrives after the request stopped waiting is unused.
            let _ = state.queries.complete(number, verdict);
        }
    }

    /// Asks the leader for the origin of a stream; `None` without a leader.
    pub(crate) fn submit(&self, stream: StreamId) -> Option<oneshot::Receiver<OriginVerdict>> {
        let mut state = self.lock();
        if !state.connected {
            return None;
        }
        let (_, answer) = state
            .queries
            .submit(|number| OriginQuery { number, stream });
        drop(state);
        self.report_due.notify_one();
        Some(answer)
    }
}
