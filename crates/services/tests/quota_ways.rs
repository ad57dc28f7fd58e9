//! Ways to keep tenants' limits over a fleet, on the same requests in virtual time:
//! an equal part for each router, an admission by sums that are told, and the
//! leader's account that is asked once it is nearly empty.
//!
//! What counts: units above what is granted in any window, and units refused that were
//! within it.

mod quota_fleet;

use courseshunt_services::{Quota, QuotaSettings, QuotaUnit};
use courseshunt_types::Millis;
use quota_fleet::{Fleet, Load, Outcome, Way, play};

const SETTINGS: QuotaSettings = QuotaSettings {
    window: Millis(8_000),
    slack: 110_000.0,
    overshoot: 0.1,
};

/// Bound on units refused below the limit. What goes at once is a second's worth, so
/// that a tenant that sends six times its usual uses less in its first second than one
/// account without a pace would let it: 4 in 100 over the whole play.
const REFUSED_BELOW: f64 = 0.05;

fn quota(rate: f64) -> Quota {
    Quota {
        rate_per_second: rate,
        burst: rate,
        unit: QuotaUnit::Tokens { default_units: 200 },
    }
}

fn loads() -> Vec<(&'static str, Load)> {
    let large = quota(860_000.0);
    let small = quota(29_000.0);
    let calm = |quota: Quota| Load {
        quota,
        usual: 0.55,
        hot: 1.0,
    };
    let hot = |quota: Quota| Load {
        hot: 6.0,
        ..calm(quota)
    };
    vec![
        ("large, calm", calm(large)),
        ("small, calm", calm(small)),
        ("large, hot", hot(large)),
        ("small, hot", hot(small)),
    ]
}

fn worst(way: Way, fleet: Fleet, load: Load) -> Outcome {
    let outcomes = (1..=3).map(|seed| play(way, fleet, load, SETTINGS, seed));
    outcomes
        .reduce(|one, other| one.worst(other))
        .expect("some seeds")
}

#[test]
fn asking_near_the_limit_keeps_it_and_refuses_little_below_it() {
    for routers in [80, 300, 340] {
        for (name, load) in loads() {
            let found = worst(Way::AskNearLimit, Fleet::calm(routers), load);
            println!("{routers} routers, {name}: {found:?}");
            assert!(
                found.over_bound <= 0.0,
                "{routers}, {name}: the bound is broken: {found:?}"
            );
            assert!(
                found.over_allowance <= 0.02,
                "{routers}, {name}: above what is granted: {found:?}"
            );
            assert!(
                found.refused_below <= REFUSED_BELOW,
                "{routers}, {name}: refused below: {found:?}"
            );
        }
    }
}

/// The other ways miss one of the two marks.
#[test]
fn parts_and_sums_refuse_what_is_owed() {
    for routers in [80, 340] {
        for (name, load) in loads() {
            for way in [Way::EqualParts, Way::ToldSums] {
                let found = worst(way, Fleet::calm(routers), load);
                println!("{routers} routers, {name}, {way:?}: {found:?}");
            }
        }
        let (_, calm) = loads()[0];
        let parts = worst(Way::EqualParts, Fleet::calm(routers), calm);
        assert!(parts.refused_below > 0.02, "{routers}: {parts:?}");
        let (_, hot) = loads()[2];
        let sums = worst(Way::ToldSums, Fleet::calm(routers), hot);
        let misses = sums.refused_below > 0.02 || sums.over_bound > 0.0;
        assert!(misses, "{routers}: {sums:?}");
    }
}

/// A dead leader, a new one that knows nothing, lost routers, and a cut: the bound
/// holds over all routers.
#[test]
fn the_bound_holds_without_a_leader_and_behind_a_cut() {
    for routers in [80, 340] {
        for (name, load) in loads() {
            let fleets = [
                ("leader dies", Fleet::leader_dies(routers)),
                ("a quarter cut off", Fleet::part_cut_off(routers, 0.25)),
                ("half killed", Fleet::part_killed(routers, 0.5)),
            ];
            for (trouble, fleet) in fleets {
                let found = worst(Way::AskNearLimit, fleet, load);
                println!("{routers} routers, {name}, {trouble}: {found:?}");
                assert!(
                    found.over_bound <= 0.0,
                    "{routers}, {name}, {trouble}: {found:?}"
                );
            }
        }
    }
}
