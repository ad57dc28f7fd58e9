//! Limits that instances name: whose word holds, who may send when, and the sum over routers.

use courseshunt_services::{
    LimitChange, LimitLedger, LimitQuery, LimitReport, LimitStep, LimitVerdict, RequestRate,
    RouterLimits,
};
use courseshunt_types::{Millis, RunnerId, Timestamp};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng as _, SeedableRng};

/// A limit is judged over any span of this length.
const SPAN_MS: i64 = 4_000;
const NOW: Millis = Millis(0);

fn instance() -> RunnerId {
    RunnerId::from("i-1")
}

fn at(milliseconds: i64) -> Timestamp {
    Timestamp(milliseconds)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

fn word(named: Option<RequestRate>, age: u64) -> LimitReport {
    LimitReport {
        instance: instance(),
        rate: named,
        age: Millis(age),
    }
}

fn ask(named: f64, age: u64, patience: u64) -> LimitQuery {
    LimitQuery {
        number: 1,
        report: word(Some(rate(named)), age),
        max_wait: Millis(patience),
    }
}

/// Most of these moments in any span.
fn most_in_a_span(sent: &[i64]) -> usize {
    let spans = sent.iter().map(|begin| {
        let within = sent
            .iter()
            .filter(|at| (*begin..begin + SPAN_MS).contains(*at));
        within.count()
    });
    spans.max().unwrap_or(0)
}

fn allowed(per_second: f64) -> usize {
    (per_second * SPAN_MS as f64 / 1_000.0 * 1.5 + 5.0) as usize
}

#[test]
fn an_answer_that_was_overtaken_ends_no_limit() {
    let mut limits = RouterLimits::new(0.0);
    let named = limits.observe(&instance(), Some(rate(2.0)), at(10), at(100));
    assert_eq!(named, LimitChange::Reported(rate(2.0)));
    // Asked before the word was heard: it may have been answered before that, too.
    assert_eq!(
        limits.observe(&instance(), None, at(90), at(120)),
        LimitChange::None
    );
    assert_eq!(limits.limit_of(&instance()), Some(rate(2.0)));
    assert_eq!(
        limits.observe(&instance(), None, at(100), at(130)),
        LimitChange::Removed
    );
    assert_eq!(limits.limit_of(&instance()), None);
    assert_eq!(
        limits.step(&instance(), NOW, true, at(131)),
        LimitStep::Unlimited
    );
    assert_eq!(
        limits.observe(&instance(), None, at(140), at(150)),
        LimitChange::None
    );
}

#[test]
fn a_number_that_changes_with_each_answer_is_the_last_one() {
    let mut limits = RouterLimits::new(0.0);
    for (number, per_second) in [1.0, 7.5, 0.0, 3.0].into_iter().enumerate() {
        let now = at(number as i64 * 10);
        let news = limits.observe(&instance(), Some(rate(per_second)), now, now);
        assert_eq!(news, LimitChange::Reported(rate(per_second)));
        assert_eq!(limits.limit_of(&instance()), Some(rate(per_second)));
    }
}

#[test]
fn a_router_takes_the_leaders_word_only_if_it_is_newer_than_its_own() {
    let mut limits = RouterLimits::new(0.0);
    let told = limits.apply_leader_reports(&[word(Some(rate(1.0)), 50)], at(1_000));
    assert_eq!(told.len(), 1, "it had heard nothing itself");
    assert_eq!(
        limits.observe(&instance(), None, at(1_000), at(1_010)),
        LimitChange::Removed
    );
    assert!(
        limits
            .apply_leader_reports(&[word(Some(rate(1.0)), 60)], at(1_040))
            .is_empty()
    );
    assert_eq!(limits.limit_of(&instance()), None);
    assert_eq!(
        limits
            .apply_leader_reports(&[word(Some(rate(2.0)), 5)], at(1_040))
            .len(),
        1
    );
    assert_eq!(limits.limit_of(&instance()), Some(rate(2.0)));
    // The end of a limit of which this router has heard nothing is no news.
    let other = LimitReport {
        instance: RunnerId::from("i-2"),
        rate: None,
        age: Millis(0),
    };
    assert!(limits.apply_leader_reports(&[other], at(1_050)).is_empty());
}

#[test]
fn the_leader_is_told_each_word_once_and_the_next_leader_anew() {
    let mut limits = RouterLimits::new(0.0);
    limits.observe(&instance(), Some(rate(1.0)), at(0), at(100));
    assert_eq!(limits.take_unreported(at(130)), [word(Some(rate(1.0)), 30)]);
    assert!(limits.take_unreported(at(140)).is_empty());
    limits.observe(&instance(), Some(rate(1.0)), at(120), at(150));
    assert!(limits.take_unreported(at(160)).is_empty(), "the same again");
    limits.mark_all_unreported();
    assert_eq!(limits.take_unreported(at(160)), [word(Some(rate(1.0)), 10)]);
}

#[test]
fn requests_that_wait_have_their_turns_in_the_order_in_which_they_asked() {
    let mut ledger = LimitLedger::default();
    let granted = |after| LimitVerdict::Granted {
        after: Millis(after),
    };
    for _ in 0..2 {
        assert_eq!(ledger.decide(&ask(2.0, 0, 0), at(0)), granted(0));
    }
    assert_eq!(
        ledger.decide(&ask(2.0, 0, 100), at(0)),
        LimitVerdict::Refused {
            fits_after: Millis(500)
        },
        "at once, with the time"
    );
    assert_eq!(ledger.decide(&ask(2.0, 0, 900), at(0)), granted(500));
    assert_eq!(
        ledger.decide(&ask(2.0, 0, 900), at(0)),
        LimitVerdict::Refused {
            fits_after: Millis(1_000)
        },
    );
    assert_eq!(ledger.decide(&ask(2.0, 0, 1_100), at(0)), granted(1_000));
}

/// Its own turn may be minutes away; a leader is back in a moment, or has only been slow.
#[test]
fn a_refusal_without_a_leader_keeps_nobody_from_asking_the_next_one() {
    let refused = || {
        let mut limits = RouterLimits::new(0.5);
        limits.set_routers(340);
        limits.observe(&instance(), Some(rate(1.0)), at(0), at(0));
        let step = limits.step(&instance(), NOW, false, at(1_000));
        let LimitStep::Refuse { fits_after } = step else {
            panic!("its turn is later: {step:?}");
        };
        assert!(fits_after > Millis(60_000), "{fits_after:?}");
        let expected = limits.blocked_for(&instance(), at(1_001));
        assert!(expected > Some(Millis(60_000)), "{expected:?}");
        limits
    };
    let slow = refused();
    assert_eq!(slow.blocked_for(&instance(), at(1_600)), None);
    let mut back = refused();
    back.mark_all_unreported();
    assert_eq!(back.blocked_for(&instance(), at(1_001)), None);
}

#[test]
fn an_instance_that_names_zero_is_tried_now_and_then() {
    let mut ledger = LimitLedger::default();
    let mut tried = 0;
    for second in 0..60 {
        let verdict = ledger.decide(&ask(0.0, 0, 0), at(second * 1_000));
        tried += i32::from(matches!(verdict, LimitVerdict::Granted { .. }));
    }
    assert_eq!(
        tried, 7,
        "else nobody would learn that it takes requests again"
    );
}

#[test]
fn the_end_of_a_limit_is_told_for_a_while_and_an_older_word_does_not_bring_it_back() {
    let mut ledger = LimitLedger::default();
    assert!(ledger.note(&word(Some(rate(1.0)), 0), at(1_000)));
    assert!(ledger.note(&word(None, 0), at(2_000)));
    assert!(!ledger.note(&word(Some(rate(1.0)), 500), at(2_100)));
    assert_eq!(ledger.reports(at(2_100)), [word(None, 100)]);
    ledger.retain(|_| true, at(13_000));
    assert!(ledger.reports(at(13_000)).is_empty());
}

/// A leader that grants, its successor, and routers that are cut off from both.
#[test]
fn the_sum_over_all_routers_stays_within_the_limit_also_without_a_leader() {
    for routers in [1_usize, 7, 340] {
        for per_second in [0.25, 1.0, 2.5, 20.0, 400.0] {
            for seed in 0..4 {
                let most = most_sent(routers, per_second, seed);
                let allowed = allowed(per_second);
                assert!(
                    most <= allowed,
                    "{routers} routers, {per_second} a second, seed {seed}: {most} of {allowed}"
                );
            }
        }
    }
}

/// From 0 to 1, evenly.
fn even(random: &mut Pcg64) -> f64 {
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Requests come everywhere all the time; a third of the routers has no leader, later none has.
fn most_sent(routers: usize, per_second: f64, seed: u64) -> usize {
    let mut random = Pcg64::seed_from_u64(seed);
    let count = u32::try_from(routers).expect("few");
    let mut fleet: Vec<RouterLimits> = (0..routers)
        .map(|_| {
            let mut limits = RouterLimits::new(even(&mut random));
            limits.set_routers(count);
            limits.observe(&instance(), Some(rate(per_second)), at(0), at(0));
            limits
        })
        .collect();
    let mut ledger = LimitLedger::default();
    let mut sent = Vec::new();
    for now in 0..40_000_i64 {
        if now == 10_000 {
            // Another leader, which knows nothing.
            ledger = LimitLedger::default();
        }
        let tries = 1 + routers / 40;
        for _ in 0..tries {
            let number = (even(&mut random) * routers as f64) as usize;
            let led = now < 20_000 && !number.is_multiple_of(3);
            let router = &mut fleet[number];
            if router.blocked_for(&instance(), at(now)).is_some() {
                continue;
            }
            match router.step(&instance(), NOW, led, at(now)) {
                LimitStep::LocalShare { .. } => sent.push(now),
                LimitStep::Query(word) => {
                    let ask = LimitQuery {
                        number: 1,
                        report: word,
                        max_wait: NOW,
                    };
                    let verdict = ledger.decide(&ask, at(now));
                    router.finish_query(&instance(), Some(verdict), at(now));
                    if matches!(verdict, LimitVerdict::Granted { .. }) {
                        sent.push(now);
                    }
                }
                _ => {}
            }
        }
    }
    most_in_a_span(&sent)
}
