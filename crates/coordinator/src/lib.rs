//! The controller of declared services. It forms its group from a few seeds,
//! heals it after lost disks, keeps the configuration, takes the instances'
//! registrations, places models and feeds the routers.
//!
//! Invariants: only the leader gives orders, and only a lease after its
//! election; a change is acknowledged only once it is committed; a process
//! whose disk is empty joins under a new identity and never votes under an old
//! one.

mod accept;
mod api;
pub mod configuration_feed;
mod error;
mod feed;
mod identity;
mod inheritance;
mod interface;
mod join;
mod lead;
pub mod lead_step;
mod leader_link;
mod limits;
mod member_thread;
mod members;
mod metrics;
pub mod order_turn;
mod orders;
mod places;
pub mod plan_pace;
mod quarantine;
mod records;
mod relay;
mod reports;
pub mod router_book;
mod sessions;
mod spreading;
pub mod taking;
mod upstream;

pub use error::CoordinatorError;
pub use interface::{ControlCall, ControlInterface, InstanceCall};

use courseshunt_consensus::Membership;
use courseshunt_controller::ControllerError;
use courseshunt_controller::peers::{AddressBook, PeerNetwork};
use courseshunt_controller::replica::{self, ReplicaHandle, ReplicaSettings};
use courseshunt_http::{HttpClient, ServerLimits};
use courseshunt_membership::{Applicants, Redundancy, core_settings};
use courseshunt_records::emit;
use courseshunt_services::{
    FeedMessage, LimitLedger, PlacementEngine, PlacementSettings, QuarantineLedger, QuotaLedger,
    QuotaSettings,
};
use courseshunt_settings::service::{SeedList, ServiceSettings};
use courseshunt_types::time::{MonotonicClock, SuspendDetector};
use courseshunt_types::{ControllerId, Millis, Timestamp, Zone};
use courseshunt_wire::ClusterKey;
use error::{BindSnafu, MemberThreadSnafu, ReplicaSnafu};
use metrics::{Metrics, Present};
use records::ControllerRecord;
use router_book::RouterBook;
use sessions::Sessions;
use snafu::{OptionExt, ResultExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;

/// Entries and bytes after which a snapshot is taken: documents are large.
const SNAPSHOT_AFTER: (usize, usize) = (256, 2 * 1024 * 1024);

/// Processes whose wish to join is remembered, so that each is recorded once.
const MAX_ASKED_TO_JOIN: usize = 256;

/// What the parts of a coordinator share.
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
    /// Reports of routers on their way to the leader.
    pub(crate) upstream: upstream::Upstream,
    /// In which zones the members are.
    pub(crate) places: places::Places,
    /// The routers of the fleet, while this member leads.
    routers: Mutex<RouterBook>,
    /// Calls to instances that are under way at once.
    pub(crate) calls: Semaphore,
    /// Registrations taken here on their way to the leader.
    pub(crate) relay: relay::Relay,
    /// Wakes the leader's loop.
    pub(crate) wake: Notify,
    /// Whether routers can be fed: this member leads and its engine knows what was
    /// committed, or it has the leader's feed.
    pub(crate) feeding: watch::Sender<bool>,
    /// Whether this member leads and has taken over what was recorded: until then nothing is
    /// told as a leader's word, and reports are left out, since routers tell a new leader all.
    pub(crate) leading: watch::Sender<bool>,
    /// Processes that want to join, while this member leads.
    pub(crate) applicants: Mutex<Applicants>,
    /// Processes that asked here to join, with whether they were noted.
    asked_to_join: Mutex<BTreeMap<ControllerId, bool>>,
    /// How many losses the group can bear; known while this member leads.
    pub(crate) redundancy: Mutex<Option<(Redundancy, Millis)>>,
    pub(crate) stop: CancellationToken,
    pub(crate) metrics: Metrics,
    pub(crate) seeds: SeedList,
    engine: Mutex<PlacementEngine>,
    /// Accounts of tenants, while this member leads.
    quotas: Mutex<QuotaLedger>,
    /// Accounts of limits that instances name, while this member leads.
    limits: Mutex<LimitLedger>,
    /// Instances that ended under requests, while this member leads.
    quarantine: Mutex<QuarantineLedger>,
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

    pub(crate) fn quarantine(&self) -> MutexGuard<'_, QuarantineLedger> {
        let quarantine = self.quarantine.lock();
        quarantine.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn routers(&self) -> MutexGuard<'_, RouterBook> {
        self.routers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How the accounts of tenants stand; none where no tenant has a limit.
    pub(crate) fn quota_standings(&self, now: Timestamp) -> Option<FeedMessage> {
        let mut quotas = self.quotas();
        quotas.has_accounts().then(|| FeedMessage::Quotas {
            epoch: quotas.epoch(),
            standings: quotas.standings(now),
        })
    }

    /// Notes at the leader that a process wants to join.
    pub(crate) fn note_applicant(&self, member: ControllerId, address: SocketAddr) {
        let now = self.clock.now();
        if self.applicants().note(member, address, now) {
            self.wake.notify_one();
        }
    }

    pub(crate) fn applicants(&self) -> MutexGuard<'_, Applicants> {
        let applicants = self.applicants.lock();
        applicants.unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes how a process that asked to join was answered; returns whether that is new.
    pub(crate) fn asked_to_join(&self, member: ControllerId, noted: bool) -> bool {
        let asked = self.asked_to_join.lock();
        let mut asked = asked.unwrap_or_else(PoisonError::into_inner);
        if asked.len() >= MAX_ASKED_TO_JOIN {
            asked.clear();
        }
        asked.insert(member, noted) != Some(noted)
    }

    /// Keeps what the metrics page tells of the group's redundancy; `None` when this
    /// member does not lead.
    pub(crate) fn tell_redundancy(&self, present: Option<(Redundancy, Millis)>) {
        let redundancy = self.redundancy.lock();
        *redundancy.unwrap_or_else(PoisonError::into_inner) = present;
    }

    /// The page of counters and gauges.
    pub(crate) fn metrics_page(&self) -> String {
        let status = self.replica.status().borrow().clone();
        let age = self.replica.confirmation_age();
        self.metrics.page(&Present {
            leads: status.leads(),
            term: status.term.0,
            configuration: self.replica.state().services.number,
            routers: self.sessions.router_count(),
            instances: self.engine().count(),
            contact_age_ms: age.map_or(u64::MAX, |age| age.0),
            redundancy: *self
                .redundancy
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        })
    }

    /// The leader's wire address, if known.
    pub(crate) fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.replica.status().borrow().leader?;
        self.addresses.get(leader)
    }
}

