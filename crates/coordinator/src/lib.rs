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
use courseshunt_types::time::{MonotonicClock, SuspendDetector};
use courseshunt_types::{Millis, Zone};
use courseshunt_wire::ClusterKey;
use error::{BindSnafu, MemberThreadSnafu, ReplicaSnafu};
use metrics::Metrics;
use records::ControllerRecord;
use sessions::Sessions;
use shared::Shared;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;
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
/// In a planned stop, calls without a response are answered this much before the end of the stop,
/// whatever they wait for; in proportion less for a short grace period.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Part of the grace period that is reserved for the exit of the process; in proportion shorter for
/// a short grace period.
const STOP_MARGIN: Duration = Duration::from_millis(400);

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
        let key = ClusterKey::new(settings.cluster_key.as_bytes());
        let key = key.context(error::ShortKeySnafu)?;
        let control = settings.listen.control.context(error::NoAddressSnafu)?;
        let http = bind(control)?;
        let wire = bind(settings.wire_address())?;
        let metrics = settings.listen.metrics.map(bind).transpose()?;
        let identity = identity::load_or_create(&settings)?;
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
    /// have been written or the grace period is nearly over.
    pub async fn stop(self) {
        let limits = self.shared.settings.limits;
        let margin = limits.stop_margin(STOP_MARGIN);
        let limit = tokio::time::Instant::now() + limits.grace() - margin;
        self.shared.replica.stop().await;
        self.shared.stop.cancel();
        self.shared.api_requests.close();
        let answers_due = limit - limits.stop_margin(LAST_ANSWER_MARGIN);
        let calls = &self.shared.api_requests;
        let ended = tokio::time::timeout_at(answers_due, calls.wait()).await;
        if ended.is_err() {
            self.shared.last_answers_due.cancel();
            let _ = tokio::time::timeout_at(limit, calls.wait()).await;
        }
        emit(&ControllerRecord::Stopped);
    }
}

/// Starts the replica; the returned future has to run on the thread of the control group.
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
