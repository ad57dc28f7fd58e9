//! What a router may do by the configuration that it has.
//!
//! Invariant: a router that knows of a newer configuration denies no route, and
//! acts by the older one for a bounded time only.

use std::time::Duration;

/// A router acts by the configuration that it has for so long after it learnt of
/// a newer one: half of the shortest time that operators allow.
pub const LONGEST_BEHIND: Duration = Duration::from_secs(1);

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing<R> {
    /// Serve it by this route.
    Serve(R),
    /// There is no such route.
    Deny,
    /// This router can't tell: a newer configuration is in force.
    Behind,
}

/// Judges a request whose route is `found` here, at a router that knows of a newer
/// configuration for `behind_for`; `None` when it has the newest that it knows of.
pub fn judge<R>(found: Option<R>, behind_for: Option<Duration>) -> Standing<R> {
    match (found, behind_for) {
        (None, None) => Standing::Deny,
        (None, Some(_)) => Standing::Behind,
        (Some(_), Some(age)) if age > LONGEST_BEHIND => Standing::Behind,
        (Some(route), _) => Standing::Serve(route),
    }
}
