//! A replica that stops.

use courseshunt_consensus::{CoreSettings, Membership};
use courseshunt_controller::peers::{AddressBook, PeerNetwork};
use courseshunt_controller::replica::{
    ProposeError, ReplicaHandle, ReplicaSettings, start_with_store,
};
use courseshunt_state::Command;
use courseshunt_storage::{LogStore, SlowLog};
use courseshunt_types::ControllerId;
use courseshunt_types::time::MonotonicClock;
use courseshunt_wire::ClusterKey;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time that a sync of the store takes.
const SYNC_TIME: Duration = Duration::from_millis(300);
/// Longest time until the replica writes.
const PATIENCE: Duration = Duration::from_secs(5);
/// A command whose replica has stopped ends within this time.
const SOON: Duration = Duration::from_secs(2);
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
const ID: ControllerId = ControllerId(1);

/// Sets a flag when it is dropped.
struct FlagOnDrop(Arc<AtomicBool>);

impl Drop for FlagOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// A store on a slow disk, which sets these flags while it writes and once it is closed.
fn slow_log(is_syncing: Arc<AtomicBool>, is_closed: Arc<AtomicBool>) -> impl LogStore + 'static {
    let closed = FlagOnDrop(is_closed);
    SlowLog::new(move || {
        let _until_closed = &closed;
        is_syncing.store(true, Ordering::SeqCst);
        std::thread::sleep(SYNC_TIME);
    })
}

/// A replica of a group of its own on a slow disk, and the flags of its store.
struct SlowReplica {
    handle: ReplicaHandle,
    is_syncing: Arc<AtomicBool>,
    is_closed: Arc<AtomicBool>,
}

async fn start_slow_replica() -> SlowReplica {
    let is_syncing = Arc::new(AtomicBool::new(false));
    let is_closed = Arc::new(AtomicBool::new(false));
    let store = slow_log(is_syncing.clone(), is_closed.clone());
    let settings = ReplicaSettings {
        id: ID,
        data_folder: "unused".into(),
        bootstrap: Membership::of_voters([ID]),
        core: CoreSettings::for_member(ID),
        snapshot_after: (1_000, 1_000_000),
    };
    let key = ClusterKey::new(b"a key of sixteen bytes or more").expect("a key");
    let addresses = AddressBook::default();
    let peers = PeerNetwork::new(ID, key, addresses, CancellationToken::new());
    let starting = start_with_store(&settings, Box::new(store), MonotonicClock::start(), peers);
    SlowReplica {
        handle: starting.await.expect("a replica"),
        is_syncing,
        is_closed,
    }
}

/// Waits until the store writes.
async fn until_it_writes(replica: &SlowReplica) {
    let writes = async {
        while !replica.is_syncing.load(Ordering::SeqCst) {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    };
    let writes = tokio::time::timeout(PATIENCE, writes).await;
    writes.expect("it writes");
}

/// The log of a member that had stopped was still written while its successor on the same disk
/// read it.
#[tokio::test]
async fn a_replica_that_has_stopped_writes_no_more() {
    let replica = start_slow_replica().await;
    until_it_writes(&replica).await;
    let deadline = Instant::now() + PATIENCE;
    replica.handle.stop(deadline).await;
    replica.handle.store_closed(deadline).await;
    let is_closed = replica.is_closed.load(Ordering::SeqCst);
    assert!(is_closed, "its store is still open");
}

/// It was retried for 10 s, or until the last answers of a planned stop were due.
#[tokio::test]
async fn a_command_in_flight_ends_with_its_replica() {
    let replica = start_slow_replica().await;
    let mut status = replica.handle.status();
    let leads = tokio::time::timeout(PATIENCE, status.wait_for(|status| status.leads())).await;
    leads.expect("it leads").expect("it runs");
    let handle = replica.handle.clone();
    let command = Command::PutServices {
        number: 1,
        document: Vec::new(),
    };
    let submitted = tokio::spawn(async move { handle.submit(command).await });
    tokio::time::sleep(LOOK_INTERVAL).await;
    replica.handle.stop(Instant::now() + PATIENCE).await;
    let ended = tokio::time::timeout(SOON, submitted).await;
    let result = ended.expect("it ends").expect("a task");
    assert_eq!(result, Err(ProposeError::Undecided));
}
