//! State that the tasks of a coordinator share, and access to its parts.

use crate::metrics::{CurrentValues, Metrics};
use crate::router_registry::RouterRegistry;
use crate::sessions::Sessions;
use crate::{ControlInterface, member_zones, relay, upstream};
use courseshunt_controller::peers::AddressBook;
use courseshunt_controller::replica::ReplicaHandle;
use courseshunt_http::{HttpClient, MemoryBudget};
use courseshunt_instance_load::{InstanceLoad, LoadLedger};
use courseshunt_membership::{JoinRequests, Redundancy};
use courseshunt_services::{
    FeedMessage, ForwarderDirectory, LimitLedger, OriginDirectory, PlacementEngine,
    QuarantineLedger, QuotaLedger, SoftwareVersions,
};
use courseshunt_settings::service::{SeedList, ServiceSettings};
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{ControllerId, Millis, Timestamp};
use courseshunt_wire::ClusterKey;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Processes for which the last answer to a join request is kept, so that repeated requests are
/// recorded once.
const MAX_JOIN_REQUESTS: usize = 256;

/// State that the tasks of a coordinator share.
pub(crate) struct Shared {
    pub(crate) settings: ServiceSettings,
    pub(crate) id: ControllerId,
    pub(crate) interface: Arc<dyn ControlInterface>,
    pub(crate) replica: ReplicaHandle,
    pub(crate) addresses: AddressBook,
    pub(crate) key: ClusterKey,
    pub(crate) client: HttpClient,
    pub(crate) clock: MonotonicClock,
    pub(crate) sessions: Sessions,
    /// Reports of routers that are to be sent to the leader.
    pub(crate) upstream: upstream::Upstream,
    /// Zones of the members.
    pub(crate) member_zones: member_zones::MemberZones,
    /// All routers of the fleet; filled while this member leads.
    pub(super) routers: Mutex<RouterRegistry>,
    /// Limits the calls to instances that are in flight at once.
    pub(crate) call_permits: Semaphore,
    /// Calls of operators and instances whose responses have not been written.
    pub(super) api_requests: TaskTracker,
    /// Registrations accepted here that are to be sent to the leader.
    pub(crate) relay: relay::Relay,
    /// Wakes the leader's loop.
    pub(crate) wake: Notify,
    /// Whether routers can be fed: either this member leads and its engine holds the committed
    /// state, or it receives the leader's feed.
    pub(crate) feed_available: watch::Sender<bool>,
    /// Whether this member leads and has restored the recorded state. Until then it sends no
    /// feed as the leader and drops reports, since routers send a new leader everything again.
    pub(crate) leading: watch::Sender<bool>,
    /// Pending requests to join; recorded while this member leads.
    pub(crate) join_requests: Mutex<JoinRequests>,
    /// Processes that sent a join request to this member, and whether this member led and
    /// recorded the request.
    pub(super) join_answers: Mutex<BTreeMap<ControllerId, bool>>,
    /// How many member losses the group can tolerate, and the time below full redundancy;
    /// known while this member leads.
    pub(crate) redundancy: Mutex<Option<(Redundancy, Millis)>>,
    pub(crate) stop: CancellationToken,
    /// Cancelled shortly before the end of a planned stop: calls without a response are answered.
    pub(crate) last_answers_due: CancellationToken,
    pub(crate) metrics: Metrics,
    /// Memory of all bodies of calls that this process holds.
    pub(crate) memory: MemoryBudget,
    pub(crate) seeds: SeedList,
    pub(super) engine: Mutex<PlacementEngine>,
    /// Quota accounts of tenants, while this member leads.
    pub(super) quotas: Mutex<QuotaLedger>,
    /// Accounts of the rate limits that instances report, while this member leads.
    pub(super) limits: Mutex<LimitLedger>,
    /// Load and speed of instances, while this member leads.
    pub(super) loads: Mutex<LoadLedger>,
    /// Request contents during which instances ended, while this member leads.
    pub(super) quarantine: Mutex<QuarantineLedger>,
    /// Whether terminations are attributed in a moment.
    pub(super) is_attribution_pending: AtomicBool,
    /// Routers that forward requests of other routers, while this member leads.
    pub(super) forwarders: Mutex<ForwarderDirectory>,
    /// Software versions of instances: at the leader those that all controllers received, at any
    /// other controller its own ones and those that the leader fed. Locked before `origins`.
    pub(super) software_versions: Mutex<SoftwareVersions>,
    /// Instances that began streams, while this member leads.
    pub(super) origins: Mutex<OriginDirectory>,
}

