//! Instances that fail some of their requests, or send no answers.

use courseshunt_services::{
    Candidate, InstanceState, InstanceView, PromptShape, ResidentModel, Selector,
};
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp, Zone};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Time between requests, in milliseconds.
const STEP: u64 = 50;
/// Time to an instance's first answer, in milliseconds.
const ANSWER: u64 = 30;
const LIMIT: u32 = 50;

/// Behaviour of an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    Healthy,
    /// Fails this percentage of requests.
    Fails(u32),
    Unresponsive,
}

fn view(id: &str, model: &str) -> InstanceView {
    let models = (!model.is_empty()).then(|| ResidentModel {
        name: ModelName::from(model),
        version: 1,
        adapters: Vec::new(),
    });
    InstanceView {
        id: RunnerId::from(id),
        service: "s".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: Zone::from("z"),
        slots: 64,
        state: InstanceState::Ready,
        models: models.into_iter().collect(),
        loading: Vec::new(),
    }
}

/// Number of requests sent to each instance, out of `requests`.
fn simulate(
    model: &str,
    behaviours: &[(&str, Behaviour)],
    requests: u64,
    seed: u64,
) -> BTreeMap<String, u64> {
    let mut random = Pcg32::seed_from_u64(seed);
    let views: Vec<InstanceView> = behaviours.iter().map(|(id, _)| view(id, model)).collect();
    let behaviours: BTreeMap<&str, Behaviour> = behaviours.iter().copied().collect();
    let mut selector = Selector::new(Zone::from("z"));
    let mut sent = BTreeMap::new();
    let mut answers: Vec<(u64, Candidate)> = Vec::new();
    let shape = PromptShape {
        model: model.to_owned(),
        prompt_tokens: 600,
        ..PromptShape::default()
    };
    for number in 0..requests {
        let now = number * STEP;
        for (at, candidate) in answers.extract_if(.., |(at, _)| *at <= now) {
            let at = Timestamp::at(at);
            let failed = match behaviours[candidate.instance.as_str()] {
                Behaviour::Fails(percent) => random.next_u32() % 100 < percent,
                Behaviour::Healthy | Behaviour::Unresponsive => false,
            };
            if failed {
                selector.suspect(&candidate.instance, at);
            }
            selector.first_answer(&candidate, Millis(ANSWER), !failed);
            selector.end(&candidate, true);
        }
        let now = Timestamp::at(now);
        let chosen = selector.choose(&shape, views.iter(), &[], LIMIT, now);
        let chosen = chosen.expect("some instance");
        selector.begin(&chosen, &shape, now);
        *sent.entry(chosen.instance.0.clone()).or_default() += 1;
        if behaviours[chosen.instance.as_str()] != Behaviour::Unresponsive {
            answers.push((number * STEP + ANSWER, chosen));
        }
    }
    sent
}

#[test]
fn an_instance_with_failures_gets_few_requests() {
    for (model, seed) in [("m", 1), ("m", 2), ("", 3), ("", 4)] {
        let behaviours = [
            ("a", Behaviour::Fails(45)),
            ("b", Behaviour::Healthy),
            ("c", Behaviour::Healthy),
        ];
        let sent = simulate(model, &behaviours, 400, seed);
        let failing = sent.get("a").copied().unwrap_or_default();
        assert!(
            failing <= 16,
            "{failing} of 400 requests went to the failing instance: {sent:?}"
        );
    }
}

#[test]
fn an_unresponsive_instance_gets_few_requests_before_any_deadline() {
    let behaviours = [
        ("a", Behaviour::Unresponsive),
        ("b", Behaviour::Healthy),
        ("c", Behaviour::Healthy),
    ];
    for model in ["m", ""] {
        let sent = simulate(model, &behaviours, 60, 5);
        let unresponsive = sent.get("a").copied().unwrap_or_default();
        assert!(
            unresponsive <= 5,
            "{unresponsive} of 60 requests went to the unresponsive instance: {sent:?}"
        );
    }
}

#[test]
fn failures_of_all_instances_shift_no_load_to_one() {
    for seed in 0..5 {
        let behaviours = ["a", "b", "c", "d"].map(|id| (id, Behaviour::Fails(14)));
        let sent = simulate("", &behaviours, 1_000, seed);
        let most = sent.values().max().copied().unwrap_or_default();
        assert!(most <= 450, "seed {seed}: {sent:?}");
    }
}
