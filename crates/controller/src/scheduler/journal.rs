//! The last decisions on each deployment, for `explain`.

use courseshunt_placement::{Decision, DecisionKind};
use courseshunt_types::{DeploymentName, UnixMillis};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Decisions kept for each deployment.
const KEPT: usize = 8;

/// See the module.
#[derive(Debug, Default)]
pub struct DecisionJournal {
    entries: Mutex<BTreeMap<DeploymentName, VecDeque<JournalEntry>>>,
}

/// One decision.
#[derive(Debug, Clone, serde::Serialize)]
pub struct JournalEntry {
    /// When.
    pub at: UnixMillis,
    /// What, and why.
    pub decision: Decision,
    /// What became of it.
    pub outcome: String,
}

impl DecisionJournal {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<DeploymentName, VecDeque<JournalEntry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a decision on `deployment`.
    pub fn note(&self, deployment: &DeploymentName, decision: Decision, outcome: String) {
        let mut entries = self.lock();
        let kept = entries.entry(deployment.clone()).or_default();
        if kept.len() == KEPT {
            kept.pop_front();
        }
        kept.push_back(JournalEntry {
            at: UnixMillis::now(),
            decision,
            outcome,
        });
    }

    /// The last decisions on a deployment, the newest first.
    #[must_use]
    pub fn of(&self, deployment: &DeploymentName) -> Vec<JournalEntry> {
        let entries = self.lock();
        let kept = entries.get(deployment);
        kept.map_or_else(Vec::new, |kept| kept.iter().rev().cloned().collect())
    }
}

/// The deployment that a decision is about; a staging is about a model.
#[must_use]
pub fn deployment_of(kind: &DecisionKind) -> Option<&DeploymentName> {
    match kind {
        DecisionKind::Load { deployment, .. } | DecisionKind::Unload { deployment, .. } => {
            Some(deployment)
        }
        DecisionKind::Stage { .. } => None,
    }
}
