//! What a replica must not take on, and what it must not survive.

mod common;

use common::{Api, PATIENCE, start_group, until};
use courseshunt_controller::ProposeError;
use courseshunt_state::Command;
use std::time::Duration;

/// A document that no message between controllers can carry.
const TOO_LONG: usize = 17 * 1024 * 1024;
/// The second document of this length is the last of its segment.
const LONG: usize = 6 * 1024 * 1024;

fn document(number: u64, length: usize) -> Command {
    Command::PutServices {
        number,
        document: vec![b'7'; length],
    }
}

/// A leader that appends what it can send to nobody goes on with its heartbeats, and no
/// later change is ever committed.
#[tokio::test]
async fn a_command_that_no_message_can_carry_is_refused_at_every_member() {
    let group = start_group(3).await;
    until("a leader", || group.iter().any(Api::leads)).await;
    for api in &group {
        let replica = &api.controller.context().replica;
        let refused = replica.submit(document(1, TOO_LONG)).await;
        let refused = refused.expect_err("nobody could take it");
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

/// A store that fails for good ends the replica. Nobody may take the process for a
/// controller any more: whoever runs it is told, so that it ends and is started again.
#[tokio::test]
async fn a_store_that_fails_for_good_is_told() {
    let api = Api::start().await;
    let replica = api.controller.context().replica.clone();
    assert!(replica.submit(document(1, 100)).await.is_ok());
    std::fs::remove_dir_all(api.data_folder()).expect("the disk is gone");
    let told = replica.failed();
    for number in 2..5 {
        // The last one needs a new file; whether it is answered does not matter.
        let submitted = replica.submit(document(number, LONG));
        let _ = tokio::time::timeout(Duration::from_secs(2), submitted).await;
    }
    let told = tokio::time::timeout(PATIENCE, told).await;
    let problem = told.expect("the failure is told");
    assert!(problem.contains("storage: "), "{problem}");
    assert!(!replica.leads());
}
