//! Contract of the choice of a runner, in tables and in virtual time.

use courseshunt_balance::health::{
    DRAINING_HOLD, EJECTION_FAILURES, FIRST_EJECTION, SLOW_SAMPLES, SLOW_START,
};
use courseshunt_balance::{Balancer, ChoiceMode};
use courseshunt_queue::{AdmissionFailure, AttemptOutcome, RunnerChoice, SlotTable, Ticket};
use courseshunt_types::{Millis, PriorityClass, RunnerId, Timestamp};
use proptest::prelude::*;
use std::collections::BTreeMap;

const SLOTS: u32 = 8;
/// Long after the slow start of all runners.
const NOW: Timestamp = Timestamp(1_000_000);

fn ticket(prefix_hashes: &[u64], avoid: &[&str]) -> Ticket {
    Ticket {
        request: "request".into(),
        holder: "router-a".into(),
        deployment: "agro-llm".into(),
        adapter: None,
        tenant: "souss".into(),
        class: PriorityClass::Interactive,
        deadline_in: Millis(60_000),
        waited: Millis(0),
        prefix_hashes: prefix_hashes.to_vec(),
        prompt_tokens: 256,
        max_tokens: 100,
        avoid: avoid.iter().map(|one| RunnerId::from(*one)).collect(),
    }
}

/// Runners with requests running on them, known for long.
fn site(running: &[(&str, u32)], mode: ChoiceMode) -> (Balancer, SlotTable) {
    let mut balancer = Balancer::new(mode, 7);
    let names: Vec<RunnerId> = running.iter().map(|(name, _)| (*name).into()).collect();
    balancer.set_runners(&names, Timestamp(0));
    let mut slots = SlotTable::default();
    slots.set_replicas(names.iter().map(|name| (name.clone(), SLOTS)));
    for (name, count) in running {
        for _ in 0..*count {
            let holder = "router-a".into();
            slots.take(&(*name).into(), &holder, NOW, Millis(u64::MAX));
        }
    }
    (balancer, slots)
}

fn fail(balancer: &mut Balancer, runner: &str, times: u32) {
    for _ in 0..times {
        balancer.observe(&runner.into(), AttemptOutcome::Failed, NOW);
    }
}

fn done(first_byte: u64) -> AttemptOutcome {
    AttemptOutcome::Done {
        first_byte: Millis(first_byte),
        total: Millis(first_byte * 2),
    }
}

/// Stores the first `blocks` blocks of the prompt at a runner.
fn store(balancer: &mut Balancer, runner: &str, first_sequence: u64, blocks: u64) {
    for block in 0..blocks {
        let sequence = first_sequence + block;
        balancer
            .prefixes_mut()
            .event(&runner.into(), sequence, block, true);
    }
}

struct Case {
    name: &'static str,
    running: &'static [(&'static str, u32)],
    prepare: fn(&mut Balancer),
    prompt: &'static [u64],
    avoid: &'static [&'static str],
    at: Timestamp,
    expected: Option<&'static str>,
}

const PROMPT: &[u64] = &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15];

