//! Which connection gives way at the bound of a listener.

use courseshunt_http::{Admission, ConnectionPlace, ConnectionTable};
use std::time::Duration;

/// Longer than a wake-up takes.
const SOON: Duration = Duration::from_millis(100);

fn admit(table: &ConnectionTable, max: usize) -> ConnectionPlace {
    let admission = table.admit(max);
    let Admission { place, .. } = admission.expect("it is taken");
    place
}

async fn is_closed(place: &ConnectionPlace) -> bool {
    tokio::time::timeout(SOON, place.close_due()).await.is_ok()
}

#[tokio::test]
async fn the_connection_that_is_idle_for_the_longest_time_gives_way() {
    let table = ConnectionTable::default();
    let [first, second, third] = [0; 3].map(|_| admit(&table, 3));
    drop(first.begin_request());
    let _fourth = admit(&table, 3);
    assert!(is_closed(&second).await);
    assert!(!is_closed(&first).await);
    assert!(!is_closed(&third).await);
}

#[tokio::test]
async fn a_connection_with_a_request_never_gives_way() {
    let table = ConnectionTable::default();
    let place = admit(&table, 1);
    let request = place.begin_request();
    assert!(table.admit(1).is_none());
    assert!(!is_closed(&place).await);
    drop(request);
    assert!(
        table
            .admit(1)
            .is_some_and(|admission| admission.closes_idle)
    );
    assert!(is_closed(&place).await);
}

#[tokio::test]
async fn a_connection_is_idle_after_all_its_requests() {
    let table = ConnectionTable::default();
    let place = admit(&table, 1);
    let (first, second) = (place.begin_request(), place.begin_request());
    drop(first);
    assert!(!place.is_idle());
    drop(second);
    assert!(place.is_idle());
}

#[test]
fn a_place_is_free_when_all_that_holds_it_is_dropped() {
    let table = ConnectionTable::default();
    let place = admit(&table, 1);
    let request = place.begin_request();
    drop(place);
    assert_eq!(table.open_count(), 1);
    drop(request);
    assert_eq!(table.open_count(), 0);
}
