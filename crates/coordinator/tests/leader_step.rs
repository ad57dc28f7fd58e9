//! Steps of the leader's loop: a leadership ends with its term, also if the member leads again by
//! the time that the loop runs.

use courseshunt_coordinator::leader_step::{LeaderStep, decide};
use courseshunt_types::Term;

#[test]
fn a_leadership_ends_with_its_term() {
    let (first, later) = (Some(Term(3)), Some(Term(5)));
    let cases = [
        (None, None, LeaderStep::Wait),
        (first, None, LeaderStep::Begin),
        (first, first, LeaderStep::Continue),
        (None, first, LeaderStep::End),
        // Lost and regained between two iterations.
        (later, first, LeaderStep::End),
    ];
    for (leads, held, expected) in cases {
        assert_eq!(decide(leads, held), expected, "{leads:?}, {held:?}");
    }
}
