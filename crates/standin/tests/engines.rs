//! Contract of the runner model: batching, priorities, prefix cache, cancel,
//! resume, move between runners, tiers.

use courseshunt_standin::model::*;
use courseshunt_types::runner_api::{CacheTier, LoadPhase, OrderAction, OrderRequest};
use courseshunt_types::{Attempt, Fence, Millis, PriorityClass, Term, Timestamp};

const MEMORY_MIB: u64 = 10_000;

fn order(deployment: &str, sequence: u64, action: OrderAction) -> OrderRequest {
    OrderRequest {
        fence: Fence {
            term: Term(1),
            sequence,
        },
        deployment: deployment.into(),
        incarnation: None,
        action,
    }
}

fn load(deployment: &str, slots: u32) -> OrderAction {
    OrderAction::Load {
        model: deployment.into(),
        checkpoint_mib: 4_000,
        memory_mib: 4_000,
        slots,
        adapters: vec!["crop".into()],
    }
}

fn settings(every_token: bool) -> RunnerModelSettings {
    RunnerModelSettings {
        every_token,
        ..RunnerModelSettings::named("r1", "a", MEMORY_MIB)
    }
}

/// A runner that serves deployment `m`, and the moment from which it does.
fn serving(every_token: bool, slots: u32) -> (RunnerModel, Timestamp) {
    let mut runner = RunnerModel::new(settings(every_token));
    let now = Timestamp(0);
    runner.order(&order("m", 1, load("m", slots)), now).unwrap();
    runner.advance(now);
    runner.fetch_finished(&"m".into(), 4_000, now);
    let ready = Timestamp(1_000);
    runner.advance(ready);
    (runner, ready)
}

fn key(name: &str) -> SequenceKey {
    SequenceKey {
        request: name.into(),
        attempt: Attempt(1),
    }
}

fn request(name: &str, class: PriorityClass, prompt: u32, answer: u32) -> EngineRequest {
    EngineRequest {
        key: key(name),
        deployment: "m".into(),
        adapter: None,
        class,
        prompt_tokens: prompt,
        prefix_hashes: Vec::new(),
        max_tokens: answer,
    }
}

fn interactive(name: &str, prompt: u32, answer: u32) -> EngineRequest {
    request(name, PriorityClass::Interactive, prompt, answer)
}

/// First or last token of a request, with its moment.
type Mark = (Timestamp, String, u32, bool);

/// Runs until nothing is due; collects the tokens with their moments.
fn drain(runner: &mut RunnerModel, until: Timestamp) -> Vec<Mark> {
    let mut marks = Vec::new();
    while let Some(at) = runner.next_event().filter(|at| *at <= until) {
        for event in runner.advance(at) {
            if let RunnerEvent::Token {
                key,
                position,
                last,
            } = event
            {
                marks.push((at, key.request.to_string(), position, last));
            }
        }
    }
    runner.advance(until);
    marks
}

const END: Timestamp = Timestamp(10_000_000);

#[test]
fn single_tokens_and_rows_of_steps_come_at_the_same_moments() {
    let run = |every_token| {
        let (mut runner, now) = serving(every_token, 3);
        let mut marks = Vec::new();
        let arrivals = [
            (0, interactive("a", 500, 40)),
            (333, interactive("b", 2_000, 7)),
            (400, request("c", PriorityClass::Batch, 50, 90)),
            (411, interactive("d", 1, 1)),
            (1_700, request("e", PriorityClass::Critical, 30, 12)),
            (1_705, request("f", PriorityClass::Critical, 30, 12)),
        ];
        for (after, one) in arrivals {
            let at = now + Millis(after);
            marks.extend(drain(&mut runner, at));
            runner.submit(one, at).unwrap();
        }
        let cancelled = now + Millis(1_900);
        marks.extend(drain(&mut runner, cancelled));
        runner.cancel(&key("c"), cancelled);
        marks.extend(drain(&mut runner, END));
        marks.retain(|(_, _, position, last)| *position == 0 || *last);
        marks.sort();
        marks
    };
    let marks = run(true);
    assert!(marks.len() >= 10, "{marks:?}");
    assert_eq!(marks, run(false));
}

/// Time to the first token and to the last one of request `a`.
fn times(others: u32, prompt: u32) -> (u64, u64) {
    let (mut runner, now) = serving(true, 16);
    for number in 0..others {
        runner
            .submit(interactive(&format!("o{number}"), 1, 5_000), now)
            .unwrap();
    }
    let start = now + Millis(2_000);
    drain(&mut runner, start);
    runner.submit(interactive("a", prompt, 50), start).unwrap();
    let marks = drain(&mut runner, start + Millis(60_000));
    let of_a: Vec<&Mark> = marks.iter().filter(|mark| mark.1 == "a").collect();
    let first = of_a[0].0.since(start).0;
    (first, of_a[of_a.len() - 1].0.since(start).0 - first)
}

#[test]
fn times_grow_with_batch_and_prompt() {
    let (alone, alone_rest) = times(0, 100);
    let (batched, batched_rest) = times(10, 100);
    let (long, long_rest) = times(0, 4_000);
    assert!(alone < batched && alone_rest < batched_rest);
    assert!(alone < long && alone_rest < long_rest);
}

