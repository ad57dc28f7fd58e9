//! Planning rounds: models that requests wait for are planned soon, and planning takes a bounded
//! part of the leader's time.

use courseshunt_coordinator::plan_pace::{PlanPace, PlanRound};
use courseshunt_types::{Millis, Timestamp};

/// Durations of the rounds for a fleet of 20,000 instances on a third of a core, from
/// docs/CAPACITY.md.
const ALL_DURATION: Millis = Millis(280);
const URGENT_DURATION: Millis = Millis(30);
const MAX_PLANNING_DELAY: Millis = Millis(200);
const SIMULATED_TIME: Timestamp = Timestamp(60_000);
const STEP: Millis = Millis(5);

/// Total time of all rounds, and the longest time from a request that begins to wait to the end of
/// the next round.
#[derive(Debug, Default)]
struct Outcome {
    planning: Millis,
    longest_delay: Millis,
}

/// Simulates a minute in which a request begins to wait at each interval of `every`.
fn simulate(every: Option<Millis>) -> Outcome {
    let mut now = Timestamp::default();
    let mut pace = PlanPace::new(now);
    let mut outcome = Outcome::default();
    let mut waiting_since = None;
    let mut next = every.map(|every| now + every);
    while now < SIMULATED_TIME {
        if let (Some(at), Some(every)) = (next, every)
            && at <= now
        {
            waiting_since = waiting_since.or(Some(at));
            next = Some(at + every);
        }
        let Some(round) = pace.due(waiting_since.is_some(), now) else {
            now = now + STEP;
            continue;
        };
        let began = now;
        let duration = match round {
            PlanRound::All => ALL_DURATION,
            PlanRound::Urgent => URGENT_DURATION,
        };
        now = now + duration;
        pace.note_round(round, began, now);
        outcome.planning = outcome.planning + duration;
        if let Some(since) = waiting_since.take() {
            outcome.longest_delay = outcome.longest_delay.max(now.since(since));
        }
    }
    outcome
}

#[test]
fn waiting_requests_are_planned_soon_in_a_large_fleet() {
    for every in [730, 1_900] {
        let outcome = simulate(Some(Millis(every)));
        // A request that arrives during a round for all waits for its end.
        let bound = MAX_PLANNING_DELAY + ALL_DURATION;
        assert!(
            outcome.longest_delay <= bound,
            "every {every} ms: {outcome:?}"
        );
    }
}

#[test]
fn rounds_take_a_bounded_part_of_the_leaders_time() {
    let idle = simulate(None);
    let busy = simulate(Some(STEP));
    let share = |outcome: &Outcome| outcome.planning.as_secs_f64() / 60.0;
    assert!(share(&idle) <= 0.21, "{idle:?}");
    assert!(share(&busy) <= 0.41, "{busy:?}");
}

#[test]
fn urgent_rounds_run_only_for_waiting_requests() {
    let began = Timestamp(1_000);
    let mut pace = PlanPace::new(began);
    assert_eq!(pace.due(true, began + Millis(14)), None);
    assert_eq!(pace.due(false, began + Millis(15)), Some(PlanRound::All));
    let ended = began + Millis(100);
    pace.note_round(PlanRound::All, began, ended);
    assert_eq!(pace.due(false, ended + Millis(399)), None);
    assert_eq!(pace.due(true, ended), Some(PlanRound::Urgent));
    pace.note_round(PlanRound::Urgent, ended, ended + Millis(10));
    assert_eq!(pace.due(true, ended + Millis(49)), None);
    assert_eq!(pace.due(true, ended + Millis(50)), Some(PlanRound::Urgent));
    assert_eq!(pace.due(true, ended + Millis(400)), Some(PlanRound::All));
}
