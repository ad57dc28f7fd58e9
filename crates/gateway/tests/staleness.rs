//! A stale router reports this instead of rejecting requests by an old configuration.

use courseshunt_gateway::staleness::{
    LookupDecision, MAX_LEADER_SILENCE, MAX_STALE_TIME, evaluate, evaluate_key,
};
use std::time::Duration;

/// A message of the leader has just arrived.
const NO_SILENCE: Duration = Duration::ZERO;

#[test]
fn the_newest_configuration_decides() {
    assert_eq!(
        evaluate(Some("route"), None, NO_SILENCE),
        LookupDecision::Serve("route")
    );
    assert_eq!(
        evaluate::<&str>(None, None, NO_SILENCE),
        LookupDecision::Deny
    );
}

#[test]
fn a_route_that_may_have_been_added_is_not_denied() {
    let just_now = Some(Duration::ZERO);
    assert_eq!(
        evaluate::<&str>(None, just_now, NO_SILENCE),
        LookupDecision::Stale
    );
}

#[test]
fn a_stale_route_serves_for_a_bounded_time() {
    let decision = evaluate(Some("route"), Some(MAX_STALE_TIME), NO_SILENCE);
    assert_eq!(decision, LookupDecision::Serve("route"));
    let too_old = MAX_STALE_TIME + Duration::from_millis(1);
    assert_eq!(
        evaluate(Some("route"), Some(too_old), NO_SILENCE),
        LookupDecision::Stale
    );
}

/// A router without a leader can't exclude that a route was added; it continues to serve the
/// routes that it has.
#[test]
fn without_a_leader_nothing_is_denied() {
    let too_long = MAX_LEADER_SILENCE + Duration::from_millis(1);
    assert_eq!(
        evaluate::<&str>(None, None, MAX_LEADER_SILENCE),
        LookupDecision::Deny
    );
    assert_eq!(
        evaluate::<&str>(None, None, too_long),
        LookupDecision::Stale
    );
    assert_eq!(
        evaluate(Some("route"), None, too_long),
        LookupDecision::Serve("route")
    );
}

/// If keys are trusted for a limited time only, a router that is without a leader for longer
/// neither serves nor rejects them.
#[test]
fn keys_are_trusted_for_the_configured_time() {
    let key_trust = Some(Duration::from_secs(5));
    let too_long = Duration::from_millis(5_001);
    for leader_silence in [NO_SILENCE, Duration::from_secs(5)] {
        let decision = evaluate_key(Some("tenant"), None, leader_silence, key_trust);
        assert_eq!(decision, LookupDecision::Serve("tenant"));
    }
    assert_eq!(
        evaluate_key(Some("tenant"), None, too_long, key_trust),
        LookupDecision::Stale
    );
    assert_eq!(
        evaluate_key(Some("tenant"), None, too_long, None),
        LookupDecision::Serve("tenant")
    );
    assert_eq!(
        evaluate_key::<&str>(None, None, NO_SILENCE, key_trust),
        LookupDecision::Deny
    );
}
