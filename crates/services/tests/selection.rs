//! Selection by predicted first answer.

use courseshunt_services::{
    InstanceState, InstanceUsage, InstanceView, PrefixPart, PromptShape, ResidentModel, Selector,
};
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp, Zone};

const NOW: Timestamp = Timestamp(1_000);
const LIMIT: u32 = 50;

fn view(id: &str, zone: &str, models: &[(&str, &[&str])]) -> InstanceView {
    let models = models.iter().map(|(name, adapters)| ResidentModel {
        name: ModelName::from(*name),
        version: 1,
        adapters: adapters.iter().map(|one| (*one).to_owned()).collect(),
    });
    InstanceView {
        id: RunnerId::from(id),
        service: "s".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: Zone::from(zone),
        slots: 64,
        state: InstanceState::Ready,
        models: models.collect(),
        loading: Vec::new(),
    }
}

fn shape(model: &str, adapter: Option<&str>, subject: u64) -> PromptShape {
    let parts = [(1, 2_000), (subject, 4_000), (subject + 1_000, 3_000)];
    PromptShape {
        model: model.to_owned(),
        adapter: adapter.map(str::to_owned),
        prompt_tokens: 9_000,
        output_tokens: 50,
        parts: parts.map(|(id, tokens)| PrefixPart { id, tokens }).to_vec(),
    }
}

#[test]
fn only_ready_holders_of_model_and_adapter_are_chosen() {
    let mut leaving = view("c", "z", &[("m", &["a1"])]);
    leaving.state = InstanceState::Leaving;
    let views = [
        view("a", "z", &[("m", &[])]),
        view("b", "z", &[("m", &["a1"])]),
        leaving,
    ];
    let mut selector = Selector::new(Zone::from("z"));
    let cases = [
        (shape("m", Some("a1"), 7), Some("b")),
        (shape("m", Some("a2"), 7), None),
        (shape("n", None, 7), None),
    ];
    for (shape, expected) in cases {
        let chosen = selector.choose(&shape, views.iter(), &[], LIMIT, NOW);
        let chosen = chosen.map(|one| one.instance.0);
        assert_eq!(chosen.as_deref(), expected, "{shape:?}");
    }
}

#[test]
fn requests_of_one_subject_share_a_home_at_all_routers() {
    let views: Vec<InstanceView> = ["a", "b", "c", "d"]
        .iter()
        .map(|id| view(id, "z", &[("m", &[])]))
        .collect();
    for subject in 10..30 {
        let homes = ["z", "z", "y"].map(|zone| {
            let mut selector = Selector::new(Zone::from(zone));
            let chosen = selector.choose(&shape("m", None, subject), views.iter(), &[], LIMIT, NOW);
            chosen.expect("a holder").instance
        });
        assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
    }
}

#[test]
fn a_busy_home_is_left_for_an_idle_instance() {
    let views = [view("a", "z", &[("m", &[])]), view("b", "z", &[("m", &[])])];
    let mut selector = Selector::new(Zone::from("z"));
    let wanted = shape("m", None, 5);
    let home = selector.choose(&wanted, views.iter(), &[], LIMIT, NOW);
    let home = home.expect("a holder").instance;
    selector.set_usage(
        &[InstanceUsage {
            instance: home.clone(),
            in_flight: 10,
            prompt_tokens: 60_000,
        }],
        Millis(0),
        NOW,
    );
    let other = selector.choose(&wanted, views.iter(), &[], LIMIT, NOW);
    assert_ne!(other.expect("a holder").instance, home);
}

/// What routers choose that know the same: instances with the requests they got.
fn herd(late: Millis, routers: u64) -> std::collections::BTreeMap<String, usize> {
    let views: Vec<InstanceView> = ["a", "b", "c", "d", "e", "f", "g", "h"]
        .map(|id| view(id, "z", &[("m", &[])]))
        .to_vec();
    let usage: Vec<InstanceUsage> = views
        .iter()
        .enumerate()
        .map(|(number, view)| InstanceUsage {
            instance: view.id.clone(),
            in_flight: number as u32,
            prompt_tokens: 300 * number as u32,
        })
        .collect();
    let mut chosen = std::collections::BTreeMap::new();
    for router in 0..routers {
        let mut selector = Selector::new(Zone::from("z")).seeded(router);
        selector.set_usage(&usage, late, NOW);
        let plain = PromptShape {
            parts: Vec::new(),
            ..shape("m", None, router)
        };
        let one = selector.choose(&plain, views.iter(), &[], LIMIT, NOW);
        *chosen.entry(one.expect("a holder").instance.0).or_default() += 1;
    }
    chosen
}

