//! The controller of declared services. It forms the control group from a list of seed
//! addresses, replaces members whose disks were lost, stores the configuration, accepts the
//! registrations of instances, decides which models are loaded where, and feeds routers.
//!
//! Invariants: only the leader gives orders to instances, and only after a lease has passed
//! since its election, unless it was itself the last member to give orders. A change is
//! acknowledged only once it is committed. A process whose disk is empty joins under a new
//! identity and never votes under an old one.

mod accept;
mod api;
mod call_body;
pub mod configuration_feed;
mod configuration_rollout;
mod control_limits;
mod error;
mod feed;
mod identity;
mod instance_persistence;
mod interface;
mod join;
mod leader_link;
mod leader_loop;
pub mod leader_step;
pub mod leaving_notices;
mod limits;
mod load_metrics;
mod loads;
mod member_thread;
mod member_zones;
mod members;
mod metrics;
pub mod order_permission;
mod orders;
pub mod plan_pace;
mod quarantine;
mod records;
pub mod registration_admission;
mod relay;
mod reports;
pub mod router_registry;
mod sessions;
mod shared;
mod software_versions;
mod stop_deadlines;
mod stream_origins;
pub mod take_over;
mod take_over_task;
pub mod unrecorded_instances;
mod upstream;

pub use error::CoordinatorError;
pub use interface::{ControlCall, ControlInterface, Heartbeat, InstanceCall};

use courseshunt_consensus::Membership;
use courseshunt_controller::ControllerError;
use courseshunt_controller::peers::{AddressBook, PeerNetwork};
use courseshunt_controller::replica::{self, ReplicaHandle, ReplicaSettings};
use courseshunt_http::{HttpClient, MemoryBudget};
use courseshunt_membership::core_settings;
use courseshunt_records::emit;
use courseshunt_services::{PlacementEngine, PlacementSettings, QuotaLedger, QuotaSettings};
use courseshunt_settings::service::{SeedList, ServiceSettings};
use courseshunt_storage::LogStore;
use courseshunt_types::time::{MonotonicClock, SuspendDetector};
use courseshunt_types::{Millis, Zone};
use courseshunt_wire::ClusterKey;
use error::{BindSnafu, MemberThreadSnafu, ReplicaSnafu};
use identity::Identity;
use metrics::Metrics;
use records::ControllerRecord;
use sessions::Sessions;
use shared::Shared;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stop_deadlines::StopDeadlines;
use tokio::runtime::Handle;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Log entries and bytes after which a snapshot is taken. The byte limit matters because
/// configuration documents are large.
const SNAPSHOT_AFTER: (usize, usize) = (256, 2 * 1024 * 1024);

/// Settings of a new placement engine. An instance counts as lost after four registration
/// intervals without a registration.
pub(crate) fn placement_settings(settings: &ServiceSettings) -> PlacementSettings {
    let interval = settings.limits.registration_interval_ms;
    PlacementSettings {
        silence_limit: Millis(interval * 4),
        ceiling_window: Millis((settings.limits.load_window_s * 1000.0) as u64),
        ..PlacementSettings::default()
    }
}

/// Settings of the quota accounts of tenants.
pub(crate) fn quota_settings(settings: &ServiceSettings) -> QuotaSettings {
    let limits = &settings.limits;
    QuotaSettings::new(
        limits.quota_window_s,
        limits.quota_overshoot,
        limits.quota_slack,
    )
}

/// Interval of the checks whether the machine was suspended.
const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Records when the machine was suspended. Nothing depends on this task: expiry is evaluated by
/// a clock that includes the time of a suspension.
async fn watch_suspension(shared: Arc<Shared>) {
    let mut watch = SuspendDetector::start(&shared.clock);
    loop {
        tokio::time::sleep(SUSPENSION_CHECK_INTERVAL).await;
        if let Some(suspended) = watch.check(&shared.clock) {
            shared.metrics.suspended(suspended);
            emit(&ControllerRecord::Slept {
                slept_ms: suspended.0,
            });
        }
    }
}