const fn case(name: &'static str, running: &'static [(&'static str, u32)]) -> Case {
    Case {
        name,
        running,
        prepare: |_| {},
        prompt: &[],
        avoid: &[],
        at: NOW,
        expected: None,
    }
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            expected: Some("b"),
            ..case("the least loaded", &[("a", 3), ("b", 1), ("c", 2)])
        },
        Case {
            prepare: |balancer| store(balancer, "a", 1, 16),
            prompt: PROMPT,
            expected: Some("a"),
            ..case(
                "the longest prefix at nearly equal load",
                &[("a", 1), ("b", 0)],
            )
        },
        Case {
            prepare: |balancer| store(balancer, "a", 1, 16),
            prompt: PROMPT,
            expected: Some("b"),
            ..case("another that finishes earlier", &[("a", 7), ("b", 0)])
        },
        Case {
            prepare: |balancer| {
                store(balancer, "a", 1, 16);
                // Events were lost; what is known of `a` is doubtful.
                balancer.prefixes_mut().event(&"a".into(), 40, 999, true);
                store(balancer, "b", 1, 16);
            },
            prompt: PROMPT,
            expected: Some("b"),
            ..case("a sure prefix before a doubtful one", &[("a", 0), ("b", 0)])
        },
        Case {
            prepare: |balancer| {
                store(balancer, "a", 1, 16);
                balancer.prefixes_mut().event(&"a".into(), 17, 0, false);
                store(balancer, "b", 1, 2);
            },
            prompt: PROMPT,
            expected: Some("b"),
            ..case("no prefix without its first block", &[("a", 0), ("b", 0)])
        },
        Case {
            avoid: &["b"],
            expected: Some("a"),
            ..case("another than the one that failed", &[("a", 7), ("b", 0)])
        },
        Case {
            avoid: &["a", "b"],
            expected: Some("b"),
            ..case("one that failed, when all did", &[("a", 7), ("b", 0)])
        },
        Case {
            prepare: |balancer| fail(balancer, "b", EJECTION_FAILURES),
            expected: Some("a"),
            ..case("no ejected runner", &[("a", 5), ("b", 0)])
        },
        Case {
            prepare: |balancer| fail(balancer, "b", EJECTION_FAILURES - 1),
            expected: Some("b"),
            ..case("few failures do not eject", &[("a", 5), ("b", 0)])
        },
        Case {
            prepare: |balancer| fail(balancer, "b", EJECTION_FAILURES),
            at: NOW + FIRST_EJECTION,
            expected: Some("b"),
            ..case("a probe when the ejection is over", &[("a", 0), ("b", 0)])
        },
        Case {
            prepare: |balancer| fail(balancer, "b", EJECTION_FAILURES),
            expected: None,
            ..case(
                "wait while one serves but is full",
                &[("a", SLOTS), ("b", 0)],
            )
        },
        Case {
            prepare: |balancer| {
                fail(balancer, "a", 10);
                fail(balancer, "b", 10);
            },
            expected: Some("b"),
            ..case("at most half are ejected", &[("a", 0), ("b", 0)])
        },
        Case {
            prepare: |balancer| {
                let refused = AttemptOutcome::NotAdmitted(AdmissionFailure::Draining);
                balancer.observe(&"b".into(), refused, NOW);
            },
            expected: None,
            ..case(
                "a draining refusal ends all new work",
                &[("a", SLOTS), ("b", 0)],
            )
        },
        Case {
            prepare: |balancer| {
                let refused = AttemptOutcome::NotAdmitted(AdmissionFailure::Draining);
                balancer.observe(&"b".into(), refused, NOW);
            },
            at: NOW + DRAINING_HOLD - Millis(1),
            expected: None,
            ..case("even when the platform's list lags 30 s", &[("b", 0)])
        },
        Case {
            prepare: |balancer| {
                for _ in 0..SLOW_SAMPLES {
                    balancer.observe(&"a".into(), done(50), NOW);
                    balancer.observe(&"b".into(), done(50), NOW);
                    balancer.observe(&"c".into(), done(500), NOW);
                }
            },
            expected: Some("a"),
            ..case(
                "no runner that is far slower",
                &[("a", 2), ("b", 4), ("c", 0)],
            )
        },
        Case {
            prepare: |balancer| {
                let refused = AttemptOutcome::NotAdmitted(AdmissionFailure::Busy);
                for _ in 0..10 {
                    balancer.observe(&"b".into(), refused, NOW);
                }
            },
            expected: Some("b"),
            ..case("a full engine is no failure", &[("a", 5), ("b", 0)])
        },
        Case {
            prepare: |balancer| {
                let names: Vec<RunnerId> = vec!["a".into(), "b".into()];
                balancer.set_runners(&names[..1], NOW);
                balancer.set_runners(&names, NOW);
            },
            expected: Some("a"),
            ..case("slow start of a fresh runner", &[("a", 2), ("b", 1)])
        },
        Case {
            prepare: |balancer| balancer.reported(&"b".into(), 0),
            expected: Some("b"),
            ..case(
                "no report counts more than the own slots",
                &[("a", 3), ("b", 1)],
            )
        },
    ]
}

#[test]
fn the_choice_in_each_case() {
    for case in cases() {
        let (mut balancer, slots) = site(case.running, ChoiceMode::Exact);
        (case.prepare)(&mut balancer);
        let ticket = ticket(case.prompt, case.avoid);
        let chosen = balancer.choose(&ticket, &slots, case.at);
        let expected = case.expected.map(RunnerId::from);
        assert_eq!(chosen, expected, "{}", case.name);
    }
}

/// A word of rest is noted at the millisecond that has begun, so that its end lies up to one
/// later than the clock's sum tells.
#[test]
fn a_runner_rests_its_whole_time_wherever_in_a_millisecond_it_asked() {
    const REST: Millis = Millis(3_000);
    let (mut balancer, slots) = site(&[("b", 0)], ChoiceMode::Exact);
    let refused = AttemptOutcome::NotAdmitted(AdmissionFailure::Resting(REST));
    balancer.observe(&"b".into(), refused, NOW);
    let ticket = ticket(&[], &[]);
    assert_eq!(balancer.choose(&ticket, &slots, NOW + REST), None);
    let after = NOW + REST + Millis(1);
    assert_eq!(balancer.choose(&ticket, &slots, after), Some("b".into()));
}

