//! Instances that could not be recorded once, since the leader's disk was full, were missing in the log
//! for good: later leaders did not know them until they registered.

use courseshunt_coordinator::unrecorded_instances::{InstanceChanges, UnrecordedInstances};
use courseshunt_services::{InstanceState, InstanceView};
use courseshunt_types::{RunnerId, Zone};

/// More instances than one log entry takes.
const MANY: usize = 300;

fn id(number: usize) -> RunnerId {
    RunnerId::from(format!("i-{number:03}").as_str())
}

fn view(number: usize, state: InstanceState) -> InstanceView {
    InstanceView {
        id: id(number),
        service: "llm".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: Zone::from("z"),
        slots: 8,
        state,
        models: Vec::new(),
        loading: Vec::new(),
    }
}

/// The changes of the only log entry.
fn take_one(unrecorded: &mut UnrecordedInstances) -> InstanceChanges {
    let batches = unrecorded.take_batches();
    let [batch] = <[InstanceChanges; 1]>::try_from(batches).expect("one entry");
    batch
}

#[test]
fn changes_that_were_not_recorded_are_recorded_later() {
    let mut unrecorded = UnrecordedInstances::default();
    unrecorded.note(&[view(1, InstanceState::Ready)], &[id(2)]);
    let refused = take_one(&mut unrecorded);
    assert!(unrecorded.is_empty());
    unrecorded.put_back(refused.clone());
    assert_eq!(take_one(&mut unrecorded), refused);
}

#[test]
fn a_change_that_was_not_recorded_does_not_replace_a_newer_one() {
    let mut unrecorded = UnrecordedInstances::default();
    let ready = |number| view(number, InstanceState::Ready);
    unrecorded.note(&[ready(1), ready(2)], &[id(3)]);
    let refused = take_one(&mut unrecorded);
    let draining = view(2, InstanceState::Draining);
    unrecorded.note(&[draining.clone(), ready(3)], &[id(1)]);
    unrecorded.put_back(refused);
    let newest = InstanceChanges {
        changed: vec![draining, ready(3)],
        gone: vec![id(1)],
    };
    assert_eq!(take_one(&mut unrecorded), newest);
}

#[test]
fn each_log_entry_takes_a_part_of_many_changes() {
    let mut unrecorded = UnrecordedInstances::default();
    let views: Vec<InstanceView> = (0..MANY)
        .map(|number| view(number, InstanceState::Ready))
        .collect();
    unrecorded.note(&views, &[]);
    let batches = unrecorded.take_batches();
    assert_eq!(batches.len(), 2);
    let recorded = batches.into_iter().flat_map(|batch| batch.changed);
    assert_eq!(recorded.collect::<Vec<_>>(), views);
}
