//! Selection of instances by the predicted time to the first answer.

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
    leaving.state = InstanceState::Draining;
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
fn requests_with_one_prefix_share_a_preferred_instance_at_all_routers() {
    let views: Vec<InstanceView> = ["a", "b", "c", "d"]
        .iter()
        .map(|id| view(id, "z", &[("m", &[])]))
        .collect();
    for subject in 10..30 {
        let preferred_instances = ["z", "z", "y"].map(|zone| {
            let mut selector = Selector::new(Zone::from(zone));
            let chosen = selector.choose(&shape("m", None, subject), views.iter(), &[], LIMIT, NOW);
            chosen.expect("a holder").instance
        });
        assert!(
            preferred_instances
                .iter()
                .all(|preferred| *preferred == preferred_instances[0]),
            "{preferred_instances:?}"
        );
    }
}

#[test]
fn a_busy_preferred_instance_is_avoided_for_an_idle_one() {
    let views = [view("a", "z", &[("m", &[])]), view("b", "z", &[("m", &[])])];
    let mut selector = Selector::new(Zone::from("z"));
    let wanted = shape("m", None, 5);
    let preferred = selector.choose(&wanted, views.iter(), &[], LIMIT, NOW);
    let preferred = preferred.expect("a holder").instance;
    selector.set_usage(
        &[InstanceUsage {
            instance: preferred.clone(),
            in_flight: 10,
            prompt_tokens: 60_000,
        }],
        Millis(0),
        NOW,
    );
    let other = selector.choose(&wanted, views.iter(), &[], LIMIT, NOW);
    assert_ne!(other.expect("a holder").instance, preferred);
}

/// Number of selections per instance, by routers that have the same usage data of age `age`.
fn selections_by_age(age: Millis, routers: u64) -> std::collections::BTreeMap<String, usize> {
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
        selector.set_usage(&usage, age, NOW);
        let plain = PromptShape {
            parts: Vec::new(),
            ..shape("m", None, router)
        };
        let one = selector.choose(&plain, views.iter(), &[], LIMIT, NOW);
        *chosen.entry(one.expect("a holder").instance.0).or_default() += 1;
    }
    chosen
}

/// Routers with the same usage data of some age must not all send to the instance that was idle
/// at that time. With current data, they do.
#[test]
fn delayed_usage_does_not_send_all_routers_to_one_instance() {
    let current = selections_by_age(Millis(0), 160);
    assert_eq!(current.get("a"), Some(&160), "{current:?}");
    let delayed = selections_by_age(Millis(720), 160);
    let most = delayed.values().max();
    assert!(most < Some(&50), "{delayed:?}");
    assert!(delayed.len() >= 6, "{delayed:?}");
    assert!(delayed.get("a") >= delayed.get("h"), "{delayed:?}");
}

/// The estimate of unreported work must not divert requests from an idle preferred instance.
#[test]
fn an_idle_preferred_instance_is_selected_despite_unreported_work() {
    let views = [view("a", "z", &[("m", &[])]), view("b", "z", &[("m", &[])])];
    let wanted = shape("m", None, 5);
    let mut preferred_instances = std::collections::BTreeSet::new();
    for router in 0..100 {
        let mut selector = Selector::new(Zone::from("z")).seeded(router);
        selector.set_usage(&[], Millis(720), NOW);
        let preferred = selector.choose(&wanted, views.iter(), &[], LIMIT, NOW);
        preferred_instances.insert(preferred.expect("a holder").instance);
    }
    assert_eq!(preferred_instances.len(), 1, "{preferred_instances:?}");
}

/// Pending prompt tokens of other routers decrease after their report, as the instance processes
/// them.
#[test]
fn reported_pending_tokens_decrease_at_the_processing_rate() {
    let views = [view("a", "z", &[("m", &[])]), view("b", "z", &[("m", &[])])];
    let mut selector = Selector::new(Zone::from("z"));
    let plain = PromptShape {
        parts: Vec::new(),
        ..shape("m", None, 1)
    };
    let usage = |instance: &str, in_flight, prompt_tokens| InstanceUsage {
        instance: RunnerId::from(instance),
        in_flight,
        prompt_tokens,
    };
    selector.set_usage(&[usage("a", 1, 20_000), usage("b", 3, 0)], Millis(0), NOW);
    let initially = selector.choose(&plain, views.iter(), &[], LIMIT, NOW);
    assert_eq!(initially.expect("a holder").instance.as_str(), "b");
    let later = NOW + Millis(600);
    let then = selector.choose(&plain, views.iter(), &[], LIMIT, later);
    assert_eq!(then.expect("a holder").instance.as_str(), "a");
}

#[test]
fn a_suspect_instance_is_avoided_while_others_are_eligible() {
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
fn requests_of_one_router_at_one_instance_are_bounded() {
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
fn a_slow_instance_gets_few_requests() {
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
fn an_unreachable_instance_is_excluded_temporarily() {
    let views = [view("a", "z", &[("m", &[])])];
    let mut selector = Selector::new(Zone::from("z"));
    let wanted = shape("m", None, 5);
    let instance = RunnerId::from("a");
    selector.unreachable(&instance, NOW);
    let chosen = selector.choose(&wanted, views.iter(), &[], LIMIT, NOW);
    assert!(chosen.is_none(), "the only instance is unreachable");
    assert_eq!(selector.all_unreachable(NOW), [instance]);
    let later = Timestamp(NOW.0 + 1_500);
    let chosen = selector.choose(&wanted, views.iter(), &[], LIMIT, later);
    assert!(chosen.is_some(), "the instance is tried again");
}

/// An instance that rejects a request has not processed its prompt, so the prompt must not count as
/// cached there.
#[test]
fn a_rejected_prompt_does_not_count_as_cached() {
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
    let second = send(&mut selector, NOW + Millis(1));
    for one in [&first, &second] {
        selector.rejected(one);
        selector.end(one, false);
    }
    let second = send(&mut selector, NOW + Millis(10));
    assert_eq!(second.uncached_tokens, first.uncached_tokens);
    // A prefix that was cached before stays cached, and so does one that was sent meanwhile.
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

/// After an instance answers that it is another one, or does not have the model, it is sent no
/// requests for the same model and adapter until a backoff ends or its models are updated.
#[test]
fn a_missing_model_is_not_requested_again_during_its_backoff() {
    let views = [view("a", "z", &[("m", &["a1"]), ("n", &[])])];
    let mut selector = Selector::new(Zone::from("z"));
    let wanted = shape("m", Some("a1"), 7);
    let is_sent = |selector: &mut Selector, shape: &PromptShape, now| {
        let chosen = selector.choose(shape, views.iter(), &[], LIMIT, now);
        chosen.is_some()
    };
    let a = RunnerId::from("a");
    let mut now = NOW;
    for length in [200, 400, 800, 1_600, 3_200, 3_200] {
        selector.note_missing(&a, &wanted, now);
        let last = now + Millis(length) - Millis(1);
        assert!(!is_sent(&mut selector, &wanted, last), "{length}");
        assert_eq!(selector.missing_for(&a, &wanted, last), Some(Millis(1)));
        assert!(is_sent(&mut selector, &shape("m", None, 8), last));
        assert!(is_sent(&mut selector, &shape("n", None, 8), last));
        now = now + Millis(length);
        assert!(is_sent(&mut selector, &wanted, now), "{length}");
    }
    selector.note_missing(&a, &wanted, now);
    selector.models_updated(&a);
    assert!(is_sent(&mut selector, &wanted, now));
}
