//! The retry budget over a whole fleet, in virtual time: routers that start, end and lose contact,
//! and leaders that report too few routers.
//!
//! Invariant: in no window do all routers together send more retries than the users' rule allows.

mod retry_budget_simulation;

use courseshunt_services::RetryBudgetSettings;
use courseshunt_types::Millis;
use retry_budget_simulation::{Fleet, Outcome, Scenario, simulate};

const SEEDS: u64 = 200;
const SEEDS_OF_LARGE_FLEET: u64 = 10;

/// The settings of a site with eight routers.
const SMALL: Fleet = Fleet {
    routers: 8,
    requests_per_second: 66.0,
    failures_percent: 100,
    settings: RetryBudgetSettings {
        ratio: 0.2,
        slack: 56.0,
        window: Millis(10_000),
    },
};

/// The design size.
const LARGE: Fleet = Fleet {
    routers: 340,
    requests_per_second: 340.0,
    failures_percent: 100,
    settings: RetryBudgetSettings {
        ratio: 0.2,
        slack: 622.0,
        window: Millis(10_000),
    },
};

/// Asserts that no seed of a scenario exceeds the budget, in the small and in the large fleet.
fn assert_within_budget(scenario: Scenario) {
    for (fleet, seeds) in [(SMALL, SEEDS), (LARGE, SEEDS_OF_LARGE_FLEET)] {
        let outcomes = (0..seeds).map(|seed| (seed, simulate(fleet, scenario, seed)));
        let worst = outcomes.max_by(|one, other| one.1.max_used.total_cmp(&other.1.max_used));
        let (seed, Outcome { max_used, sent, .. }) = worst.expect("at least one seed");
        assert!(
            max_used <= 1.0,
            "{scenario:?}, {} routers, seed {seed}: {max_used:.2} of the budget, {sent} retries",
            fleet.routers
        );
        assert!(sent > 0, "{scenario:?}, seed {seed}: nothing was retried");
    }
}

/// A service received 352 arrivals beyond the first of their request where 313 were allowed: most
/// routers were killed three times in a window, and each new process had a full share.
#[test]
fn routers_that_restart_in_series_do_not_exceed_the_common_budget() {
    assert_within_budget(Scenario::RestartsInSeries);
}

/// Five routers each took the whole slack while the leader reported one router.
#[test]
fn routers_that_a_new_leader_does_not_count_yet_do_not_exceed_the_common_budget() {
    assert_within_budget(Scenario::LeaderChanges);
}

/// Routers that are cut off from the leader go on serving, and the others take their shares.
#[test]
fn routers_that_are_cut_off_do_not_exceed_the_common_budget() {
    assert_within_budget(Scenario::CutOff);
}

#[test]
fn all_disruptions_together_do_not_exceed_the_common_budget() {
    assert_within_budget(Scenario::Mixed);
}

/// Retries that wait for an instance were counted in the window in which they were allowed, and
/// sent together with those of a later window.
#[test]
fn retries_that_were_held_back_do_not_exceed_the_budget_when_they_are_sent() {
    assert_within_budget(Scenario::HeldBack);
}

#[test]
fn a_fleet_without_disruptions_uses_its_slack() {
    for fleet in [SMALL, LARGE] {
        let outcome = simulate(fleet, Scenario::Undisturbed, 1);
        assert!(outcome.max_used > 0.5, "{outcome:?}");
    }
}

/// Routers without a share of the slack still retry by the part that their own requests give.
#[test]
fn restarted_routers_retry_most_requests_while_few_fail() {
    let fleet = Fleet {
        failures_percent: 5,
        ..SMALL
    };
    for seed in 0..SEEDS {
        let outcome = simulate(fleet, Scenario::RestartsInSeries, seed);
        assert!(
            outcome.sent * 10 >= outcome.wanted * 8,
            "{seed}: {outcome:?}"
        );
    }
}
