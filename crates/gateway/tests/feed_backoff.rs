//! 1,000 routers have lost their feed at once and no controller has one for 20 s: what they
//! ask of the controllers stays bounded, and all are back soon after the feed is.

use courseshunt_gateway::feed_backoff::FeedBackoff;
use std::time::Duration;

const ROUTERS: u32 = 1_000;
const WITHOUT_FEED: Duration = Duration::from_secs(20);
/// A controller without a feed answers after this; one that knows that it will have none, at
/// once.
const WAIT_AT_CONTROLLER: Duration = Duration::from_millis(500);
const WAITS: [Duration; 2] = [WAIT_AT_CONTROLLER, Duration::ZERO];

/// When one router asks, from the loss of its feed until it has one again.
fn questions(wait: Duration, random: &mut impl FnMut() -> u32) -> Vec<Duration> {
    let mut pace = FeedBackoff::default();
    let mut now = Duration::ZERO;
    let mut asked = vec![now];
    while now < WITHOUT_FEED {
        now += wait + pace.without_feed(random(), wait);
        asked.push(now);
    }
    asked
}

/// Numbers that look random (xorshift).
fn numbers() -> impl FnMut() -> u32 {
    let mut state = 0x9e37_79b9_u32;
    move || {
        state ^= state << 13;
        state ^= state >> 17;
        state ^= state << 5;
        state
    }
}

#[test]
fn a_crowd_without_a_feed_asks_less_and_less_and_is_back_soon() {
    for wait in WAITS {
        asks_less_and_less_and_is_back_soon(wait);
    }
}

fn asks_less_and_less_and_is_back_soon(wait: Duration) {
    let mut random = numbers();
    let mut in_second = vec![0_u32; 22];
    let mut latest = Duration::ZERO;
    for _ in 0..ROUTERS {
        let asked = questions(wait, &mut random);
        latest = latest.max(*asked.last().expect("it asks"));
        for at in asked {
            in_second[usize::try_from(at.as_secs()).expect("small")] += 1;
        }
    }
    let calm = &in_second[3..20];
    assert!(
        calm.iter().all(|count| *count <= ROUTERS * 7 / 4),
        "at most 1.75 questions a second of each: {in_second:?}"
    );
    assert!(
        latest <= WITHOUT_FEED + Duration::from_secs(1),
        "all are back within a second: {latest:?}"
    );
}

#[test]
fn a_crowd_does_not_ask_in_step() {
    for wait in WAITS {
        does_not_ask_in_step(wait);
    }
}

fn does_not_ask_in_step(wait: Duration) {
    let mut random = numbers();
    let mut in_slot = [0_u32; 100];
    for _ in 0..ROUTERS {
        let asked = questions(wait, &mut random);
        let in_a_second = asked.iter().filter(|at| at.as_secs() == 10);
        for at in in_a_second {
            in_slot[usize::try_from(at.subsec_millis() / 10).expect("small")] += 1;
        }
    }
    let most = in_slot.iter().max().expect("slots");
    assert!(*most <= 60, "{most} of {ROUTERS} in 10 ms");
}
