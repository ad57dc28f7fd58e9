//! Contract of the weight-store limiter, the learned load times and the backoff.

use courseshunt_placement::{LoadBackoff, LoadTimes, StoreLimiter};
use courseshunt_types::runner_api::CacheTier;
use courseshunt_types::{DeploymentDocument, Millis, Timestamp};

const SECOND: u64 = 1000;

#[test]
fn the_token_bucket_refills_at_the_configured_rate() {
    let mut limiter = StoreLimiter::new(3.0, 6);
    assert_eq!(limiter.starts_available(Timestamp(0)), 3);
    for _ in 0..3 {
        limiter.take(Timestamp(0));
    }
    assert_eq!(limiter.starts_available(Timestamp(300)), 0);
    assert_eq!(limiter.starts_available(Timestamp::at(SECOND)), 3);
    assert_eq!(limiter.starts_available(Timestamp::at(60 * SECOND)), 3);
}

#[test]
fn a_slow_store_lowers_concurrency_and_a_healthy_one_recovers() {
    let expected = Millis(10 * SECOND);
    let mut limiter = StoreLimiter::new(3.0, 6);
    limiter.observe(Millis(30 * SECOND), expected, false, Timestamp(0));
    assert_eq!(limiter.concurrency(), 4);
    limiter.observe(Millis(30 * SECOND), expected, false, Timestamp::at(SECOND));
    assert_eq!(limiter.concurrency(), 4, "once in the time of a load");
    for step in 1..20 {
        let now = Timestamp::at(step * 20 * SECOND);
        limiter.observe(Millis(90 * SECOND), expected, true, now);
    }
    assert_eq!(limiter.concurrency(), 2, "never below a third");
    assert!(limiter.is_slow());
    for _ in 0..6 {
        limiter.observe(expected, expected, true, Timestamp::at(900 * SECOND));
    }
    assert_eq!(limiter.concurrency(), 6);
    assert!(!limiter.is_slow());
}

#[test]
fn load_times_are_learned_by_model_then_by_size() {
    let document = |name: &str| -> DeploymentDocument {
        serde_json::from_value(serde_json::json!({
            "name": name, "version": 1, "model": name, "tenant": "souss", "memory_mib": 1000
        }))
        .unwrap()
    };
    let mut times = LoadTimes::default();
    let (seen, other) = (document("seen"), document("other"));
    assert_eq!(times.expected(&seen, CacheTier::Remote), Millis(30_000));
    times.record(&seen.model, CacheTier::Remote, 1000, Millis(12_000));
    assert_eq!(times.expected(&seen, CacheTier::Remote), Millis(12_000));
    assert_eq!(times.expected(&other, CacheTier::Remote), Millis(12_000));
    times.record(&other.model, CacheTier::Remote, 1000, Millis(22_000));
    assert_eq!(times.expected(&seen, CacheTier::Remote), Millis(12_000));
    assert_eq!(times.expected(&other, CacheTier::Remote), Millis(22_000));
}

#[test]
fn failures_in_a_row_double_the_pause_and_a_success_ends_it() {
    let (runner, model) = ("r1".into(), "m".into());
    let mut backoff = LoadBackoff::default();
    backoff.failed(&runner, &model, Timestamp(0));
    assert_eq!(backoff.avoided(&runner, Timestamp(4_999)).len(), 1);
    assert!(backoff.avoided(&runner, Timestamp(5_000)).is_empty());
    backoff.failed(&runner, &model, Timestamp(6_000));
    assert_eq!(backoff.avoided(&runner, Timestamp(15_999)).len(), 1);
    assert!(backoff.avoided(&"r2".into(), Timestamp(6_000)).is_empty());
    backoff.succeeded(&runner, &model);
    assert!(backoff.avoided(&runner, Timestamp(6_000)).is_empty());
}
