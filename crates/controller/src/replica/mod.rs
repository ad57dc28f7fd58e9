//! This member's replica of the log: drives the consensus core, the store and
//! the state machine, and is the one way to change replicated state.

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

/// Folder of the log of group 0 in the data folder.
const GROUP_FOLDER: &str = "group-0";
/// Marks that no quorum has been seen yet.
const NO_CONTACT: i64 = i64::MAX;

/// What a replica needs to know.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// Identity of this member.
    pub id: ControllerId,
    /// Folder of its durable state.
    pub data_folder: PathBuf,
    /// Membership of a new group; empty for a member that joins one.
    pub bootstrap: Membership,
    /// Settings of the consensus core.
    pub core: CoreSettings,
    /// Applied entries, or their content in bytes, after which a snapshot is
    /// taken.
    pub snapshot_after: (usize, usize),
}

impl ReplicaSettings {
    /// Settings of a member of a group whose voters are configured.
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
    spawn(settings, Box::new(store), clock, peers).await
}

/// Restores the state and starts the actor.
async fn spawn(
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
    let arguments = DriverArguments {
        core,
        store,
        snapshots,
        clock,
        state: state.clone(),
        status,
        quorum_contact: quorum_contact.clone(),
        peers: peers.clone(),
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

/// The membership of a new group. A member that is not among the voters joins
/// an existing group: it learns the membership from the leader.
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
