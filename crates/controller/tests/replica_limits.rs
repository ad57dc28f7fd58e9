//! Limits of a replica: commands that it must refuse and failures that must stop it.

mod common;

use common::{Api, TIMEOUT, start_group, until};
use courseshunt_controller::ProposeError;
use courseshunt_state::Command;
use std::time::Duration;

/// Length of a document that exceeds the largest message between controllers, in bytes.
const OVERSIZED_BYTES: usize = 17 * 1024 * 1024;
/// Length of a document, two of which fill a segment, in bytes.
const HALF_SEGMENT_BYTES: usize = 6 * 1024 * 1024;

fn document(number: u64, length: usize) -> Command {
    Command::PutServices {
        number,
        document: vec![b'7'; length],
    }
}

/// Guards against a leader that appends an entry which it can't replicate: it would keep sending
/// heartbeats, and no later change would ever be committed.
#[tokio::test]
async fn an_oversized_command_is_refused_at_every_member() {
    let group = start_group(3).await;
    until("a leader", || group.iter().any(Api::leads)).await;
    for api in &group {
        let replica = &api.controller.context().replica;
        let refused = replica.submit(document(1, OVERSIZED_BYTES)).await;
        let refused = refused.expect_err("the oversized command is refused");
        assert!(
            matches!(refused, ProposeError::TooLong { .. }),
            "{refused:?}"
        );
    }
    for (number, api) in (2..).zip(&group) {
        let replica = &api.controller.context().replica;
        let later = replica.submit(document(number, 100)).await;
        assert!(later.is_ok(), "{later:?}");
    }
}

/// Guards against a process that still appears to be a controller after its store has failed
/// permanently. The failure must be reported, so that the process exits and is restarted.
#[tokio::test]
async fn a_permanent_store_failure_is_reported() {
    let api = Api::start().await;
    let replica = api.controller.context().replica.clone();
    assert!(replica.submit(document(1, 100)).await.is_ok());
    std::fs::remove_dir_all(api.data_folder()).expect("the data folder is removed");
    let failure = replica.failed();
    for number in 2..5 {
        // The last command needs a new segment file; its result does not matter.
        let submitted = replica.submit(document(number, HALF_SEGMENT_BYTES));
        let _ = tokio::time::timeout(Duration::from_secs(2), submitted).await;
    }
    let failure = tokio::time::timeout(TIMEOUT, failure).await;
    let problem = failure.expect("the failure is reported in time");
    assert!(problem.contains("storage: "), "{problem}");
    assert!(!replica.leads());
}