/// A running coordinator.
pub struct Coordinator {
    shared: Arc<Shared>,
}

impl Coordinator {
    /// Starts a coordinator with a new clock.
    ///
    /// # Errors
    /// When a setting is missing or too short, the store is damaged, or an address is in use.
    pub async fn start(
        settings: ServiceSettings,
        interface: Arc<dyn ControlInterface>,
    ) -> Result<Self, CoordinatorError> {
        Self::start_with_clock(MonotonicClock::start(), settings, interface).await
    }

    /// Starts a coordinator that evaluates expiry by `clock`.
    ///
    /// # Errors
    /// When a setting is missing or too short, the store is damaged, or an address is in use.
    pub async fn start_with_clock(
        clock: MonotonicClock,
        settings: ServiceSettings,
        interface: Arc<dyn ControlInterface>,
    ) -> Result<Self, CoordinatorError> {
        Self::start_with_log(None, clock, settings, interface).await
    }

    /// Starts a coordinator that keeps its log in `store`.
    ///
    /// # Errors
    /// When a setting is missing or too short, the store is damaged, or an address is in use.
    pub async fn start_with_store(
        store: Box<dyn LogStore>,
        settings: ServiceSettings,
        interface: Arc<dyn ControlInterface>,
    ) -> Result<Self, CoordinatorError> {
        let clock = MonotonicClock::start();
        Self::start_with_log(Some(store), clock, settings, interface).await
    }

