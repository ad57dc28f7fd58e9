//! A leader applies each recorded notice of a leaving instance once.

use courseshunt_coordinator::leaving_notices::AppliedNotices;
use courseshunt_state::LeavingInstance;
use courseshunt_types::RunnerId;

fn notice(name: &str, ended: bool) -> LeavingInstance {
    LeavingInstance {
        instance: RunnerId::from(name),
        ended,
    }
}

/// With each new notice a leader applied all earlier ones again: one without a start time ended the
/// instance that had started again under the name since.
#[test]
fn a_notice_is_not_applied_again_with_the_next_one() {
    let mut applied = AppliedNotices::default();
    let mut recorded = vec![notice("i-1", true)];
    assert_eq!(applied.take_new(&recorded), recorded);
    recorded.push(notice("i-2", false));
    assert_eq!(applied.take_new(&recorded), [notice("i-2", false)]);
    assert!(applied.take_new(&recorded).is_empty());
}

#[test]
fn the_end_of_an_instance_that_drained_before_is_new() {
    let mut applied = AppliedNotices::default();
    applied.take_new(&[notice("i-1", false)]);
    let ended = [notice("i-1", true)];
    assert_eq!(applied.take_new(&ended), ended);
}
