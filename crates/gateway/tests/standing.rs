//! A router that is behind says so instead of acting by an old configuration.

use courseshunt_gateway::standing::{LONGEST_BEHIND, Standing, judge};
use std::time::Duration;

#[test]
fn the_newest_configuration_decides() {
    assert_eq!(judge(Some("route"), None), Standing::Serve("route"));
    assert_eq!(judge::<&str>(None, None), Standing::Deny);
}

#[test]
fn a_route_that_may_have_been_added_is_not_denied() {
    let just_now = Some(Duration::ZERO);
    assert_eq!(judge::<&str>(None, just_now), Standing::Behind);
}

#[test]
fn an_old_route_serves_for_a_bounded_time() {
    let standing = judge(Some("route"), Some(LONGEST_BEHIND));
    assert_eq!(standing, Standing::Serve("route"));
    let later = LONGEST_BEHIND + Duration::from_millis(1);
    assert_eq!(judge(Some("route"), Some(later)), Standing::Behind);
}
