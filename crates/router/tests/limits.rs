//! The limit on the memory for request bodies.

use courseshunt_router::limits::BodyBudget;
use courseshunt_types::RefusalReason;

#[test]
fn reservations_never_exceed_the_limit() {
    let budget = BodyBudget::new(1000);
    let mut first = budget.reserve(600).expect("600 bytes are within the limit");
    let refusal = budget
        .reserve(500)
        .expect_err("600 and 500 bytes exceed the limit");
    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    assert!(refusal.retry_after.is_some());
    first.shrink(100);
    let second = budget.reserve(500).expect("500 bytes were released");
    assert_eq!(budget.used(), 600);
    drop((first, second));
    assert_eq!(budget.used(), 0);
    assert!(budget.reserve(usize::MAX).is_err());
}
