//! A router that is behind says so instead of acting by an old configuration.

use courseshunt_gateway::staleness::{
    LookupDecision, MAX_LEADER_SILENCE, MAX_STALE_TIME, evaluate, evaluate_key,
};
use std::time::Duration;

/// The leader was heard just now.
const HEARD: Duration = Duration::ZERO;

#[test]
fn the_newest_configuration_decides() {
    assert_eq!(
        evaluate(Some("route"), None, HEARD),
        LookupDecision::Serve("route")
    );
    assert_eq!(evaluate::<&str>(None, None, HEARD), LookupDecision::Deny);
}

#[test]
fn a_route_that_may_have_been_added_is_not_denied() {
    let just_now = Some(Duration::ZERO);
    assert_eq!(
        evaluate::<&str>(None, just_now, HEARD),
        LookupDecision::Stale
    );
}

#[test]
fn an_old_route_serves_for_a_bounded_time() {
    let standing = evaluate(Some("route"), Some(MAX_STALE_TIME), HEARD);
    assert_eq!(standing, LookupDecision::Serve("route"));
    let later = MAX_STALE_TIME + Duration::from_millis(1);
    assert_eq!(
        evaluate(Some("route"), Some(later), HEARD),
        LookupDecision::Stale
    );
}

/// A router that lost the leader can't know whether a route was added meanwhile; what
/// it knows it goes on serving.
#[test]
fn without_a_leader_nothing_is_denied() {
    let long_ago = MAX_LEADER_SILENCE + Duration::from_millis(1);
    assert_eq!(
        evaluate::<&str>(None, None, MAX_LEADER_SILENCE),
        LookupDecision::Deny
    );
    assert_eq!(
        evaluate::<&str>(None, None, long_ago),
        LookupDecision::Stale
    );
    assert_eq!(
        evaluate(Some("route"), None, long_ago),
        LookupDecision::Serve("route")
    );
}

/// Where keys are trusted for a time only, a router that is alone for longer serves
/// none and denies none.
#[test]
fn keys_are_trusted_as_long_as_the_settings_say() {
    let trust = Some(Duration::from_secs(5));
    let longer = Duration::from_millis(5_001);
    for silent_for in [HEARD, Duration::from_secs(5)] {
        let standing = evaluate_key(Some("tenant"), None, silent_for, trust);
        assert_eq!(standing, LookupDecision::Serve("tenant"));
    }
    assert_eq!(
        evaluate_key(Some("tenant"), None, longer, trust),
        LookupDecision::Stale
    );
    assert_eq!(
        evaluate_key(Some("tenant"), None, longer, None),
        LookupDecision::Serve("tenant")
    );
    assert_eq!(
        evaluate_key::<&str>(None, None, HEARD, trust),
        LookupDecision::Deny
    );
}
