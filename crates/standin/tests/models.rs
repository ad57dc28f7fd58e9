//! Contract of the models that virtual and real time share.

use courseshunt_standin::faults::{FaultKind, FaultSchedule};
use courseshunt_standin::model::*;
use courseshunt_types::runner_api::{OrderAction, OrderRejection, OrderRequest};
use courseshunt_types::{Attempt, Fence, PriorityClass, Term, Timestamp};

fn fence(sequence: u64) -> Fence {
    Fence {
        term: Term(1),
        sequence,
    }
}

fn load(deployment: &str, sequence: u64, memory_mib: u64) -> OrderRequest {
    OrderRequest {
        fence: fence(sequence),
        deployment: deployment.into(),
        incarnation: None,
        action: OrderAction::Load {
            model: deployment.into(),
            checkpoint_mib: memory_mib,
            memory_mib,
            slots: 2,
            adapters: Vec::new(),
        },
    }
}

/// Runs a runner with a store until nothing more happens.
fn run(runner: &mut RunnerModel, store: &mut StoreModel, mut now: Timestamp) -> Vec<RunnerEvent> {
    let mut events = Vec::new();
    let mut transfers = std::collections::BTreeMap::new();
    loop {
        for event in runner.advance(now) {
            if let RunnerEvent::FetchNeeded { model, size_mib } = &event {
                let transfer = store.request(*size_mib, now);
                transfers.insert(transfer, (model.clone(), *size_mib));
            }
            events.push(event);
        }
        for transfer in store.advance(now) {
            if let Some((model, size)) = transfers.remove(&transfer) {
                runner.fetch_finished(&model, size, now);
            }
        }
        let next = [runner.next_event(), store.next_event()];
        let Some(next) = next.into_iter().flatten().min() else {
            return events;
        };
        now = next.max(now);
    }
}

#[test]
fn a_load_passes_the_store_and_requests_run() {
    let mut runner = RunnerModel::new(RunnerModelSettings::named("r1", "a", 10_000));
    let mut store = StoreModel::new(StoreModelSettings::default());
    let request = EngineRequest {
        key: SequenceKey {
            request: "q".into(),
            attempt: Attempt(1),
        },
        deployment: "m".into(),
        adapter: None,
        class: PriorityClass::Interactive,
        prompt_tokens: 10,
        prefix_hashes: Vec::new(),
        max_tokens: 3,
    };
    assert_eq!(
        runner.submit(request.clone(), Timestamp(0)),
        Err(EngineRejection::NotLoaded)
    );
    runner.order(&load("m", 1, 4096), Timestamp(0)).unwrap();
    let events = run(&mut runner, &mut store, Timestamp(0));
    assert_eq!(events.last(), Some(&RunnerEvent::Loaded("m".into())));
    runner.submit(request, Timestamp(60_000)).unwrap();
    let events = run(&mut runner, &mut store, Timestamp(60_000));
    assert_eq!(events.len(), 3);
    assert!(matches!(events[2], RunnerEvent::Token { last: true, .. }));
}

#[test]
fn stale_fences_and_overcommit_are_refused() {
    let mut runner = RunnerModel::new(RunnerModelSettings::named("r1", "a", 10_000));
    runner.order(&load("m", 5, 6_000), Timestamp(0)).unwrap();
    let stale = runner.order(&load("m", 4, 6_000), Timestamp(0));
    assert!(matches!(stale, Err(OrderRejection::StaleFence { .. })));
    let full = runner.order(&load("n", 6, 6_000), Timestamp(0));
    assert_eq!(full, Err(OrderRejection::OutOfMemory { free_mib: 4_000 }));
    assert_eq!(runner.overcommit_attempts, 1);
}

#[test]
fn a_fault_file_is_read_and_a_wrong_field_refused() {
    let text = "[[fault]]\nat_ms = 5\nkind = \"silent-cut\"\n[[fault]]\nat_ms = 6\nfor_ms = 9\nkind = { slow-store = 0.1 }\n";
    let schedule: FaultSchedule = toml::from_str(text).unwrap();
    assert_eq!(schedule.fault[1].kind, FaultKind::SlowStore(0.1));
    assert_eq!(schedule.fault[0].target, "*");
    assert!(toml::from_str::<FaultSchedule>("[[fault]]\nat = 5\n").is_err());
}
