//! 1,000 routers lose their feed at the same time, and no controller has one for 20 s: the
//! request rate at the controllers stays bounded, and all routers have a feed again soon after
//! it returns.

use courseshunt_gateway::feed_backoff::FeedBackoff;
use std::time::Duration;

const ROUTERS: u32 = 1_000;
const WITHOUT_FEED: Duration = Duration::from_secs(20);
/// A controller without a feed answers after this time; one that expects none answers
/// immediately.
const ANSWER_DELAY: Duration = Duration::from_millis(500);
const ANSWER_DELAYS: [Duration; 2] = [ANSWER_DELAY, Duration::ZERO];

/// When a router sends its requests, from the loss of its feed until it has one again.
fn request_times(answer_delay: Duration, random: &mut impl FnMut() -> u32) -> Vec<Duration> {
    let mut backoff = FeedBackoff::default();
    let mut now = Duration::ZERO;
    let mut requests = vec![now];
    while now < WITHOUT_FEED {
        now += answer_delay + backoff.after_no_feed(random(), answer_delay);
        requests.push(now);
    }
    requests
}

/// Pseudo-random numbers (xorshift).
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
fn request_rate_without_a_feed_is_bounded_and_routers_reconnect_soon() {
    for answer_delay in ANSWER_DELAYS {
        check_request_rate(answer_delay);
    }
}

fn check_request_rate(answer_delay: Duration) {
    let mut random = numbers();
    let mut per_second = vec![0_u32; 22];
    let mut latest = Duration::ZERO;
    for _ in 0..ROUTERS {
        let requests = request_times(answer_delay, &mut random);
        latest = latest.max(*requests.last().expect("a request"));
        for at in requests {
            per_second[usize::try_from(at.as_secs()).expect("small")] += 1;
        }
    }
    let steady = &per_second[3..20];
    assert!(
        steady.iter().all(|count| *count <= ROUTERS * 7 / 4),
        "at most 1.75 requests per second and router: {per_second:?}"
    );
    assert!(
        latest <= WITHOUT_FEED + Duration::from_secs(1),
        "all routers ask again within a second: {latest:?}"
    );
}

#[test]
fn routers_do_not_send_requests_in_step() {
    for answer_delay in ANSWER_DELAYS {
        check_jitter(answer_delay);
    }
}

fn check_jitter(answer_delay: Duration) {
    let mut random = numbers();
    let mut per_slot = [0_u32; 100];
    for _ in 0..ROUTERS {
        let requests = request_times(answer_delay, &mut random);
        let in_one_second = requests.iter().filter(|at| at.as_secs() == 10);
        for at in in_one_second {
            per_slot[usize::try_from(at.subsec_millis() / 10).expect("small")] += 1;
        }
    }
    let peak = per_slot.iter().max().expect("slots");
    assert!(*peak <= 60, "{peak} of {ROUTERS} in 10 ms");
}
