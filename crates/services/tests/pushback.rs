//! Pushbacks of instances: how long they are in force, and what ends them.

use courseshunt_services::{
    Candidate, InstanceState, InstanceView, PromptShape, Pushback, Pushbacks, Selector,
};
use courseshunt_types::{Millis, RunnerId, Timestamp, Zone};

const NOW: Timestamp = Timestamp(10_000);
const BACKOFF: Millis = Millis(3_000);
/// The first time at which a backoff that was requested at [`NOW`] is certainly over.
const OVER: Timestamp = Timestamp::at(10_000 + BACKOFF.0 + 1);
const LIMIT: u32 = 100;
const ROUTERS: u32 = 4;

fn view(id: &str) -> InstanceView {
    InstanceView {
        id: RunnerId::from(id),
        service: "s".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: Zone::from("z"),
        slots: 16,
        state: InstanceState::Ready,
        models: Vec::new(),
        loading: Vec::new(),
    }
}

fn selector() -> Selector {
    let mut selector = Selector::new(Zone::from("z"));
    selector.set_routers(ROUTERS);
    selector
}

/// Selects one of these instances and sends a request.
fn send(selector: &mut Selector, views: &[InstanceView], now: Timestamp) -> Option<Candidate> {
    let shape = PromptShape::default();
    let chosen = selector.choose(&shape, views.iter(), &[], LIMIT, now)?;
    selector.begin(&chosen, &shape, now);
    Some(chosen)
}

/// Sends requests until no instance is eligible.
fn send_all(selector: &mut Selector, views: &[InstanceView], now: Timestamp) -> Vec<Candidate> {
    std::iter::from_fn(|| send(selector, views, now)).collect()
}

#[test]
fn a_backoff_lasts_until_its_end_and_is_not_shortened_by_a_shorter_one() {
    let views = [view("a")];
    let mut selector = selector();
    selector.start_backoff(&views[0].id, BACKOFF, NOW);
    selector.start_backoff(&views[0].id, Millis(100), NOW);
    let last = Timestamp(OVER.0 - 1);
    assert_eq!(
        selector.pushback(&views[0], last),
        Some(Pushback::Backoff(Millis(1)))
    );
    assert!(send(&mut selector, &views, last).is_none());
    assert!(send(&mut selector, &views, OVER).is_some());
}

/// An instance that had requested a backoff of 2.4 s was sent a request a fraction of a
/// millisecond before its end. Timestamps are rounded down to milliseconds: a pushback that came
/// at 100.9 ms is recorded at 100 ms, and a backoff that is counted from there ends too early.
#[test]
fn a_backoff_is_not_shortened_by_the_rounding_of_timestamps() {
    let views = [view("a")];
    let mut selector = selector();
    selector.start_backoff(&views[0].id, BACKOFF, NOW);
    assert!(send(&mut selector, &views, NOW + BACKOFF).is_none());
    assert!(send(&mut selector, &views, NOW + BACKOFF + Millis(1)).is_some());
}

#[test]
fn after_a_backoff_the_window_grows_up_to_the_share() {
    let views = [view("a")];
    let mut selector = selector();
    // Sent before the backoff: its answer gives no evidence of the time after it.
    let before = send(&mut selector, &views, NOW).expect("a choice");
    selector.start_backoff(&views[0].id, BACKOFF, NOW);
    let mut now = OVER;
    let mut at_once = Vec::new();
    let mut in_flight = send_all(&mut selector, &views, now);
    assert!(!selector.first_answer(&before, Millis(20), true));
    for _ in 0..4 {
        at_once.push(in_flight.len());
        for one in in_flight.drain(..) {
            selector.first_answer(&one, Millis(20), true);
            selector.end(&one, true);
        }
        now = now + Millis(50);
        in_flight = send_all(&mut selector, &views, now);
    }
    // At most a quarter of the 16 slots.
    assert_eq!(at_once, [1, 2, 4, 4]);
    assert_eq!(
        selector.pushback(&views[0], now),
        Some(Pushback::Recovering),
        "its share is in use"
    );
    let after = OVER + BACKOFF;
    assert_eq!(selector.pushback(&views[0], after), None);
    assert!(send_all(&mut selector, &views, after).len() > 4);
}

#[test]
fn a_rejected_or_failed_request_after_a_backoff_frees_its_place_in_the_window() {
    let views = [view("a")];
    let mut selector = selector();
    selector.start_backoff(&views[0].id, BACKOFF, NOW);
    let first = send(&mut selector, &views, OVER).expect("a choice");
    assert!(send(&mut selector, &views, OVER).is_none());
    assert!(
        selector.end(&first, false),
        "another request may be sent in its place"
    );
    assert_eq!(send_all(&mut selector, &views, OVER).len(), 1);
}

#[test]
fn leaving_overrides_later_reports_of_the_same_incarnation() {
    let first = RunnerId::of_incarnation("a", 1);
    let mut views = [view("a"), view("b")];
    views[0].id = first.clone();
    let mut selector = selector();
    assert!(selector.note_leaving(&first, NOW));
    assert!(!selector.note_leaving(&first, NOW), "the notice is not new");
    selector.start_backoff(&first, Millis(1), NOW);
    // The instance is removed from the view, and is reported as ready again.
    selector.retain(|_| false);
    let later = NOW + Millis(3_600_000);
    assert_eq!(selector.pushback(&views[0], later), Some(Pushback::Leaving));
    let chosen = send(&mut selector, &views, later).expect("a choice");
    assert_eq!(chosen.instance, views[1].id);
    views[0].id = RunnerId::of_incarnation("a", 2);
    assert_eq!(
        selector.pushback(&views[0], later),
        None,
        "another incarnation"
    );
}

#[test]
fn a_backoff_outlasts_the_removal_from_the_view() {
    let views = [view("a")];
    let mut selector = selector();
    selector.start_backoff(&views[0].id, BACKOFF, NOW);
    selector.retain(|_| false);
    assert!(send(&mut selector, &views, NOW + Millis(1)).is_none());
}

#[test]
fn the_number_of_entries_is_bounded_and_the_newest_is_kept() {
    let mut pushbacks = Pushbacks::default();
    for number in 0..20_000_u64 {
        let id = RunnerId::from(format!("i-{number}").as_str());
        pushbacks.note_leaving(&id, Timestamp::at(number));
    }
    assert!(pushbacks.leaving().count() <= 16_384);
    let newest = RunnerId::from("i-19999");
    let pushback = pushbacks.active_pushback(&newest, Timestamp(20_000));
    assert_eq!(pushback, Some(Pushback::Leaving));
}
