//! The store on a faulty disk: a full disk refuses and loses nothing.

use courseshunt_consensus::{Entry, Payload};
use courseshunt_simulation::Random;
use courseshunt_simulation::disk::SimulatedDisk;
use courseshunt_storage::{Folder, LogStore, SegmentLog};
use courseshunt_types::{LogIndex, Term};

fn entry(index: u64) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(1),
        payload: Payload::Command(vec![7; 100]),
    }
}

#[test]
fn a_full_disk_refuses_and_the_same_sync_succeeds_once_there_is_space() {
    let disk = SimulatedDisk::default();
    let mut log = SegmentLog::open_in(disk.clone()).unwrap();
    log.append(None, &[entry(1)]).unwrap();
    log.sync().unwrap();
    disk.set_full(true);
    log.append(None, &[entry(2)]).unwrap();
    for _ in 0..3 {
        let error = log.sync().unwrap_err();
        assert!(error.is_temporary(), "{error}");
        assert!(error.to_string().contains("segment-"), "{error}");
    }
    disk.set_full(false);
    log.append(None, &[entry(3)]).unwrap();
    log.sync().unwrap();
    let recovered = SegmentLog::open_in(disk).unwrap().recover().unwrap();
    assert_eq!(recovered.core.entries, [entry(1), entry(2), entry(3)]);
}

#[test]
fn what_was_synced_survives_any_crash() {
    for seed in 0..500 {
        let mut random = Random::new(seed);
        let disk = SimulatedDisk::default();
        let mut log = SegmentLog::open_in(disk.clone()).unwrap();
        log.set_segment_bytes(400);
        let synced = random.between(1, 12);
        for index in 1..=synced {
            log.append(None, &[entry(index)]).unwrap();
            log.sync().unwrap();
        }
        disk.cut_power_at_sync();
        log.append(None, &[entry(synced + 1)]).unwrap();
        assert!(log.sync().is_err());
        disk.crash(&mut random);
        let recovered = SegmentLog::open_in(disk).unwrap().recover().unwrap();
        let held = recovered.core.entries.len() as u64;
        assert!(held == synced || held == synced + 1, "seed {seed}: {held}");
    }
}

/// A process is killed between a write and its sync, and starts again: it finds the write
/// and confirms it to others, though it never became durable. Then the power goes.
#[test]
fn what_a_restarted_process_has_found_survives_a_loss_of_power() {
    for seed in 0..200 {
        let mut random = Random::new(seed);
        let disk = SimulatedDisk::default();
        let mut log = SegmentLog::open_in(disk.clone()).unwrap();
        log.append(None, &[entry(1)]).unwrap();
        log.sync().unwrap();
        disk.cut_power_at_sync();
        log.append(None, &[entry(2)]).unwrap();
        assert!(log.sync().is_err());
        disk.kill();
        let found = SegmentLog::open_in(disk.clone()).unwrap().recover();
        let found = found.unwrap().core.entries;
        disk.crash(&mut random);
        let recovered = SegmentLog::open_in(disk).unwrap().recover().unwrap();
        assert_eq!(recovered.core.entries, found, "seed {seed}");
    }
}

/// A torn end is cut off, and the segment is full, so that the next one is begun. If the cut
/// is lost with the power, the torn end is back, in what is a closed segment now.
#[test]
fn a_torn_end_that_was_cut_off_does_not_come_back() {
    for seed in 0..200 {
        let mut random = Random::new(seed);
        let mut disk = SimulatedDisk::default();
        let mut log = SegmentLog::open_in(disk.clone()).unwrap();
        log.append(None, &[entry(1)]).unwrap();
        log.sync().unwrap();
        let segment = disk.names().unwrap().remove(0);
        disk.append(&segment, b"a torn write").unwrap();
        disk.sync(&segment).unwrap();
        let mut log = SegmentLog::open_in(disk.clone()).unwrap();
        log.set_segment_bytes(50);
        log.append(None, &[entry(2)]).unwrap();
        log.sync().unwrap();
        disk.crash(&mut random);
        let opened = SegmentLog::open_in(disk);
        let mut opened = opened.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        let entries = opened.recover().unwrap().core.entries;
        assert_eq!(entries, [entry(1), entry(2)], "seed {seed}");
    }
}
