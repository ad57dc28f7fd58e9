//! Moments on a process's clock.

use courseshunt_types::{Millis, Timestamp};

const START: Timestamp = Timestamp(0);

#[test]
fn moments_before_the_start_stay_apart_and_in_order() {
    let now = START + Millis(300);
    let (early, late) = (now - Millis(5_000), now - Millis(1_000));
    assert!(early < late && late < START);
    assert_eq!(late.since(early), Millis(4_000));
    assert_eq!(now.since(early), Millis(5_000));
    assert_eq!(early.since(now), Millis(0), "it lies ahead");
}

#[test]
fn stretches_go_on_before_the_start() {
    let length = Millis(100);
    for (at, number, begin) in [(0, 0, 0), (99, 0, 0), (100, 1, 100), (-1, -1, -100)] {
        assert_eq!(Timestamp(at).window_index(length), number, "{at}");
        assert_eq!(Timestamp(at).window_start(length), Timestamp(begin), "{at}");
    }
    assert_eq!(Timestamp(7).window_index(Millis(0)), 7);
}

#[test]
fn the_ends_of_the_clock_hold() {
    assert_eq!(Timestamp::NEVER + Millis(1), Timestamp::NEVER);
    assert_eq!(Timestamp::at(u64::MAX), Timestamp::NEVER);
    assert_eq!(
        Timestamp::NEVER.since(START - Millis(1)),
        Millis(i64::MAX as u64)
    );
}
