//! The retry budget and the weight store's ceiling keep their bounds.

use courseshunt_services::{LoadCeiling, RetryBudget};
use courseshunt_types::{Millis, Timestamp};

const WINDOW: Millis = Millis(10_000);

#[test]
fn routers_together_keep_the_common_budget() {
    let routers = 7;
    let mut budgets: Vec<RetryBudget> = (0..routers)
        .map(|_| RetryBudget::new(0.2, 54.0, WINDOW))
        .collect();
    let mut requests = 0;
    let mut retries = 0;
    for step in 0..1_000 {
        let now = Timestamp(step * 10);
        let budget = &mut budgets[(step % routers) as usize];
        budget.request(now);
        requests += 1;
        for _ in 0..3 {
            if budget.take(routers as u32, now) {
                retries += 1;
            }
        }
    }
    let bound = 0.2 * f64::from(requests) + 54.0;
    assert!(f64::from(retries) <= bound, "{retries} of {bound}");
    assert!(retries > 0);
}

#[test]
fn a_budget_comes_back_after_its_window() {
    let mut budget = RetryBudget::new(0.0, 10.0, WINDOW);
    let taken = (0..100).filter(|_| budget.take(1, Timestamp(5))).count();
    assert!((1..=10).contains(&taken), "{taken}");
    assert!(!budget.take(1, Timestamp(9_000)));
    assert!(budget.take(1, Timestamp(20_000)));
}

#[test]
fn every_window_keeps_the_ceiling() {
    let (rate, window) = (4.0, Millis(5_000));
    let mut ceiling = LoadCeiling::new(rate, window, Timestamp(0));
    ceiling.set_rate(rate, window, Timestamp(0));
    assert!(!ceiling.take(Timestamp(0)), "a new leader begins empty");
    let starts: Vec<u64> = (0..60_000)
        .filter(|now| (*now < 20_000 || *now > 30_000) && ceiling.take(Timestamp(*now)))
        .collect();
    let bound = rate * 5.0 * 1.1 + 3.0;
    for start in &starts {
        let inside = starts
            .iter()
            .filter(|at| (*start..=start + window.0).contains(*at));
        let inside = inside.count() as f64;
        assert!(inside <= bound, "{inside} loads from {start} ms on");
    }
}