#[test]
fn urgent_requests_take_the_slots_of_others_which_lose_nothing() {
    let (mut runner, now) = serving(true, 1);
    runner
        .submit(request("plan", PriorityClass::Batch, 10, 100), now)
        .unwrap();
    let later = now + Millis(500);
    let before = drain(&mut runner, later);
    runner
        .submit(request("valve", PriorityClass::Critical, 10, 5), later)
        .unwrap();
    let after = drain(&mut runner, END);
    let end_of = |name: &str| after.iter().position(|mark| mark.1 == name && mark.3);
    assert!(end_of("valve") < end_of("plan"));
    let all = before.iter().chain(&after).filter(|mark| mark.1 == "plan");
    let positions: Vec<u32> = all.map(|mark| mark.2).collect();
    assert_eq!(positions, (0..100).collect::<Vec<u32>>());
}

#[test]
fn a_known_prefix_shortens_the_first_token_within_limited_memory() {
    let (mut runner, now) = serving(true, 4);
    let with_prefix = |name: &str| EngineRequest {
        prefix_hashes: (0..50).collect(),
        ..interactive(name, 1_000, 1)
    };
    runner.submit(with_prefix("first"), now).unwrap();
    let first = drain(&mut runner, END)[0].0.since(now);
    let later = END + Millis(1);
    runner.submit(with_prefix("second"), later).unwrap();
    let second = drain(&mut runner, later + Millis(60_000))[0].0.since(later);
    assert!(second < first, "{second:?} {first:?}");
    let mut small = PrefixCache::new(3);
    assert_eq!(small.admit(&"m".into(), &[1, 2, 3, 4, 5]), 0);
    assert_eq!(small.len(), 3);
    assert_eq!(small.admit(&"m".into(), &[3, 4]), 2);
    let lost = small.events_after(0).filter(|event| !event.stored).count();
    assert_eq!(lost, 2);
}

#[test]
fn a_sequence_moves_between_runners_and_streams_resume() {
    let (mut one, now) = serving(true, 2);
    let (mut other, _) = serving(true, 2);
    one.submit(interactive("a", 3_000, 20), now).unwrap();
    let later = now + Millis(900);
    drain(&mut one, later);
    let done = one.progress(&key("a"), later).unwrap().tokens_done;
    assert!(done > 0 && done < 20);
    let moved = one.export(&key("a"), later).unwrap();
    assert_eq!(moved.tokens_done, done);
    assert_eq!(one.progress(&key("a"), later), None);
    other.import(moved, later).unwrap();
    let marks = drain(&mut other, later + Millis(10_000));
    assert_eq!(marks[0].2, done);
    assert!(
        marks[0].0.since(later).0 < 100,
        "the prompt is not computed again"
    );
    let end = other.progress(&key("a"), END).unwrap();
    assert!(end.finished && end.tokens_done == 20);
}

#[test]
fn refusals_prove_that_nothing_started() {
    let (mut runner, now) = serving(true, 1);
    let with_adapter = |name: &str, adapter: &str| EngineRequest {
        adapter: Some(adapter.into()),
        ..interactive(name, 1, 1_000)
    };
    assert_eq!(
        runner.submit(with_adapter("a", "none"), now),
        Err(EngineRejection::AdapterNotLoaded)
    );
    runner.submit(with_adapter("a", "crop"), now).unwrap();
    assert_eq!(
        runner.submit(with_adapter("a", "crop"), now),
        Err(EngineRejection::Duplicate)
    );
    for number in 0..16 {
        runner
            .submit(interactive(&format!("w{number}"), 1, 1), now)
            .unwrap();
    }
    let full = runner.submit(interactive("x", 1, 1), now);
    assert_eq!(full, Err(EngineRejection::Full));
    runner.start_draining();
    let draining = runner.submit(interactive("y", 1, 1), now);
    assert_eq!(draining, Err(EngineRejection::Draining));
}

#[test]
fn each_tier_is_slower_than_the_one_above() {
    let now = Timestamp(0);
    let loading_time = |staged: Option<CacheTier>| {
        let mut runner = RunnerModel::new(settings(false));
        if let Some(tier) = staged {
            let action = OrderAction::Stage {
                model: "m".into(),
                checkpoint_mib: 4_000,
                tier,
            };
            runner.order(&order("~stage/m", 1, action), now).unwrap();
            runner.advance(now);
            runner.fetch_finished(&"m".into(), 4_000, now);
        }
        runner.order(&order("m", 2, load("m", 1)), now).unwrap();
        let fetch = RunnerEvent::FetchNeeded {
            model: "m".into(),
            size_mib: 4_000,
        };
        let remote = runner.advance(now).contains(&fetch);
        let held = runner.inventory(now).deployments;
        assert_eq!(held[0].phase, LoadPhase::Loading);
        (remote, runner.next_event())
    };
    let (remote, waits) = loading_time(None);
    assert!(remote && waits.is_none());
    let (from_disk, disk) = loading_time(Some(CacheTier::Disk));
    let (from_host, host) = loading_time(Some(CacheTier::HostMemory));
    assert!(!from_disk && !from_host);
    assert!(host.unwrap() < disk.unwrap());
}

#[test]
fn a_failed_fetch_ends_the_load_and_frees_the_memory() {
    let now = Timestamp(0);
    let mut runner = RunnerModel::new(settings(false));
    runner.order(&order("m", 1, load("m", 1)), now).unwrap();
    assert_eq!(runner.used_mib(), 4_000);
    runner.fetch_failed(&"m".into());
    let events = runner.advance(now);
    assert!(events.contains(&RunnerEvent::Unloaded("m".into())));
    assert_eq!(runner.used_mib(), 0);
}
