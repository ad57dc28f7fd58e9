//! What a router may decide by the configuration that it has. The same rules apply to routes
//! and to keys.
//!
//! Invariant: a router that has learnt of a newer configuration, or that has not received a
//! message of the leader recently, rejects neither a route nor a key as unknown; it serves by a
//! configuration that it has learnt to be stale for a bounded time only.

use std::time::Duration;

/// Maximum time for which a router serves by a configuration after it learnt of a newer one:
/// half of the shortest limit that operators set.
pub const MAX_STALE_TIME: Duration = Duration::from_secs(1);

/// Without a message of the leader for this time, a router can't exclude that a route was
/// added: the leader sends at least twice a second.
pub const MAX_LEADER_SILENCE: Duration = Duration::from_secs(1);

/// How to handle a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupDecision<R> {
    /// Serve it by this route or key.
    Serve(R),
    /// Reject it: there is no such route or key.
    Deny,
    /// This router can't decide: a newer configuration is in force, or may be.
    Stale,
}

/// Decides on a request whose key was `found` or not, like [`evaluate`] does for a route. If
/// keys are trusted only for `key_trust` without a leader, nothing is served after that time: a
/// key may have been revoked.
pub fn evaluate_key<R>(
    found: Option<R>,
    stale_for: Option<Duration>,
    leader_silence: Duration,
    key_trust: Option<Duration>,
) -> LookupDecision<R> {
    match key_trust {
        Some(limit) if leader_silence > limit => LookupDecision::Stale,
        _ => evaluate(found, stale_for, leader_silence),
    }
}

/// Decides on a request whose route was `found` or not. `stale_for` is the time since the
/// router learnt of a newer configuration (`None` if it has the newest one that it has learnt
/// of), `leader_silence` the time since the last message of a leader.
pub fn evaluate<R>(
    found: Option<R>,
    stale_for: Option<Duration>,
    leader_silence: Duration,
) -> LookupDecision<R> {
    match (found, stale_for) {
        (None, None) if leader_silence <= MAX_LEADER_SILENCE => LookupDecision::Deny,
        (None, _) => LookupDecision::Stale,
        (Some(_), Some(age)) if age > MAX_STALE_TIME => LookupDecision::Stale,
        (Some(route), _) => LookupDecision::Serve(route),
    }
}
