//! Operators: changes of configuration at a steady pace while a run goes on,
//! races under equal versions, and changes sent again after a lost answer.

use super::history::AcceptedChange;
use courseshunt_operator::{AdminClient, AdminError};
use courseshunt_state::ChangeRequest;
use courseshunt_types::{DeploymentDocument, Millis, Revision, Version};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time between two changes.
const INTERVAL: Duration = Duration::from_millis(1500);
/// Longest time that an operator tries one change.
const TRY_LIMIT: Duration = Duration::from_secs(20);
const TRY_PAUSE: Duration = Duration::from_millis(200);

/// What the operators saw.
#[derive(Debug, Default)]
pub struct OperatorLog {
    /// Accepted changes.
    pub accepted: Vec<AcceptedChange>,
    /// Answers that break a promise.
    pub faults: Vec<String>,
}

/// The operators of a fleet.
#[derive(Debug, Clone)]
pub struct Operators {
    clients: Vec<AdminClient>,
    documents: Arc<Mutex<Vec<DeploymentDocument>>>,
    log: Arc<Mutex<OperatorLog>>,
    start: Instant,
}

impl Operators {
    /// Operators at these controllers, who change these documents in turn.
    #[must_use]
    pub fn new(
        clients: Vec<AdminClient>,
        documents: Vec<DeploymentDocument>,
        start: Instant,
    ) -> Self {
        Self {
            clients,
            documents: Arc::new(Mutex::new(documents)),
            log: Arc::default(),
            start,
        }
    }

    /// The same operators; times count from `start`, and what was accepted
    /// before counts as accepted then.
    #[must_use]
    pub fn starting_at(mut self, start: Instant) -> Self {
        self.start = start;
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        for change in &mut log.accepted {
            change.at = Duration::ZERO;
        }
        drop(log);
        self
    }

    /// What they saw so far.
    #[must_use]
    pub fn take_log(&self) -> OperatorLog {
        std::mem::take(&mut *self.log.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Highest revision that was accepted.
    #[must_use]
    pub fn highest(&self) -> Revision {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let revisions = log.accepted.iter().map(|change| change.revision);
        Revision(revisions.max().unwrap_or_default())
    }

    /// Changes one document after the other until cancelled.
    pub async fn run(self) {
        for round in 1_usize.. {
            tokio::time::sleep(INTERVAL).await;
            let document = self.next_document(round);
            let change = change_of(format!("churn-{round}"), document);
            self.apply(&change, round).await;
        }
    }

    /// Sends a change until one controller accepts or refuses it.
    pub async fn apply(&self, change: &ChangeRequest, first: usize) -> Option<Revision> {
        let limit = Instant::now() + TRY_LIMIT;
        let mut turn = first;
        while Instant::now() < limit {
            let client = &self.clients[turn % self.clients.len()];
            turn += 1;
            match client.apply(change).await {
                Ok(revision) => {
                    self.accepted(revision);
                    return Some(revision);
                }
                Err(AdminError::Refused { status, .. }) if status.is_client_error() => return None,
                Err(_) => tokio::time::sleep(TRY_PAUSE).await,
            }
        }
        None
    }

    /// Two operators change the same document under equal version numbers: one
    /// wins.
    pub async fn race(&self, round: usize) {
        let mut one = self.next_document(round);
        let mut other = one.clone();
        one.load_estimate_ms = Millis(one.load_estimate_ms.0 + 1);
        other.load_estimate_ms = Millis(other.load_estimate_ms.0 + 2);
        let name = one.name.clone();
        let one = change_of(format!("race-{round}-a"), one);
        let other = change_of(format!("race-{round}-b"), other);
        let (first, second) = tokio::join!(self.apply(&one, 0), self.apply(&other, 1));
        if first.is_some() && second.is_some() {
            self.fault(format!(
                "two changes of {name} under the same version were both accepted, as {first:?} and {second:?}"
            ));
        }
    }

    /// An operator loses the answer, another change comes in between, and the
    /// first one is sent again: it gets its first answer.
    pub async fn resend(&self, round: usize) {
        let document = self.next_document(round);
        let change = change_of(format!("resent-{round}"), document);
        let Some(first) = self.apply(&change, round).await else {
            return;
        };
        let newer = self.next_document(round);
        let between = change_of(format!("between-{round}"), newer);
        self.apply(&between, round).await;
        let again = self.apply(&change, round + 1).await;
        if again.is_some_and(|again| again != first) {
            self.fault(format!(
                "a change accepted as {first} was answered {again:?} when sent again"
            ));
        }
    }

    /// The next version of a document.
    fn next_document(&self, round: usize) -> DeploymentDocument {
        let mut documents = self
            .documents
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let position = round % documents.len();
        let document = &mut documents[position];
        document.version = Version(document.version.0 + 1);
        document.load_estimate_ms = Millis(2000 + document.version.0);
        document.clone()
    }

    fn accepted(&self, revision: Revision) {
        let at = self.start.elapsed();
        let revision = revision.0;
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.accepted.push(AcceptedChange { at, revision });
    }

    fn fault(&self, message: String) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.faults.push(message);
    }
}

fn change_of(change_id: String, document: DeploymentDocument) -> ChangeRequest {
    ChangeRequest {
        change_id: change_id.as_str().into(),
        deployments: vec![document],
        ..ChangeRequest::default()
    }
}
