//! Checkers of the promises, from outside the product. Each reads the history
//! alone, so that made-up histories show that it can fail.

mod configuration;
mod requests;
mod runners;

use super::history::History;

pub use requests::{EFFECT_AFTER_FAULT, GRACE, repeated};
pub use runners::LEAVING_LIMIT;

/// A promise that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Violation {
    /// The checker.
    pub check: &'static str,
    /// The request, the nodes and the time.
    pub message: String,
}

impl Violation {
    fn new(check: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { check, message }
    }
}

/// One checker.
pub struct Checker {
    /// Its name.
    pub name: &'static str,
    /// The check.
    pub check: fn(&History) -> Vec<Violation>,
}

/// All checkers.
pub const CHECKERS: &[Checker] = &[
    Checker {
        name: "accounted",
        check: requests::accounted,
    },
    Checker {
        name: "once-only",
        check: requests::once_only,
    },
    Checker {
        name: "not-run",
        check: requests::not_run,
    },
    Checker {
        name: "memory",
        check: runners::memory,
    },
    Checker {
        name: "replicas",
        check: runners::replicas,
    },
    Checker {
        name: "leaving",
        check: runners::leaving,
    },
    Checker {
        name: "revision",
        check: configuration::never_lower,
    },
    Checker {
        name: "in-force",
        check: configuration::in_force,
    },
];

/// Runs every checker.
#[must_use]
pub fn check(history: &History) -> Vec<Violation> {
    let found = CHECKERS.iter().map(|checker| (checker.check)(history));
    found.flatten().collect()
}