#[test]
fn an_ejected_runner_returns_by_one_probe() {
    let (mut balancer, slots) = site(&[("a", 1), ("b", 0)], ChoiceMode::Exact);
    fail(&mut balancer, "b", EJECTION_FAILURES);
    let later = NOW + FIRST_EJECTION;
    let choose = |balancer: &mut Balancer, at| balancer.choose(&ticket(&[], &[]), &slots, at);
    assert_eq!(choose(&mut balancer, later), Some("b".into()), "the probe");
    assert_eq!(
        choose(&mut balancer, later),
        Some("a".into()),
        "one at a time"
    );
    balancer.observe(&"b".into(), AttemptOutcome::Failed, later);
    let twice = later + FIRST_EJECTION;
    assert_eq!(
        choose(&mut balancer, twice),
        Some("a".into()),
        "twice as long"
    );
    let again = twice + FIRST_EJECTION;
    assert_eq!(choose(&mut balancer, again), Some("b".into()));
    balancer.observe(&"b".into(), done(10), again);
    assert_eq!(balancer.ejected(), 0);
    assert_eq!(balancer.counts().returns, 1);
}

#[test]
fn a_prompt_goes_where_its_prefix_went_before() {
    let (mut balancer, slots) = site(&[("a", 0), ("b", 0), ("c", 0)], ChoiceMode::Exact);
    let first = balancer.choose(&ticket(PROMPT, &[]), &slots, NOW);
    let other = balancer.choose(&ticket(&[77, 78], &[]), &slots, NOW);
    for _ in 0..5 {
        let again = balancer.choose(&ticket(PROMPT, &[]), &slots, NOW);
        assert_eq!(again, first, "no event has told it, but it was sent there");
    }
    assert!(other.is_some());
}

proptest! {
    #[test]
    fn only_runners_with_free_slots_that_do_not_drain(
        running in prop::collection::vec(0..=SLOTS, 1..8),
        events in prop::collection::vec((0_usize..8, 0_u8..5), 0..60),
        lagged: bool,
    ) {
        let names: Vec<String> = (0..running.len()).map(|number| format!("r{number}")).collect();
        let site_of: Vec<(&str, u32)> =
            names.iter().map(String::as_str).zip(running.iter().copied()).collect();
        let mode = if lagged { ChoiceMode::Lagged } else { ChoiceMode::Exact };
        let (mut balancer, slots) = site(&site_of, mode);
        let mut drains: BTreeMap<RunnerId, bool> = BTreeMap::new();
        for (number, event) in events {
            let runner: RunnerId = format!("r{}", number % running.len()).as_str().into();
            let outcome = match event {
                0 => AttemptOutcome::Failed,
                1 => done(10),
                2 => AttemptOutcome::Unused,
                3 => AttemptOutcome::NotAdmitted(AdmissionFailure::Unreachable),
                _ => {
                    drains.insert(runner.clone(), true);
                    AttemptOutcome::NotAdmitted(AdmissionFailure::Draining)
                }
            };
            balancer.observe(&runner, outcome, NOW);
        }
        let chosen = balancer.choose(&ticket(&[], &[]), &slots, NOW);
        let can = |one: &courseshunt_queue::ReplicaSlots| {
            one.free() > 0 && !drains.contains_key(&one.runner)
        };
        if let Some(chosen) = chosen {
            let replica = slots.replicas().find(|one| one.runner == chosen).unwrap();
            prop_assert!(can(replica));
        } else {
            // Nothing is chosen only while some runner that serves is full, or
            // none can serve.
            let full = slots.replicas().any(|one| one.free() == 0);
            prop_assert!(full || !slots.replicas().any(can));
        }
    }
}

#[test]
fn a_runner_that_asks_for_rest_gets_nothing_until_its_end() {
    let (mut balancer, slots) = site(&[("a", 0), ("b", 5)], ChoiceMode::Exact);
    let rest = Millis(3_000);
    for length in [rest, Millis(10)] {
        let failure = AdmissionFailure::Resting(length);
        balancer.observe(&"a".into(), AttemptOutcome::NotAdmitted(failure), NOW);
    }
    let ticket = ticket(&[], &[]);
    let chosen = |balancer: &mut Balancer, now| balancer.choose(&ticket, &slots, now);
    let last = NOW + rest - Millis(1);
    assert_eq!(chosen(&mut balancer, last), Some("b".into()));
    // It then begins as a fresh one does, and has its whole share later.
    let later = NOW + rest + SLOW_START;
    assert_eq!(chosen(&mut balancer, later), Some("a".into()));
}
