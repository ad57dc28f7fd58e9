//! Growth of the time limit of connection attempts.

use courseshunt_wire::DialLimit;
use std::time::Duration;

#[test]
fn limit_doubles_to_the_maximum_and_starts_over() {
    let mut limit = DialLimit::growing_to(Duration::from_millis(500));
    let mut limits = Vec::new();
    for _ in 0..5 {
        limits.push(limit.present().as_millis());
        limit.timed_out();
    }
    assert_eq!(limits, [120, 240, 480, 500, 120]);
    limit.timed_out();
    limit.succeeded();
    assert_eq!(limit.present(), Duration::from_millis(120));
}
