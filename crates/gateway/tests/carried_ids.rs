//! A connection carries each id at most once, and a bounded number of them.

use courseshunt_gateway::pool::carried_ids::CarriedIds;

#[test]
fn an_id_is_accepted_once() {
    let mut carried = CarriedIds::default();
    assert!(carried.accepts("a"));
    carried.insert("a");
    assert!(!carried.accepts("a"));
    assert!(carried.accepts("b"));
}

#[test]
fn an_empty_id_is_one_like_others() {
    let mut carried = CarriedIds::default();
    carried.insert("");
    assert!(!carried.accepts(""));
}

#[test]
fn a_full_set_accepts_no_id_instead_of_forgetting_one() {
    let mut carried = CarriedIds::default();
    let mut count = 0;
    while !carried.is_full() {
        carried.insert(&format!("request-{count}"));
        count += 1;
    }
    assert!(count >= 256, "a connection is of use for {count} requests");
    assert!(!carried.accepts("another"));
    assert!(!carried.accepts("request-0"));
}