impl Shared {
    pub(crate) fn engine(&self) -> MutexGuard<'_, PlacementEngine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn quotas(&self) -> MutexGuard<'_, QuotaLedger> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn limits(&self) -> MutexGuard<'_, LimitLedger> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn loads(&self) -> MutexGuard<'_, LoadLedger> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn forwarders(&self) -> MutexGuard<'_, ForwarderDirectory> {
        let forwarders = self.forwarders.lock();
        forwarders.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn software_versions(&self) -> MutexGuard<'_, SoftwareVersions> {
        let versions = self.software_versions.lock();
        versions.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn origins(&self) -> MutexGuard<'_, OriginDirectory> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn quarantine(&self) -> MutexGuard<'_, QuarantineLedger> {
        let quarantine = self.quarantine.lock();
        quarantine.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn routers(&self) -> MutexGuard<'_, RouterRegistry> {
        self.routers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The feed message with the state of the tenants' accounts; `None` if no tenant has a
    /// limit.
    pub(crate) fn quotas_message(&self, now: Timestamp) -> Option<FeedMessage> {
        let mut quotas = self.quotas();
        quotas.has_accounts().then(|| FeedMessage::Quotas {
            epoch: quotas.epoch(),
            account_statuses: quotas.account_statuses(now),
        })
    }

    /// Records a request to join at the leader, and wakes its loop if the request is new.
    pub(crate) fn record_join_request(&self, member: ControllerId, address: SocketAddr) {
        let now = self.clock.now();
        if self.join_requests().record(member, address, now) {
            self.wake.notify_one();
        }
    }

    pub(crate) fn join_requests(&self) -> MutexGuard<'_, JoinRequests> {
        let requests = self.join_requests.lock();
        requests.unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes how a join request was answered; returns whether the answer differs from the last
    /// one to this process.
    pub(crate) fn note_join_answer(&self, member: ControllerId, recorded: bool) -> bool {
        let answers = self.join_answers.lock();
        let mut answers = answers.unwrap_or_else(PoisonError::into_inner);
        if answers.len() >= MAX_JOIN_REQUESTS {
            answers.clear();
        }
        answers.insert(member, recorded) != Some(recorded)
    }

    /// Sets the redundancy that the metrics page shows; `None` when this member does not lead.
    pub(crate) fn set_redundancy(&self, present: Option<(Redundancy, Millis)>) {
        let redundancy = self.redundancy.lock();
        *redundancy.unwrap_or_else(PoisonError::into_inner) = present;
    }

    /// Renders the page of counters and gauges.
    pub(crate) fn metrics_page(&self) -> String {
        let status = self.replica.status().borrow().clone();
        let age = self.replica.confirmation_age();
        self.metrics.page(&CurrentValues {
            leads: status.leads(),
            term: status.term.0,
            configuration: self.replica.state().services.number,
            routers: self.sessions.router_count(),
            instances: self.engine().count(),
            contact_age_ms: age.map_or(u64::MAX, |age| age.0),
            loads: self.present_loads(status.leads()),
            memory: self.memory.usage(),
            redundancy: *self
                .redundancy
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        })
    }

    /// Load and speed of all instances, if this member leads.
    fn present_loads(&self, leads: bool) -> Vec<InstanceLoad> {
        match leads {
            true => self.loads().all(self.clock.now()),
            false => Vec::new(),
        }
    }

    /// The leader's wire address, if known.
    pub(crate) fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.replica.status().borrow().leader?;
        self.addresses.get(leader)
    }
}
