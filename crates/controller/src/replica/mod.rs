//! This member's replica of the log: drives the consensus core, the store and the state machine.
//!
//! Invariant: replicated state changes only through entries that this module applies.

mod actor;
mod driver;
mod handle;
mod session;
mod snapshots;
mod writer;

pub use handle::{ProposeError, ReplicaHandle, ReplicaStatus};

use crate::error::{ControllerError, StorageSnafu};
use crate::peers::PeerNetwork;
use actor::ReplicaActor;
use courseshunt_consensus::{Core, CoreSettings, Membership};
use courseshunt_settings::ControllerSettings;
use courseshunt_state::ReplicatedState;
use courseshunt_storage::identity::claim_folder;
use courseshunt_storage::{FileLog, LogStore};
use courseshunt_types::ControllerId;
use courseshunt_types::time::MonotonicClock;
use driver::DriverArguments;
use handle::SharedState;
use ractor::Actor;
use session::ClientSession;
use snafu::ResultExt;
use snapshots::Snapshots;
use std::path::PathBuf;
use std::sync::atomic::AtomicI64;
use std::sync::{Arc, RwLock};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Name of the folder in the data folder that holds the log of group 0.
const GROUP_FOLDER: &str = "group-0";
/// Value of the quorum contact before the first contact.
const NO_CONTACT: i64 = i64::MAX;

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// Identity of this member.
    pub id: ControllerId,
    /// Folder of the durable state.
    pub data_folder: PathBuf,
    /// Initial membership of a new group; empty for a member that joins an existing one.
    pub bootstrap: Membership,
    /// Settings of the consensus core.
    pub core: CoreSettings,
    /// Number of applied entries, and size of their payloads in bytes, after which a snapshot is
    /// taken.
    pub snapshot_after: (usize, usize),
}

impl ReplicaSettings {
    /// Settings of a member of a group with configured voters.
    #[must_use]
    pub fn of_controller(settings: &ControllerSettings) -> Self {
        Self {
            id: settings.id,
            data_folder: settings.data_folder.clone(),
            bootstrap: first_membership(settings),
            core: CoreSettings::for_member(settings.id),
            snapshot_after: (snapshots::SNAPSHOT_ENTRIES, snapshots::SNAPSHOT_BYTES),
        }
    }
}

/// Opens the store and starts the replica.
///
/// # Errors
/// When the store is damaged or can't be opened.
pub async fn start(
    settings: &ReplicaSettings,
    clock: MonotonicClock,
    peers: PeerNetwork,
) -> Result<ReplicaHandle, ControllerError> {
    claim_folder(&settings.data_folder, settings.id, true).context(StorageSnafu)?;
    let folder = settings.data_folder.join(GROUP_FOLDER);
    let store = FileLog::open(&folder).context(StorageSnafu)?;
    start_with_store(settings, Box::new(store), clock, peers).await
}

/// Starts the replica with this store.
///
/// # Errors
/// When the store is damaged or can't be read.
pub async fn start_with_store(
    settings: &ReplicaSettings,
    mut store: Box<dyn LogStore>,
    clock: MonotonicClock,
    peers: PeerNetwork,
) -> Result<ReplicaHandle, ControllerError> {
    let recovered = store.recover().context(StorageSnafu)?;
    let state = restore(&recovered.snapshot)?;
    let (applied, revision) = (state.applied, state.configuration.revision);
    let state: SharedState = Arc::new(RwLock::new(state));
    let snapshot = recovered.core.snapshot.clone();
    let snapshots = Snapshots::new(snapshot, recovered.snapshot, settings.snapshot_after);
    let bootstrap = settings.bootstrap.clone();
    let core_settings = CoreSettings {
        seed: rand::random(),
        ..settings.core
    };
    let core = Core::new(core_settings, recovered.core, bootstrap, clock.now());
    let (status, status_changes) = watch::channel(ReplicaStatus {
        role: core.role(),
        term: core.term(),
        leader: None,
        lost_quorum: false,
        applied,
        revision,
        failure: None,
    });
    let quorum_contact = Arc::new(AtomicI64::new(NO_CONTACT));
    let writer_ended = CancellationToken::new();
    let arguments = DriverArguments {
        core,
        store,
        snapshots,
        clock,
        state: state.clone(),
        status,
        quorum_contact: quorum_contact.clone(),
        peers: peers.clone(),
        writer_ended: writer_ended.clone(),
    };
    let spawned = Actor::spawn(None, ReplicaActor, arguments).await;
    let (actor, _) = spawned.map_err(|error| ControllerError::Actor {
        part: "replica",
        message: error.to_string(),
    })?;
    Ok(ReplicaHandle {
        actor,
        state,
        status: status_changes,
        quorum_contact,
        clock,
        peers,
        session: ClientSession::new(settings.id),
        writer_ended,
    })
}

fn restore(snapshot: &[u8]) -> Result<ReplicatedState, ControllerError> {
    if snapshot.is_empty() {
        return Ok(ReplicatedState::default());
    }
    ReplicatedState::from_snapshot(snapshot).map_err(|error| ControllerError::Restore {
        message: error.to_string(),
    })
}

/// The initial membership of a group. A member that is not among the configured voters joins an
/// existing group and receives the membership from its leader.
fn first_membership(settings: &ControllerSettings) -> Membership {
    let voters: Vec<ControllerId> = settings.voters.iter().map(|voter| voter.id).collect();
    if voters.is_empty() {
        return Membership::of_voters([settings.id]);
    }
    match voters.contains(&settings.id) {
        true => Membership::of_voters(voters),
        false => Membership::default(),
    }
}
