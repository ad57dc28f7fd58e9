//! The form in which the previous release stores the state on disk.
//!
//! Invariant: the form never changes. Types that are unchanged since that release are shared with
//! the current form.

use crate::claims::Claims;
use crate::configuration::Configuration;
use crate::drains::Drains;
use crate::jobs::Jobs;
use crate::members::MemberAddresses;
use crate::placement::Placement;
use crate::services::{LeavingInstance, Services};
use crate::session::Sessions;
use crate::state::ReplicatedState;
use courseshunt_services::InstanceView;
use courseshunt_types::{ControllerId, LogIndex, RunnerId, UnixMillis};
use std::collections::{BTreeMap, VecDeque};

/// [`ReplicatedState`] as stored by the previous release.
#[derive(rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(super) struct PreviousReleaseState {
    applied: LogIndex,
    time: UnixMillis,
    configuration: Configuration,
    placement: Placement,
    placement_changed_at: LogIndex,
    claims: Claims,
    jobs: Jobs,
    drains: Drains,
    sessions: Sessions,
    members: MemberAddresses,
    services: PreviousReleaseServices,
}

/// [`Services`] as stored by the previous release, which has no quarantine.
#[derive(rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
struct PreviousReleaseServices {
    number: u64,
    document: Vec<u8>,
    leaving: VecDeque<LeavingInstance>,
    leaving_version: u64,
    instances: BTreeMap<RunnerId, InstanceView>,
    orders_holder: Option<ControllerId>,
}

impl From<PreviousReleaseState> for ReplicatedState {
    fn from(state: PreviousReleaseState) -> Self {
        let services = state.services;
        Self {
            applied: state.applied,
            time: state.time,
            configuration: state.configuration,
            placement: state.placement,
            placement_changed_at: state.placement_changed_at,
            claims: state.claims,
            jobs: state.jobs,
            drains: state.drains,
            sessions: state.sessions,
            members: state.members,
            services: Services {
                number: services.number,
                document: services.document,
                leaving: services.leaving,
                leaving_version: services.leaving_version,
                instances: services.instances,
                orders_holder: services.orders_holder,
                quarantined: Vec::new(),
            },
        }
    }
}

impl From<ReplicatedState> for PreviousReleaseState {
    fn from(state: ReplicatedState) -> Self {
        let services = state.services;
        Self {
            applied: state.applied,
            time: state.time,
            configuration: state.configuration,
            placement: state.placement,
            placement_changed_at: state.placement_changed_at,
            claims: state.claims,
            jobs: state.jobs,
            drains: state.drains,
            sessions: state.sessions,
            members: state.members,
            services: PreviousReleaseServices {
                number: services.number,
                document: services.document,
                leaving: services.leaving,
                leaving_version: services.leaving_version,
                instances: services.instances,
                orders_holder: services.orders_holder,
            },
        }
    }
}
