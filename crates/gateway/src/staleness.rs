//! What a router may do by the configuration that it has.
//!
//! The same holds of routes and of keys.
//!
//! Invariant: a router that knows of a newer configuration, or did not hear the
//! leader lately, denies neither a route nor a key; it acts by one that it knows to be older for a
//! bounded time only.

use std::time::Duration;

/// A router acts by the configuration that it has for so long after it learnt of
/// a newer one: half of the shortest time that operators allow.
pub const MAX_STALE_TIME: Duration = Duration::from_secs(1);

/// Without a message of the leader for so long, a router can't tell whether a route
/// was added: the leader sends at least twice a second.
pub const MAX_LEADER_SILENCE: Duration = Duration::from_secs(1);

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupDecision<R> {
    /// Serve it by this route.
    Serve(R),
    /// There is no such route.
    Deny,
    /// This router can't tell: a newer configuration is in force, or may be.
    Stale,
}

/// Judges a request whose key is `found` to be a tenant's here, as [`evaluate`] does a
/// route. Where keys are trusted for `trust` only, a router that heard no leader for
/// longer serves none: one of them may have been taken away.
pub fn evaluate_key<R>(
    found: Option<R>,
    behind_for: Option<Duration>,
    silent_for: Duration,
    trust: Option<Duration>,
) -> LookupDecision<R> {
    match trust {
        Some(limit) if silent_for > limit => LookupDecision::Stale,
        _ => evaluate(found, behind_for, silent_for),
    }
}

/// Judges a request whose route is `found` here, at a router that knows of a newer
/// configuration for `behind_for` (`None` when it has the newest that it knows of)
/// and heard the leader `silent_for` ago.
pub fn evaluate<R>(
    found: Option<R>,
    behind_for: Option<Duration>,
    silent_for: Duration,
) -> LookupDecision<R> {
    match (found, behind_for) {
        (None, None) if silent_for <= MAX_LEADER_SILENCE => LookupDecision::Deny,
        (None, _) => LookupDecision::Stale,
        (Some(_), Some(age)) if age > MAX_STALE_TIME => LookupDecision::Stale,
        (Some(route), _) => LookupDecision::Serve(route),
    }
}
