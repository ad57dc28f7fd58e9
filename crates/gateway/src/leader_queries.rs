//! Queries to the leader whose answers requests wait for.
//!
//! Invariant: each query ends exactly once: by its answer, also if no request waits for it any
//! more, or by the loss of the leader.

use std::collections::HashMap;
use tokio::sync::oneshot;

/// A query that was sent or is about to be sent.
struct PendingQuery<Q, V> {
    query: Q,
    /// `None` once no request waits for the answer.
    answer: Option<oneshot::Sender<V>>,
}

/// An answered query.
pub(crate) struct Answered<Q> {
    pub(crate) query: Q,
    /// Whether a request still waited for the answer.
    pub(crate) was_awaited: bool,
}

/// Queries of type `Q` with verdicts of type `V`, identified by their number.
pub(crate) struct LeaderQueries<Q, V> {
    pending: HashMap<u64, PendingQuery<Q, V>>,
    unsent: Vec<Q>,
    last_number: u64,
}

impl<Q, V> Default for LeaderQueries<Q, V> {
    fn default() -> Self {
        Self {
            pending: HashMap::new(),
            unsent: Vec::new(),
            last_number: 0,
        }
    }
}

impl<Q: Clone, V> LeaderQueries<Q, V> {
    /// Submits the query that `query` builds from its number.
    pub(crate) fn submit(&mut self, query: impl FnOnce(u64) -> Q) -> (u64, oneshot::Receiver<V>) {
        self.last_number += 1;
        let number = self.last_number;
        let query = query(number);
        let (answer, receiver) = oneshot::channel();
        self.unsent.push(query.clone());
        let answer = Some(answer);
        self.pending.insert(number, PendingQuery { query, answer });
        (number, receiver)
    }

    /// Takes the queries to send.
    pub(crate) fn take_unsent(&mut self) -> Vec<Q> {
        std::mem::take(&mut self.unsent)
    }

    /// Delivers an answer; `None` if the query has already ended.
    pub(crate) fn complete(&mut self, number: u64, verdict: V) -> Option<Answered<Q>> {
        let PendingQuery { query, answer } = self.pending.remove(&number)?;
        let was_awaited = answer.is_some_and(|answer| answer.send(verdict).is_ok());
        Some(Answered { query, was_awaited })
    }

    /// Records that no request waits for this answer any more; it is still accepted when it
    /// arrives.
    pub(crate) fn abandon(&mut self, number: u64) {
        if let Some(pending) = self.pending.get_mut(&number) {
            pending.answer = None;
        }
    }

    /// Records that the leader is lost: no query will be answered.
    pub(crate) fn clear(&mut self) {
        self.unsent.clear();
        self.pending.clear();
    }
}
