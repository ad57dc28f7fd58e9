//! Instances that fail a part of their requests, or answer nothing at all.

use courseshunt_services::{
    Candidate, InstanceState, InstanceView, PromptShape, ResidentModel, Selector,
};
use courseshunt_types::{Millis, ModelName, RunnerId, Timestamp, Zone};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Time between requests.
const STEP: u64 = 50;
/// Time until an instance's first answer.
const ANSWER: u64 = 30;
const LIMIT: u32 = 50;

/// What an instance does with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Conduct {
    Good,
    /// Fails so many of a hundred.
    Fails(u32),
    Mute,
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

/// Requests that went to each instance, out of `requests`.
fn play(
    model: &str,
    conducts: &[(&str, Conduct)],
    requests: u64,
    seed: u64,
) -> BTreeMap<String, u64> {
    let mut random = Pcg32::seed_from_u64(seed);
    let views: Vec<InstanceView> = conducts.iter().map(|(id, _)| view(id, model)).collect();
    let conducts: BTreeMap<&str, Conduct> = conducts.iter().copied().collect();
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
            let failed = match conducts[candidate.instance.as_str()] {
                Conduct::Fails(part) => random.next_u32() % 100 < part,
                Conduct::Good | Conduct::Mute => false,
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
        if conducts[chosen.instance.as_str()] != Conduct::Mute {
            answers.push((number * STEP + ANSWER, chosen));
        }
    }
    sent
}

#[test]
fn an_instance_that_fails_a_part_of_its_requests_gets_few() {
    for (model, seed) in [("m", 1), ("m", 2), ("", 3), ("", 4)] {
        let conducts = [
            ("a", Conduct::Fails(45)),
            ("b", Conduct::Good),
            ("c", Conduct::Good),
        ];
        let sent = play(model, &conducts, 400, seed);
        let failing = sent.get("a").copied().unwrap_or_default();
        assert!(failing <= 16, "{failing} of 400 go to it: {sent:?}");
    }
}

#[test]
fn an_instance_that_answers_nothing_gets_few_before_any_deadline() {
    let conducts = [
        ("a", Conduct::Mute),
        ("b", Conduct::Good),
        ("c", Conduct::Good),
    ];
    for model in ["m", ""] {
        let sent = play(model, &conducts, 60, 5);
        let mute = sent.get("a").copied().unwrap_or_default();
        assert!(mute <= 5, "{mute} of 60 go to it: {sent:?}");
    }
}

#[test]
fn failures_that_all_share_move_no_load_to_one() {
    for seed in 0..5 {
        let conducts = ["a", "b", "c", "d"].map(|id| (id, Conduct::Fails(14)));
        let sent = play("", &conducts, 1_000, seed);
        let most = sent.values().max().copied().unwrap_or_default();
        assert!(most <= 450, "seed {seed}: {sent:?}");
    }
}
