//! Rate limits that instances report: which report is in force, when routers may send, and the sum
//! over all routers.

use courseshunt_services::limit::BURST_S;
use courseshunt_services::{
    LimitChange, LimitLedger, LimitQuery, LimitReport, LimitStep, LimitVerdict, RequestRate,
    RouterLimits,
};
use courseshunt_types::{Millis, RunnerId, Timestamp};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng as _, SeedableRng};

/// Limits are checked over every span of this length.
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

fn report(reported: Option<RequestRate>, age: u64) -> LimitReport {
    LimitReport {
        instance: instance(),
        rate: reported,
        age: Millis(age),
    }
}

fn query(reported: f64, age: u64, max_wait: u64) -> LimitQuery {
    LimitQuery {
        number: 1,
        report: report(Some(rate(reported)), age),
        max_wait: Millis(max_wait),
    }
}

/// Largest number of these times in any span.
fn max_in_a_span(sent: &[i64]) -> usize {
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
fn an_overtaken_answer_removes_no_limit() {
    let mut limits = RouterLimits::new(0.0);
    let reported = limits.observe(&instance(), Some(rate(2.0)), at(10), at(100));
    assert_eq!(reported, LimitChange::Reported(rate(2.0)));
    // The request was sent before the limit was received, so its answer may be older as well.
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
fn a_limit_that_changes_with_each_answer_is_the_newest_one() {
    let mut limits = RouterLimits::new(0.0);
    for (number, per_second) in [1.0, 7.5, 0.0, 3.0].into_iter().enumerate() {
        let now = at(number as i64 * 10);
        let news = limits.observe(&instance(), Some(rate(per_second)), now, now);
        assert_eq!(news, LimitChange::Reported(rate(per_second)));
        assert_eq!(limits.limit_of(&instance()), Some(rate(per_second)));
    }
}

#[test]
fn a_router_applies_published_reports_only_if_they_are_newer_than_its_own() {
    let mut limits = RouterLimits::new(0.0);
    let changed = limits.apply_leader_reports(&[report(Some(rate(1.0)), 50)], at(1_000));
    assert_eq!(changed.len(), 1, "the router had no report of its own");
    assert_eq!(
        limits.observe(&instance(), None, at(1_000), at(1_010)),
        LimitChange::Removed
    );
    assert!(
        limits
            .apply_leader_reports(&[report(Some(rate(1.0)), 60)], at(1_040))
            .is_empty()
    );
    assert_eq!(limits.limit_of(&instance()), None);
    assert_eq!(
        limits
            .apply_leader_reports(&[report(Some(rate(2.0)), 5)], at(1_040))
            .len(),
        1
    );
    assert_eq!(limits.limit_of(&instance()), Some(rate(2.0)));
    // The removal of a limit that this router never received is no change.
    let other = LimitReport {
        instance: RunnerId::from("i-2"),
        rate: None,
        age: Millis(0),
    };
    assert!(limits.apply_leader_reports(&[other], at(1_050)).is_empty());
}

#[test]
fn each_report_is_sent_once_to_every_leader() {
    let mut limits = RouterLimits::new(0.0);
    limits.observe(&instance(), Some(rate(1.0)), at(0), at(100));
    assert_eq!(
        limits.take_unreported(at(130)),
        [report(Some(rate(1.0)), 30)]
    );
    assert!(limits.take_unreported(at(140)).is_empty());
    limits.observe(&instance(), Some(rate(1.0)), at(120), at(150));
    assert!(
        limits.take_unreported(at(160)).is_empty(),
        "an unchanged limit is reported once"
    );
    limits.mark_all_unreported();
    assert_eq!(
        limits.take_unreported(at(160)),
        [report(Some(rate(1.0)), 10)]
    );
}

#[test]
fn waiting_requests_get_time_slots_in_the_order_of_their_queries() {
    let mut ledger = LimitLedger::default();
    let granted = |after| LimitVerdict::Granted {
        after: Millis(after),
    };
    for _ in 0..2 {
        assert_eq!(ledger.decide(&query(2.0, 0, 0), at(0)), granted(0));
    }
    assert_eq!(
        ledger.decide(&query(2.0, 0, 100), at(0)),
        LimitVerdict::Refused {
            fits_after: Millis(500)
        },
        "a request that cannot wait is refused, with the time after which it fits"
    );
    assert_eq!(ledger.decide(&query(2.0, 0, 900), at(0)), granted(500));
    assert_eq!(
        ledger.decide(&query(2.0, 0, 900), at(0)),
        LimitVerdict::Refused {
            fits_after: Millis(1_000)
        },
    );
    assert_eq!(ledger.decide(&query(2.0, 0, 1_100), at(0)), granted(1_000));
}

/// A router's own time slot may be minutes away, while a leader may be available again after a
/// moment, or was only slow.
#[test]
fn a_refusal_without_a_leader_does_not_block_queries_to_the_next_leader() {
    let refused = || {
        let mut limits = RouterLimits::new(0.5);
        limits.set_routers(340);
        limits.observe(&instance(), Some(rate(1.0)), at(0), at(0));
        let step = limits.step(&instance(), NOW, false, at(1_000));
        let LimitStep::Refuse { fits_after } = step else {
            panic!("the time slot should be later: {step:?}");
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
fn an_instance_with_limit_zero_is_tried_periodically() {
    let mut ledger = LimitLedger::default();
    let mut granted = 0;
    for second in 0..60 {
        let verdict = ledger.decide(&query(0.0, 0, 0), at(second * 1_000));
        granted += i32::from(matches!(verdict, LimitVerdict::Granted { .. }));
    }
    assert_eq!(
        granted, 7,
        "without these requests, the end of the limit would not be detected"
    );
}

#[test]
fn a_removed_limit_is_published_for_some_time_and_not_restored_by_older_reports() {
    let mut ledger = LimitLedger::default();
    assert!(ledger.note(&report(Some(rate(1.0)), 0), at(1_000)));
    assert!(ledger.note(&report(None, 0), at(2_000)));
    assert!(!ledger.note(&report(Some(rate(1.0)), 500), at(2_100)));
    assert_eq!(ledger.reports(at(2_100)), [report(None, 100)]);
    ledger.retain(|_| true, at(13_000));
    assert!(ledger.reports(at(13_000)).is_empty());
}

/// Covers a leader that grants requests, its successor, and routers without contact to both.
#[test]
fn the_sum_over_all_routers_stays_within_the_limit_also_without_a_leader() {
    for routers in [1_usize, 7, 340] {
        for per_second in [0.25, 1.0, 2.5, 20.0, 400.0] {
            for seed in 0..4 {
                let max_sent = simulate_max_sent(routers, per_second, seed);
                let allowed = allowed(per_second);
                assert!(
                    max_sent <= allowed,
                    "{routers} routers, {per_second} a second, seed {seed}: {max_sent} of {allowed}"
                );
            }
        }
    }
}

/// Requests that a leader, elected at `elected`, grants in one second to routers that query it
/// for as long as it grants, each 100 ms.
fn grants_of_leader(elected: i64, per_second: f64) -> Vec<i64> {
    let mut ledger = LimitLedger::of_elected(at(elected));
    // The instance's reply to a question of the leader itself renews the age of its limit.
    ledger.note(&report(Some(rate(per_second)), 0), at(elected + 10));
    let mut grants = Vec::new();
    for now in (elected + 20..elected + 1_000).step_by(100) {
        while is_granted(ledger.decide(&query(per_second, 2_000, 0), at(now))) {
            grants.push(now);
        }
    }
    grants
}

fn is_granted(verdict: LimitVerdict) -> bool {
    matches!(verdict, LimitVerdict::Granted { .. })
}

/// Each leader of a series granted a full account: two requests at once.
#[test]
fn leaders_in_series_grant_no_more_than_one_leader() {
    for per_second in [0.0, 0.5, 1.0, 2.5, 6.0, 20.0, 400.0] {
        let elections = (0..10_000).step_by(1_000);
        let sent: Vec<i64> = elections
            .flat_map(|elected| grants_of_leader(elected, per_second))
            .collect();
        let (max_sent, allowed) = (max_in_a_span(&sent), max_of_one_leader(per_second));
        assert!(
            max_sent <= allowed,
            "{per_second} a second: {max_sent} of {allowed}"
        );
    }
}

/// Most requests that one leader grants in any span.
fn max_of_one_leader(per_second: f64) -> usize {
    let granted_per_second = rate(per_second).granted_per_second();
    let capacity = (granted_per_second * BURST_S).max(2.0);
    (granted_per_second * SPAN_MS as f64 / 1_000.0 + capacity) as usize
}

/// Without a request, the end of the limit would not be detected.
#[test]
fn a_new_leader_tries_an_instance_with_limit_zero_ten_seconds_after_its_election() {
    let mut ledger = LimitLedger::of_elected(at(0));
    let refused = LimitVerdict::Refused {
        fits_after: Millis(6_000),
    };
    assert_eq!(ledger.decide(&query(0.0, 0, 0), at(4_000)), refused);
    assert!(is_granted(ledger.decide(&query(0.0, 0, 0), at(10_000))));
}

#[test]
fn a_limit_that_is_first_named_long_after_the_election_has_a_full_account() {
    let mut ledger = LimitLedger::of_elected(at(0));
    for _ in 0..2 {
        assert!(is_granted(ledger.decide(&query(1.0, 0, 0), at(2_000))));
    }
    assert!(!is_granted(ledger.decide(&query(1.0, 0, 0), at(2_000))));
}

/// A uniformly distributed random number in [0, 1).
fn uniform(random: &mut Pcg64) -> f64 {
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Largest number of requests sent in any span. All routers have requests all the time; a third of
/// the routers has no leader, and later no router has one.
fn simulate_max_sent(routers: usize, per_second: f64, seed: u64) -> usize {
    let mut random = Pcg64::seed_from_u64(seed);
    let count = u32::try_from(routers).expect("few");
    let mut fleet: Vec<RouterLimits> = (0..routers)
        .map(|_| {
            let mut limits = RouterLimits::new(uniform(&mut random));
            limits.set_routers(count);
            limits.observe(&instance(), Some(rate(per_second)), at(0), at(0));
            limits
        })
        .collect();
    let mut ledger = LimitLedger::default();
    let mut sent = Vec::new();
    for now in 0..40_000_i64 {
        if now == 10_000 {
            // Another leader, which has no reports.
            ledger = LimitLedger::default();
        }
        let attempts = 1 + routers / 40;
        for _ in 0..attempts {
            let number = (uniform(&mut random) * routers as f64) as usize;
            let led = now < 20_000 && !number.is_multiple_of(3);
            let router = &mut fleet[number];
            if router.blocked_for(&instance(), at(now)).is_some() {
                continue;
            }
            match router.step(&instance(), NOW, led, at(now)) {
                LimitStep::LocalShare { .. } => sent.push(now),
                LimitStep::Query(report) => {
                    let query = LimitQuery {
                        number: 1,
                        report,
                        max_wait: NOW,
                    };
                    let verdict = ledger.decide(&query, at(now));
                    router.finish_query(&instance(), Some(verdict), at(now));
                    if matches!(verdict, LimitVerdict::Granted { .. }) {
                        sent.push(now);
                    }
                }
                _ => {}
            }
        }
    }
    max_in_a_span(&sent)
}