/// Many routers that were told the same, some time ago, don't all send to the
/// instance that was idle then; without that time they do.
#[test]
fn what_is_known_late_does_not_draw_all_routers_to_one_instance() {
    let at_once = herd(Millis(0), 160);
    assert_eq!(at_once.get("a"), Some(&160), "{at_once:?}");
    let late = herd(Millis(720), 160);
    let most = late.values().max();
    assert!(most < Some(&50), "{late:?}");
    assert!(late.len() >= 6, "{late:?}");
    assert!(late.get("a") >= late.get("h"), "{late:?}");
}

/// What routers know late does not draw them away from the home of a prompt.
#[test]
fn an_idle_home_is_kept_whatever_may_have_been_sent() {
    let views = [view("a", "z", &[("m", &[])]), view("b", "z", &[("m", &[])])];
    let wanted = shape("m", None, 5);
    let mut homes = std::collections::BTreeSet::new();
    for router in 0..100 {
        let mut selector = Selector::new(Zone::from("z")).seeded(router);
        selector.set_usage(&[], Millis(720), NOW);
        let home = selector.choose(&wanted, views.iter(), &[], LIMIT, NOW);
        homes.insert(home.expect("a holder").instance);
    }
    assert_eq!(homes.len(), 1, "{homes:?}");
}

/// What others had to read when it was told is read by and by.
#[test]
fn what_was_unread_is_forgotten_at_the_speed_of_reading() {
    let views = [view("a", "z", &[("m", &[])]), view("b", "z", &[("m", &[])])];
    let mut selector = Selector::new(Zone::from("z"));
    let plain = PromptShape {
        parts: Vec::new(),
        ..shape("m", None, 1)
    };
    let told = |instance: &str, in_flight, prompt_tokens| InstanceUsage {
        instance: RunnerId::from(instance),
        in_flight,
        prompt_tokens,
    };
    selector.set_usage(&[told("a", 1, 20_000), told("b", 3, 0)], Millis(0), NOW);
    let at_first = selector.choose(&plain, views.iter(), &[], LIMIT, NOW);
    assert_eq!(at_first.expect("a holder").instance.as_str(), "b");
    let later = NOW + Millis(600);
    let then = selector.choose(&plain, views.iter(), &[], LIMIT, later);
    assert_eq!(then.expect("a holder").instance.as_str(), "a");
}

#[test]
fn a_suspect_is_avoided_while_others_can_serve() {
    let views = [view("a", "z", &[]), view("b", "z", &[])];
    let mut selector = Selector::new(Zone::from("z"));
    let plain = PromptShape::default();
    selector.suspect(&RunnerId::from("a"), NOW);
    for _ in 0..10 {
        let chosen = selector.choose(&plain, views.iter(), &[], LIMIT, NOW);
        assert_eq!(chosen.expect("one").instance.as_str(), "b");
    }
    let only_suspect = selector.choose(&plain, views.iter(), &["b".into()], LIMIT, NOW);
    assert_eq!(only_suspect.expect("the suspect").instance.as_str(), "a");
    let later = Timestamp(NOW.0 + 60_000);
    let chosen: Vec<String> = (0..4)
        .filter_map(|_| selector.choose(&plain, views.iter(), &[], LIMIT, later))
        .map(|one| one.instance.0)
        .collect();
    assert!(chosen.contains(&"a".to_owned()), "{chosen:?}");
}

#[test]
fn own_requests_at_one_instance_are_bounded() {
    let views = [view("a", "z", &[])];
    let mut selector = Selector::new(Zone::from("z"));
    let plain = PromptShape::default();
    for _ in 0..3 {
        let chosen = selector
            .choose(&plain, views.iter(), &[], 3, NOW)
            .expect("room");
        selector.begin(&chosen, &plain, NOW);
    }
    assert!(selector.choose(&plain, views.iter(), &[], 3, NOW).is_none());
    let usage = selector.usage();
    assert_eq!(usage[0].in_flight, 3);
}