/// Settings of a new placement engine.
pub(crate) fn placement_settings(settings: &ServiceSettings) -> PlacementSettings {
    let interval = settings.limits.registration_interval_ms;
    PlacementSettings {
        silence_limit: Millis(interval * 4),
        ceiling_window: Millis((settings.limits.load_window_s * 1000.0) as u64),
        ..PlacementSettings::default()
    }
}

/// Settings of tenants' accounts.
pub(crate) fn quota_settings(settings: &ServiceSettings) -> QuotaSettings {
    let limits = &settings.limits;
    QuotaSettings::new(
        limits.quota_window_s,
        limits.quota_overshoot,
        limits.quota_slack,
    )
}

/// Registrations after which a silent connection of an instance is closed: those that
/// an instance left behind would add up to more than the process may have open.
const SILENT_REGISTRATIONS: u64 = 4;
/// Connections of instances and operators at the most; instances that find no place
/// here find one at another controller.
const MAX_CONTROL_CONNECTIONS: usize = 2_500;

fn control_limits(settings: &ServiceSettings) -> ServerLimits {
    let silence = settings.limits.registration_interval_ms * SILENT_REGISTRATIONS;
    ServerLimits {
        max_connections: MAX_CONTROL_CONNECTIONS,
        header_timeout: std::time::Duration::from_millis(silence),
        ..ServerLimits::default()
    }
}

/// Time between looks at whether the machine was suspended.
const SLEEP_LOOK: std::time::Duration = std::time::Duration::from_secs(1);

/// Tells when the machine was suspended. Nothing waits for it: what expires is judged by a
/// clock that counts the sleep, whenever it is asked.
async fn watch_sleep(shared: Arc<Shared>) {
    let mut watch = SuspendDetector::start(&shared.clock);
    loop {
        tokio::time::sleep(SLEEP_LOOK).await;
        if let Some(slept) = watch.check(&shared.clock) {
            shared.metrics.slept(slept);
            emit(&ControllerRecord::Slept { slept_ms: slept.0 });
        }
    }
}

/// A running coordinator.
pub struct Coordinator {
    shared: Arc<Shared>,
}

impl Coordinator {
    /// Starts a coordinator.
    ///
    /// # Errors
    /// When the store is damaged, or an address is taken.
    pub async fn start(
        settings: ServiceSettings,
        interface: Arc<dyn ControlInterface>,
    ) -> Result<Self, CoordinatorError> {
        Self::start_by(MonotonicClock::start(), settings, interface).await
    }