    async fn start_with_log(
        store: Option<Box<dyn LogStore>>,
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
        let stop = CancellationToken::new();
        let thread = member_thread::start(stop.clone())?;
        let (identity, settings) = load_identity(&thread, settings).await?;
        let addresses = AddressBook::dialling_from(Some(settings.address))
            .at_member_port(settings.member_port());
        for (member, address) in &identity.known {
            addresses.set(*member, *address);
        }
        let (members, peers) = {
            let _on_thread = thread.enter();
            let peers = PeerNetwork::new(identity.id, key.clone(), addresses.clone(), stop.clone());
            (bind(settings.member_address())?, peers)
        };
        let replica = start_replica(store, replica_settings(&settings, &identity), clock, peers);
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
            sessions: Sessions::new(clock),
            upstream: upstream::Upstream::default(),
            member_zones: member_zones::MemberZones::default(),
            routers: Mutex::default(),
            call_permits: Semaphore::new(orders::MAX_CONCURRENT_CALLS),
            api_requests: TaskTracker::new(),
            relay: relay::Relay::default(),
            wake: Notify::new(),
            feed_available: watch::Sender::new(false),
            leading: watch::Sender::new(false),
            join_requests: Mutex::default(),
            join_answers: Mutex::default(),
            redundancy: Mutex::default(),
            stop: stop.clone(),
            last_answers_due: CancellationToken::new(),
            metrics: Metrics::default(),
            memory: MemoryBudget::of_process(settings.limits.process_memory_bytes()),
            seeds: SeedList::new(&settings),
            engine: Mutex::new(engine),
            quotas: Mutex::new(QuotaLedger::new(0, quota_settings(&settings))),
            limits: Mutex::default(),
            loads: Mutex::default(),
            quarantine: Mutex::default(),
            is_attribution_pending: AtomicBool::new(false),
            forwarders: Mutex::default(),
            software_versions: Mutex::default(),
            origins: Mutex::default(),
            settings,
        });
        let zone = Zone::from(shared.settings.zone.as_str());
        shared
            .member_zones
            .note(shared.settings.wire_address(), &zone);
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
        spawn(Box::pin(upstream::retain_routers(shared.clone())));
        spawn(Box::pin(configuration_rollout::publish_committed(
            shared.clone(),
        )));
        spawn(Box::pin(join::maintain_membership(shared.clone())));
        spawn(Box::pin(leader_loop::run(shared.clone())));
        spawn(Box::pin(relay::run(shared.clone())));
        spawn(Box::pin(take_over_task::run(shared.clone())));
        spawn(Box::pin(watch_suspension(shared.clone())));
        if let Some(metrics) = metrics {
            let handler = api::metrics_handler(shared.clone());
            let limits = control_limits::metrics_limits();
            tokio::spawn(courseshunt_http::serve(
                metrics,
                limits,
                stop.clone(),
                handler,
            ));
        }
        let handler = api::handler(shared.clone());
        let limits = control_limits::control_limits(&shared.settings.limits);
        let requests = shared.api_requests.clone();
        let serving = courseshunt_http::serve_counted(http, limits, stop, requests, handler);
        tokio::spawn(serving);
        Ok(Self { shared })
    }

    /// Applies changed settings: seeds take effect at once, all other settings at the next
    /// start.
    pub fn reload(&self, settings: &ServiceSettings) {
        let seeds = self.shared.seeds.follow(settings);
        emit(&ControllerRecord::Reloaded { seeds });
    }

    /// Waits until the replica fails and returns the reason. The process has to exit then, so
    /// that its supervisor restarts it.
    pub async fn failed(&self) -> Arc<str> {
        let problem = self.shared.replica.failed().await;
        emit(&ControllerRecord::Failed { problem: &problem });
        problem
    }

    /// Stops gracefully: hands the leadership over first, and returns once the responses to all calls
    /// have been written and the log is closed, or the grace period is nearly over.
    pub async fn stop(self) {
        let deadlines = StopDeadlines::from_now(&self.shared.settings.limits);
        tokio::join!(self.stop_replica(&deadlines), self.end_calls(&deadlines));
        emit(&ControllerRecord::Stopped);
    }

    /// Hands the leadership over, stops the replica and then all that needs it. A slow disk delays
    /// only the return.
    async fn stop_replica(&self, deadlines: &StopDeadlines) {
        let replica = &self.shared.replica;
        // The next feed of these routers may be one that does not withdraw them.
        self.shared.sessions.withdraw_all_aliases();
        replica.hand_over(deadlines.transfer).await;
        replica.stop(deadlines.last_answers).await;
        // The transfer needs the connections between members, and the replica their thread.
        self.shared.stop.cancel();
        self.shared.api_requests.close();
        replica.store_closed(deadlines.last_write()).await;
    }

    /// Waits until the responses to all calls have been written. Calls that have none when the last
    /// answers are due are answered then.
    async fn end_calls(&self, deadlines: &StopDeadlines) {
        let calls = &self.shared.api_requests;
        let ended = tokio::time::timeout_at(deadlines.last_answers, calls.wait()).await;
        if ended.is_err() {
            self.shared.last_answers_due.cancel();
            let _ = tokio::time::timeout_at(deadlines.end, calls.wait()).await;
        }
    }
}

/// Reads or creates the identity on `thread`, so that the caller can give up on a disk that stalls.
async fn load_identity(
    thread: &Handle,
    settings: ServiceSettings,
) -> Result<(Identity, ServiceSettings), CoordinatorError> {
    let loading = thread.spawn(async move {
        let identity = identity::load_or_create(&settings);
        identity.map(|identity| (identity, settings))
    });
    loading.await.context(MemberThreadSnafu)?
}

/// Starts the replica with this store, or with the one in the data folder. It has to run on the thread
/// of the control group.
async fn start_replica(
    store: Option<Box<dyn LogStore>>,
    settings: ReplicaSettings,
    clock: MonotonicClock,
    peers: PeerNetwork,
) -> Result<ReplicaHandle, ControllerError> {
    match store {
        Some(store) => replica::start_with_store(&settings, store, clock, peers).await,
        None => replica::start(&settings, clock, peers).await,
    }
}

fn replica_settings(settings: &ServiceSettings, identity: &Identity) -> ReplicaSettings {
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
