//! How soon what requests wait for is planned, and what part of its time the leader plans.

use courseshunt_coordinator::plan_pace::{PlanPace, PlanRound};
use courseshunt_types::{Millis, Timestamp};

/// Rounds of a fleet of 20,000 instances on a third of a core, by docs/CAPACITY.md.
const ALL_TAKES: Millis = Millis(280);
const WAITED_TAKES: Millis = Millis(30);
const PLANNED_WITHIN: Millis = Millis(200);
const LENGTH: Timestamp = Timestamp(60_000);
const TURN: Millis = Millis(5);

/// Time spent on rounds, and the longest time from a wake to the end of the next round.
#[derive(Debug, Default)]
struct Outcome {
    planning: Millis,
    longest: Millis,
}

/// Plays a minute in which requests begin to wait for something every `every`.
fn play(every: Option<Millis>) -> Outcome {
    let mut now = Timestamp::default();
    let mut pace = PlanPace::begin(now);
    let mut outcome = Outcome::default();
    let mut waits_since = None;
    let mut next = every.map(|every| now + every);
    while now < LENGTH {
        if let (Some(at), Some(every)) = (next, every)
            && at <= now
        {
            waits_since = waits_since.or(Some(at));
            next = Some(at + every);
        }
        let Some(round) = pace.due(waits_since.is_some(), now) else {
            now = now + TURN;
            continue;
        };
        let began = now;
        let takes = match round {
            PlanRound::All => ALL_TAKES,
            PlanRound::Waited => WAITED_TAKES,
        };
        now = now + takes;
        pace.planned(round, began, now);
        outcome.planning = outcome.planning + takes;
        if let Some(since) = waits_since.take() {
            outcome.longest = outcome.longest.max(now.since(since));
        }
    }
    outcome
}

#[test]
fn what_requests_wait_for_is_planned_soon_at_twice_the_size() {
    for every in [730, 1_900] {
        let outcome = play(Some(Millis(every)));
        // A round for all that is under way is waited for.
        let bound = PLANNED_WITHIN + ALL_TAKES;
        assert!(outcome.longest <= bound, "every {every} ms: {outcome:?}");
    }
}

#[test]
fn rounds_take_a_bounded_part_of_the_leaders_time() {
    let calm = play(None);
    let busy = play(Some(TURN));
    let part = |outcome: &Outcome| outcome.planning.as_secs_f64() / 60.0;
    assert!(part(&calm) <= 0.21, "{calm:?}");
    assert!(part(&busy) <= 0.41, "{busy:?}");
}

#[test]
fn without_waiting_requests_there_is_one_kind_of_round() {
    let begun = Timestamp(1_000);
    let mut pace = PlanPace::begin(begun);
    assert_eq!(pace.due(true, begun + Millis(14)), None);
    assert_eq!(pace.due(false, begun + Millis(15)), Some(PlanRound::All));
    let ended = begun + Millis(100);
    pace.planned(PlanRound::All, begun, ended);
    assert_eq!(pace.due(false, ended + Millis(399)), None);
    assert_eq!(pace.due(true, ended), Some(PlanRound::Waited));
    pace.planned(PlanRound::Waited, ended, ended + Millis(10));
    assert_eq!(pace.due(true, ended + Millis(49)), None);
    assert_eq!(pace.due(true, ended + Millis(50)), Some(PlanRound::Waited));
    assert_eq!(pace.due(true, ended + Millis(400)), Some(PlanRound::All));
}
