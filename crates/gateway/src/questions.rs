//! Questions to the leader that requests wait for.
//!
//! Invariant: each question has one end: its answer, that nobody waits for it any more, or
//! the loss of the leader.

use std::collections::HashMap;
use tokio::sync::oneshot;

/// A question that was sent, or waits to be sent.
struct Asked<Q, V> {
    question: Q,
    /// None once nobody waits for the answer any more.
    answer: Option<oneshot::Sender<V>>,
}

/// A question's answer.
pub(crate) struct Answered<Q> {
    pub(crate) question: Q,
    /// Whether somebody waited for it.
    pub(crate) taken: bool,
}

/// See the module. `Q` is what is asked, `V` what is decided.
pub(crate) struct Questions<Q, V> {
    asked: HashMap<u64, Asked<Q, V>>,
    unsent: Vec<Q>,
    last_number: u64,
}

impl<Q, V> Default for Questions<Q, V> {
    fn default() -> Self {
        Self {
            asked: HashMap::new(),
            unsent: Vec::new(),
            last_number: 0,
        }
    }
}

impl<Q: Clone, V> Questions<Q, V> {
    /// Asks what `question` makes out of its number.
    pub(crate) fn ask(&mut self, question: impl FnOnce(u64) -> Q) -> (u64, oneshot::Receiver<V>) {
        self.last_number += 1;
        let number = self.last_number;
        let question = question(number);
        let (answer, receiver) = oneshot::channel();
        self.unsent.push(question.clone());
        let answer = Some(answer);
        self.asked.insert(number, Asked { question, answer });
        (number, receiver)
    }

    /// Questions to send now.
    pub(crate) fn take_unsent(&mut self) -> Vec<Q> {
        std::mem::take(&mut self.unsent)
    }

    /// Takes an answer; none: the question has ended already.
    pub(crate) fn answered(&mut self, number: u64, verdict: V) -> Option<Answered<Q>> {
        let Asked { question, answer } = self.asked.remove(&number)?;
        let taken = answer.is_some_and(|answer| answer.send(verdict).is_ok());
        Some(Answered { question, taken })
    }

    /// Notes that nobody waits for this answer any more; it is still taken when it comes.
    pub(crate) fn give_up(&mut self, number: u64) {
        if let Some(asked) = self.asked.get_mut(&number) {
            asked.answer = None;
        }
    }

    /// Notes that the leader is lost: nothing is answered any more.
    pub(crate) fn clear(&mut self) {
        self.unsent.clear();
        self.asked.clear();
    }
}
