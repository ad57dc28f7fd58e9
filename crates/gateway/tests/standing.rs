//! A router that is behind says so instead of acting by an old configuration.

use courseshunt_gateway::standing::{LONGEST_BEHIND, LONGEST_SILENCE, Standing, judge, judge_key};
use std::time::Duration;

/// The leader was heard just now.
const HEARD: Duration = Duration::ZERO;

#[test]
fn the_newest_configuration_decides() {
    assert_eq!(judge(Some("route"), None, HEARD), Standing::Serve("route"));
    assert_eq!(judge::<&str>(None, None, HEARD), Standing::Deny);
}

#[test]
fn a_route_that_may_have_been_added_is_not_denied() {
    let just_now = Some(Duration::ZERO);
    assert_eq!(judge::<&str>(None, just_now, HEARD), Standing::Behind);
}

#[test]
fn an_old_route_serves_for_a_bounded_time() {
    let standing = judge(Some("route"), Some(LONGEST_BEHIND), HEARD);
    assert_eq!(standing, Standing::Serve("route"));
    let later = LONGEST_BEHIND + Duration::from_millis(1);
    assert_eq!(judge(Some("route"), Some(later), HEARD), Standing::Behind);
}

/// A router that lost the leader can't know whether a route was added meanwhile; what
/// it knows it goes on serving.
#[test]
fn without_a_leader_nothing_is_denied() {
    let long_ago = LONGEST_SILENCE + Duration::from_millis(1);
    assert_eq!(judge::<&str>(None, None, LONGEST_SILENCE), Standing::Deny);
    assert_eq!(judge::<&str>(None, None, long_ago), Standing::Behind);
    assert_eq!(
        judge(Some("route"), None, long_ago),
        Standing::Serve("route")
    );
}

/// Where keys are trusted for a time only, a router that is alone for longer serves
/// none and denies none.
#[test]
fn keys_are_trusted_as_long_as_the_settings_say() {
    let trust = Some(Duration::from_secs(5));
    let longer = Duration::from_millis(5_001);
    for silent_for in [HEARD, Duration::from_secs(5)] {
        let standing = judge_key(Some("tenant"), None, silent_for, trust);
        assert_eq!(standing, Standing::Serve("tenant"));
    }
    assert_eq!(
        judge_key(Some("tenant"), None, longer, trust),
        Standing::Behind
    );
    assert_eq!(
        judge_key(Some("tenant"), None, longer, None),
        Standing::Serve("tenant")
    );
    assert_eq!(judge_key::<&str>(None, None, HEARD, trust), Standing::Deny);
}