    /// Starts a coordinator that judges what expires by `clock`.
    ///
    /// # Errors
    /// When the store is damaged, or an address is taken.
    pub async fn start_by(
        clock: MonotonicClock,
        settings: ServiceSettings,
        interface: Arc<dyn ControlInterface>,
    ) -> Result<Self, CoordinatorError> {
        let key = ClusterKey::new(settings.cluster_key.as_bytes());
        let key = key.context(error::ShortKeySnafu)?;
        let control = settings.listen.control.context(error::NoAddressSnafu)?;
        let http = bind(control)?;
        let wire = bind(settings.wire_address())?;
        let metrics = settings.listen.metrics.map(bind).transpose()?;
        let identity = identity::load_or_draw(&settings)?;
        let stop = CancellationToken::new();
        let addresses = AddressBook::dialling_from(Some(settings.address))
            .at_member_port(settings.member_port());
        for (member, address) in &identity.known {
            addresses.set(*member, *address);
        }
        let thread = member_thread::start(stop.clone())?;
        let members = {
            let _on_thread = thread.enter();
            bind(settings.member_address())?
        };
        let replica = start_replica(&settings, &identity, clock, &key, &addresses, &stop);
        let replica = thread.spawn(replica).await;
        let replica = replica.context(MemberThreadSnafu)?.context(ReplicaSnafu)?;
        let engine = PlacementEngine::new(placement_settings(&settings));
        let shared = Arc::new(Shared {
            id: identity.id,
            client: HttpClient::from_address(Some(settings.address)),
            interface,
            replica,
            addresses,
            key,
            clock,
            sessions: Sessions::default(),
            upstream: upstream::Upstream::default(),
            places: places::Places::default(),
            routers: Mutex::default(),
            calls: Semaphore::new(orders::CALLS_AT_ONCE),
            relay: relay::Relay::default(),
            wake: Notify::new(),
            feeding: watch::Sender::new(false),
            leading: watch::Sender::new(false),
            applicants: Mutex::default(),
            asked_to_join: Mutex::default(),
            redundancy: Mutex::default(),
            stop: stop.clone(),
            metrics: Metrics::default(),
            seeds: SeedList::new(&settings),
            engine: Mutex::new(engine),
            quotas: Mutex::new(QuotaLedger::new(0, quota_settings(&settings))),
            limits: Mutex::default(),
            quarantine: Mutex::default(),
            settings,
        });
        let zone = Zone::from(shared.settings.zone.as_str());
        shared.places.note(shared.settings.wire_address(), &zone);
        emit(&ControllerRecord::Started {
            name: &shared.settings.name,
            zone: &shared.settings.zone,
            member: shared.id.0,
            founds: shared.settings.found_group,
        });
        let spawn = |work: std::pin::Pin<Box<dyn Future<Output = ()> + Send>>| {
            tokio::spawn(stop.clone().run_until_cancelled_owned(work));
        };
        let accepting = member_thread::accept_all(members, shared.clone());
        thread.spawn(stop.clone().run_until_cancelled_owned(accepting));
        spawn(Box::pin(feed::accept_all(wire, shared.clone())));
        spawn(Box::pin(upstream::run(shared.clone())));
        spawn(Box::pin(upstream::keep_routers(shared.clone())));
        spawn(Box::pin(spreading::follow(shared.clone())));
        spawn(Box::pin(join::keep_joined(shared.clone())));
        spawn(Box::pin(lead::run(shared.clone())));
        spawn(Box::pin(relay::run(shared.clone())));
        spawn(Box::pin(watch_sleep(shared.clone())));
        if let Some(metrics) = metrics {
            let handler = api::metrics_handler(shared.clone());
            let limits = ServerLimits::default();
            tokio::spawn(courseshunt_http::serve(
                metrics,
                limits,
                stop.clone(),
                handler,
            ));
        }
        let handler = api::handler(shared.clone());
        let limits = control_limits(&shared.settings);
        tokio::spawn(courseshunt_http::serve(http, limits, stop, handler));
        Ok(Self { shared })
    }

    /// Follows changed settings: the seeds take effect at once, all else at the
    /// next start.
    pub fn reload(&self, settings: &ServiceSettings) {
        let seeds = self.shared.seeds.follow(settings);
        emit(&ControllerRecord::Reloaded { seeds });
    }

    /// Waits until the replica ends by itself, and tells why: the process has to end, so that
    /// whoever runs it starts it again.
    pub async fn failed(&self) -> Arc<str> {
        let problem = self.shared.replica.failed().await;
        emit(&ControllerRecord::Failed { problem: &problem });
        problem
    }

    /// Stops as planned: hands the leadership over first.
    pub async fn stop(self) {
        self.shared.replica.stop().await;
        self.shared.stop.cancel();
        emit(&ControllerRecord::Stopped);
    }
}

/// Starts the replica; to be run on the members' thread.
fn start_replica(
    settings: &ServiceSettings,
    identity: &identity::Identity,
    clock: MonotonicClock,
    key: &ClusterKey,
    addresses: &AddressBook,
    stop: &CancellationToken,
) -> impl Future<Output = Result<ReplicaHandle, ControllerError>> + Send + use<> {
    let settings = replica_settings(settings, identity);
    let (key, addresses, stop) = (key.clone(), addresses.clone(), stop.clone());
    async move {
        let peers = PeerNetwork::new(settings.id, key, addresses, stop);
        replica::start(&settings, clock, peers).await
    }
}

fn replica_settings(settings: &ServiceSettings, identity: &identity::Identity) -> ReplicaSettings {
    ReplicaSettings {
        id: identity.id,
        data_folder: settings.data_folder.clone(),
        bootstrap: Membership::of_voters(identity.founders.iter().copied()),
        core: core_settings(identity.id),
        snapshot_after: SNAPSHOT_AFTER,
    }
}

fn bind(address: SocketAddr) -> Result<tokio::net::TcpListener, CoordinatorError> {
    courseshunt_wire::listen(address).context(BindSnafu { address })
}
