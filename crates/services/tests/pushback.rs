//! What instances ask for: how long it holds, and what ends it.

use courseshunt_services::{
    Candidate, InstanceState, InstanceView, PromptShape, Pushback, Pushbacks, Selector,
};
use courseshunt_types::{Millis, RunnerId, Timestamp, Zone};

const NOW: Timestamp = Timestamp(10_000);
const REST: Millis = Millis(3_000);
/// The first moment at which a rest that was asked for at [`NOW`] is surely over.
const OVER: Timestamp = Timestamp::at(10_000 + REST.0 + 1);
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

/// Chooses among these and sends.
fn send(selector: &mut Selector, views: &[InstanceView], now: Timestamp) -> Option<Candidate> {
    let shape = PromptShape::default();
    let chosen = selector.choose(&shape, views.iter(), &[], LIMIT, now)?;
    selector.begin(&chosen, &shape, now);
    Some(chosen)
}

/// Sends until nothing is chosen any more.
fn send_all(selector: &mut Selector, views: &[InstanceView], now: Timestamp) -> Vec<Candidate> {
    std::iter::from_fn(|| send(selector, views, now)).collect()
}

#[test]
fn rest_holds_until_its_end_and_a_shorter_one_changes_nothing() {
    let views = [view("a")];
    let mut selector = selector();
    selector.asked_rest(&views[0].id, REST, NOW);
    selector.asked_rest(&views[0].id, Millis(100), NOW);
    let last = Timestamp(OVER.0 - 1);
    assert_eq!(
        selector.pushback(&views[0], last),
        Some(Pushback::Rest(Millis(1)))
    );
    assert!(send(&mut selector, &views, last).is_none());
    assert!(send(&mut selector, &views, OVER).is_some());
}

/// An instance that had asked for 2.4 s of rest was sent a request a fraction of a
/// millisecond before their end. A clock tells the millisecond that has begun: a word that
/// came at 100.9 ms is noted at 100 ms, and a rest that is counted from there ends too early.
#[test]
fn rest_lasts_its_whole_time_wherever_in_a_millisecond_it_was_asked_for() {
    let views = [view("a")];
    let mut selector = selector();
    selector.asked_rest(&views[0].id, REST, NOW);
    assert!(send(&mut selector, &views, NOW + REST).is_none());
    assert!(send(&mut selector, &views, NOW + REST + Millis(1)).is_some());
}

#[test]
fn after_a_rest_requests_come_step_by_step_up_to_the_share() {
    let views = [view("a")];
    let mut selector = selector();
    // Sent before the rest: its answer tells nothing of the time after it.
    let before = send(&mut selector, &views, NOW).expect("a choice");
    selector.asked_rest(&views[0].id, REST, NOW);
    let mut now = OVER;
    let mut at_once = Vec::new();
    let mut under_way = send_all(&mut selector, &views, now);
    assert!(!selector.first_answer(&before, Millis(20), true));
    for _ in 0..4 {
        at_once.push(under_way.len());
        for one in under_way.drain(..) {
            selector.first_answer(&one, Millis(20), true);
            selector.end(&one, true);
        }
        now = now + Millis(50);
        under_way = send_all(&mut selector, &views, now);
    }
    // A fourth of 16 slots at the most.
    assert_eq!(at_once, [1, 2, 4, 4]);
    assert_eq!(
        selector.pushback(&views[0], now),
        Some(Pushback::Returns),
        "it has its share"
    );
    let after = OVER + REST;
    assert_eq!(selector.pushback(&views[0], after), None);
    assert!(send_all(&mut selector, &views, after).len() > 4);
}

#[test]
fn one_that_is_turned_away_or_fails_after_a_rest_makes_room_for_one_other() {
    let views = [view("a")];
    let mut selector = selector();
    selector.asked_rest(&views[0].id, REST, NOW);
    let first = send(&mut selector, &views, OVER).expect("a choice");
    assert!(send(&mut selector, &views, OVER).is_none());
    assert!(selector.end(&first, false), "there is room again");
    assert_eq!(send_all(&mut selector, &views, OVER).len(), 1);
}

#[test]
fn leaving_outweighs_whatever_is_told_later_of_the_same_life() {
    let first = RunnerId::of_incarnation("a", 1);
    let mut views = [view("a"), view("b")];
    views[0].id = first.clone();
    let mut selector = selector();
    assert!(selector.leaves(&first, NOW));
    assert!(!selector.leaves(&first, NOW), "no news");
    selector.asked_rest(&first, Millis(1), NOW);
    // It drops out of the view, and is told as ready again.
    selector.retain(|_| false);
    let later = NOW + Millis(3_600_000);
    assert_eq!(selector.pushback(&views[0], later), Some(Pushback::Leaving));
    let chosen = send(&mut selector, &views, later).expect("a choice");
    assert_eq!(chosen.instance, views[1].id);
    views[0].id = RunnerId::of_incarnation("a", 2);
    assert_eq!(selector.pushback(&views[0], later), None, "another life");
}

#[test]
fn rest_outlives_a_place_in_the_view() {
    let views = [view("a")];
    let mut selector = selector();
    selector.asked_rest(&views[0].id, REST, NOW);
    selector.retain(|_| false);
    assert!(send(&mut selector, &views, NOW + Millis(1)).is_none());
}

#[test]
fn what_is_kept_is_bounded_and_the_newest_stays() {
    let mut pushbacks = Pushbacks::default();
    for number in 0..20_000_u64 {
        let id = RunnerId::from(format!("i-{number}").as_str());
        pushbacks.leaves(&id, Timestamp::at(number));
    }
    assert!(pushbacks.leaving().count() <= 16_384);
    let newest = RunnerId::from("i-19999");
    let asked_for = pushbacks.asked_for(&newest, Timestamp(20_000));
    assert_eq!(asked_for, Some(Pushback::Leaving));
}
