//! How long tries to connect take.

use courseshunt_wire::DialLimit;
use std::time::Duration;

#[test]
fn tries_grow_to_the_limit_and_are_short_again_after_it() {
    let mut limit = DialLimit::growing_to(Duration::from_millis(500));
    let mut seen = Vec::new();
    for _ in 0..5 {
        seen.push(limit.present().as_millis());
        limit.timed_out();
    }
    assert_eq!(seen, [120, 240, 480, 500, 120]);
    limit.timed_out();
    limit.succeeded();
    assert_eq!(limit.present(), Duration::from_millis(120));
}
