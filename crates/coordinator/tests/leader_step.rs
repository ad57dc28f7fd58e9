//! The leader's loop: a leadership belongs to one term.

use courseshunt_coordinator::leader_step::{LeadStep, decide};
use courseshunt_types::Term;

#[test]
fn a_leadership_ends_with_its_term() {
    let (first, later) = (Some(Term(3)), Some(Term(5)));
    let cases = [
        (None, None, LeadStep::Wait),
        (first, None, LeadStep::Begin),
        (first, first, LeadStep::GoOn),
        (None, first, LeadStep::End),
        // Lost and won again between two looks.
        (later, first, LeadStep::End),
    ];
    for (leads, held, expected) in cases {
        assert_eq!(decide(leads, held), expected, "{leads:?}, {held:?}");
    }
}
