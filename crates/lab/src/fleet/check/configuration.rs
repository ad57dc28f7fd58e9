//! Configuration: a revision never goes down, and is in force in time.

use super::Violation;
use crate::fleet::history::{History, RouterSample};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time until an accepted change is in force at every router that no
/// fault hits.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(16);

/// The revision of a router never goes down while it runs, and a router that
/// started again takes callers only with every revision that was accepted
/// before its start.
pub fn never_lower(history: &History) -> Vec<Violation> {
    let mut last: BTreeMap<&str, &RouterSample> = BTreeMap::new();
    let mut violations = Vec::new();
    for sample in &history.routers {
        let before = last.insert(&sample.router, sample);
        let Some(before) = before else { continue };
        if before.incarnation == sample.incarnation {
            if sample.revision < before.revision {
                violations.push(lower(sample, before.revision, "it had before"));
            }
            continue;
        }
        // The new process's first samples: what was accepted before the old
        // one's last look must be there once it takes callers.
        let required = accepted_by(history, before.at);
        let first = history.routers.iter().find(|one| {
            one.router == sample.router && one.incarnation == sample.incarnation && one.synced
        });
        if let Some(first) = first.filter(|one| one.revision < required) {
            violations.push(lower(first, required, "it was accepted before its start"));
        }
    }
    violations
}

fn lower(sample: &RouterSample, expected: u64, why: &str) -> Violation {
    let message = format!(
        "{} was at revision {} at {} ms, below {expected}: {why}",
        sample.router,
        sample.revision,
        sample.at.as_millis()
    );
    Violation::new("revision", message)
}

fn accepted_by(history: &History, at: Duration) -> u64 {
    let changes = history.changes.iter().filter(|change| change.at <= at);
    changes
        .map(|change| change.revision)
        .max()
        .unwrap_or_default()
}

/// An accepted change is in force at every router in time: at each look, a
/// router that no fault hit lately has all that was accepted long enough ago;
/// and when the run has settled, every router has everything.
pub fn in_force(history: &History) -> Vec<Violation> {
    let mut violations: Vec<Violation> = history
        .not_in_force
        .iter()
        .map(|router| {
            let message = format!("{router} lagged when the run had settled");
            Violation::new("in-force", message)
        })
        .collect();
    for sample in &history.routers {
        let Some(long_ago) = sample.at.checked_sub(IN_FORCE_LIMIT) else {
            continue;
        };
        let hit = |fault: &super::super::history::FaultSpan| {
            fault.hits(&sample.router) && fault.overlaps(long_ago, sample.at)
        };
        let required = accepted_by(history, long_ago);
        if sample.revision < required && !history.faults.iter().any(hit) {
            let why = "it was accepted 16 s before";
            let violation = lower(sample, required, why);
            violations.push(Violation::new("in-force", violation.message));
        }
    }
    violations.extend(
        history
            .operator_faults
            .iter()
            .map(|fault| Violation::new("in-force", fault.clone())),
    );
    violations
}
