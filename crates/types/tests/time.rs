//! Arithmetic of timestamps, also before the start of the process and at the limits of the range.

use courseshunt_types::{Millis, Timestamp};

const START: Timestamp = Timestamp(0);

#[test]
fn timestamps_before_the_start_stay_distinct_and_ordered() {
    let now = START + Millis(300);
    let (early, late) = (now - Millis(5_000), now - Millis(1_000));
    assert!(early < late && late < START);
    assert_eq!(late.since(early), Millis(4_000));
    assert_eq!(now.since(early), Millis(5_000));
    assert_eq!(
        early.since(now),
        Millis(0),
        "`early.since(now)` is zero, since `now` is later"
    );
}

#[test]
fn windows_continue_before_the_start() {
    let length = Millis(100);
    for (at, index, start) in [(0, 0, 0), (99, 0, 0), (100, 1, 100), (-1, -1, -100)] {
        assert_eq!(Timestamp(at).window_index(length), index, "{at}");
        assert_eq!(Timestamp(at).window_start(length), Timestamp(start), "{at}");
    }
    assert_eq!(Timestamp(7).window_index(Millis(0)), 7);
}

#[test]
fn arithmetic_saturates_at_the_limits() {
    assert_eq!(Timestamp::NEVER + Millis(1), Timestamp::NEVER);
    assert_eq!(Timestamp::at(u64::MAX), Timestamp::NEVER);
    assert_eq!(
        Timestamp::NEVER.since(START - Millis(1)),
        Millis(i64::MAX as u64)
    );
}