#[test]
fn a_slow_instance_is_noticed() {
    let views = [view("a", "z", &[("m", &[])]), view("b", "z", &[("m", &[])])];
    let mut selector = Selector::new(Zone::from("z"));
    for number in 0..20 {
        let one = shape("m", None, 100 + number);
        let chosen = selector
            .choose(&one, views.iter(), &[], LIMIT, NOW)
            .expect("a holder");
        selector.begin(&chosen, &one, NOW);
        let waited = match chosen.instance.as_str() {
            "a" => Millis(3_000),
            _ => Millis(200),
        };
        selector.first_answer(&chosen, waited, true);
        selector.end(&chosen, true);
    }
    let later = (0..10).filter_map(|number| {
        let one = shape("m", None, 500 + number);
        selector.choose(&one, views.iter(), &[], LIMIT, NOW)
    });
    let at_slow = later.filter(|one| one.instance.as_str() == "a").count();
    assert!(at_slow <= 2, "{at_slow} of 10 go to the slow instance");
}

#[test]
fn an_instance_that_was_not_reached_is_left_out_for_a_while() {
    let views = [view("a", "z", &[("m", &[])])];
    let mut selector = Selector::new(Zone::from("z"));
    let wanted = shape("m", None, 5);
    let instance = RunnerId::from("a");
    selector.unreachable(&instance, NOW);
    let chosen = selector.choose(&wanted, views.iter(), &[], LIMIT, NOW);
    assert!(chosen.is_none(), "it is the only one, and dead");
    assert_eq!(selector.all_unreachable(NOW), [instance]);
    let later = Timestamp(NOW.0 + 1_500);
    let chosen = selector.choose(&wanted, views.iter(), &[], LIMIT, later);
    assert!(chosen.is_some(), "it is tried again");
}

/// An instance that turns a request away has read nothing of its prompt.
#[test]
fn a_prompt_that_was_turned_away_is_not_taken_for_kept() {
    let views = [view("a", "z", &[("m", &[])])];
    let mut selector = Selector::new(Zone::from("z"));
    let wanted = shape("m", None, 7);
    let send = |selector: &mut Selector, now| {
        let chosen = selector
            .choose(&wanted, views.iter(), &[], LIMIT, now)
            .expect("a choice");
        selector.begin(&chosen, &wanted, now);
        chosen
    };
    let first = send(&mut selector, NOW);
    let beside = send(&mut selector, NOW + Millis(1));
    for one in [&first, &beside] {
        selector.rejected(one);
        selector.end(one, false);
    }
    let second = send(&mut selector, NOW + Millis(10));
    assert_eq!(second.uncached_tokens, first.uncached_tokens);
    // What was kept before stays kept, and so does what was sent meanwhile.
    selector.first_answer(&second, Millis(20), true);
    selector.end(&second, true);
    let third = send(&mut selector, NOW + Millis(20));
    let fourth = send(&mut selector, NOW + Millis(30));
    selector.rejected(&third);
    selector.end(&third, false);
    selector.rejected(&fourth);
    selector.end(&fourth, false);
    let fifth = send(&mut selector, NOW + Millis(40));
    assert_eq!(fifth.uncached_tokens, 0);
}

/// An answer that the instance is another one, or lacks the model, holds for all requests
/// that ask for the same there, until the instance is told anew.
#[test]
fn what_an_instance_said_it_lacks_is_not_asked_for_there() {
    let views = [view("a", "z", &[("m", &["a1"]), ("n", &[])])];
    let mut selector = Selector::new(Zone::from("z"));
    let wanted = shape("m", Some("a1"), 7);
    let asks = |selector: &mut Selector, shape: &PromptShape, now| {
        let chosen = selector.choose(shape, views.iter(), &[], LIMIT, now);
        chosen.is_some()
    };
    let a = RunnerId::from("a");
    let mut now = NOW;
    for length in [200, 400, 800, 1_600, 3_200, 3_200] {
        selector.note_missing(&a, &wanted, now);
        let last = now + Millis(length) - Millis(1);
        assert!(!asks(&mut selector, &wanted, last), "{length}");
        assert_eq!(selector.missing_for(&a, &wanted, last), Some(Millis(1)));
        assert!(asks(&mut selector, &shape("m", None, 8), last));
        assert!(asks(&mut selector, &shape("n", None, 8), last));
        now = now + Millis(length);
        assert!(asks(&mut selector, &wanted, now), "{length}");
    }
    selector.note_missing(&a, &wanted, now);
    selector.models_updated(&a);
    assert!(asks(&mut selector, &wanted, now));
}
