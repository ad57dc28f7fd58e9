//! Latest decisions on each deployment, for the `explain` page.

use courseshunt_placement::{Decision, DecisionKind};
use courseshunt_types::{DeploymentName, UnixMillis};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Decisions kept for each deployment.
const MAX_ENTRIES: usize = 8;

/// Bounded list of decisions for each deployment.
#[derive(Debug, Default)]
pub struct DecisionJournal {
    entries: Mutex<BTreeMap<DeploymentName, VecDeque<JournalEntry>>>,
}

/// A decision and its outcome.
#[derive(Debug, Clone, serde::Serialize)]
pub struct JournalEntry {
    /// Time of the decision.
    pub at: UnixMillis,
    /// The decision and its reason.
    pub decision: Decision,
    /// Outcome, for operators.
    pub outcome: String,
}

impl DecisionJournal {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<DeploymentName, VecDeque<JournalEntry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a decision on `deployment` and drops the oldest one beyond the limit.
    pub fn note(&self, deployment: &DeploymentName, decision: Decision, outcome: String) {
        let mut entries = self.lock();
        let kept = entries.entry(deployment.clone()).or_default();
        if kept.len() == MAX_ENTRIES {
            kept.pop_front();
        }
        kept.push_back(JournalEntry {
            at: UnixMillis::now(),
            decision,
            outcome,
        });
    }

    /// Latest decisions on a deployment, the newest first.
    #[must_use]
    pub fn of(&self, deployment: &DeploymentName) -> Vec<JournalEntry> {
        let entries = self.lock();
        let kept = entries.get(deployment);
        kept.map_or_else(Vec::new, |kept| kept.iter().rev().cloned().collect())
    }
}

/// The deployment that a decision concerns; `None` for a staging, which concerns a model.
#[must_use]
pub fn deployment_of(kind: &DecisionKind) -> Option<&DeploymentName> {
    match kind {
        DecisionKind::Load { deployment, .. } | DecisionKind::Unload { deployment, .. } => {
            Some(deployment)
        }
        DecisionKind::Stage { .. } => None,
    }
}
