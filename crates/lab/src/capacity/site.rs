//! A fleet of hollow nodes around real controllers, each role on its own
//! threads, so that the kernel tells the processor time of each.

use super::documents;
use crate::error::LabError;
use crate::hollow::router::{HollowRouter, HollowRouterSettings};
use crate::hollow::runner::{HollowRunner, HollowRunnerSettings, RunnerCounters};
use courseshunt_controller::Controller;
use courseshunt_operator::AdminClient;
use courseshunt_router::Router;
use courseshunt_settings::{ControllerSettings, PeerAddress, RouterSettings};
use courseshunt_standin::server::PlatformServer;
use courseshunt_types::runner_api::{MachineItem, MachineState};
use courseshunt_types::{ControllerId, Millis, Revision};
use courseshunt_wire::ClusterKey;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Prefix of the names of a controller's threads; its number follows.
pub const CONTROL_THREADS: &str = "control-";
/// Prefix of the names of the routers' threads.
pub const ROUTER_THREADS: &str = "routers-";
/// Prefix of the names of the runners' threads.
pub const RUNNER_THREADS: &str = "runners-";
/// Threads of a role that many nodes share.
const SHARED_THREADS: usize = 3;
/// Threads of a controller.
const CONTROL_WORKERS: usize = 2;
/// Longest wait for a fleet to come up or a change to be in force.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Pause between looks at a condition.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);
/// Accelerator memory of a runner of the design size (8 accelerators), in MiB.
const RUNNER_MIB: u64 = 8 * 80_000;
/// Accelerators of a runner.
const ACCELERATORS: u32 = 8;
/// Time that a load takes on a hollow runner.
const LOAD_TIME: Millis = Millis(500);
/// Zones of the design size.
const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];
const CLUSTER_KEY: &str = "capacity-cluster-key-0123456789";
const OPERATOR_TOKEN: &str = "capacity-operator";
const RUNNER_TOKEN: &str = "capacity-runner";

/// How many nodes a fleet has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct FleetSize {
    /// Voting controllers.
    pub controllers: usize,
    /// Hollow routers.
    pub routers: usize,
    /// Hollow runners.
    pub runners: usize,
}

/// A running fleet.
#[derive(Debug)]
pub struct HollowFleet {
    /// The controllers.
    pub controllers: Vec<Controller>,
    /// The hollow routers.
    pub routers: Vec<HollowRouter>,
    /// Traffic of the runners' control interfaces.
    pub runner_counters: Arc<RunnerCounters>,
    platform: PlatformServer,
    runtimes: Vec<RoleThreads>,
    stop: CancellationToken,
    real_routers: Vec<Router>,
    folder: tempfile::TempDir,
}

/// The threads of a role; dropping them waits for nothing.
#[derive(Debug)]
struct RoleThreads(Option<Runtime>);

impl Drop for RoleThreads {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

fn threads(name: &str, workers: usize) -> Result<RoleThreads, LabError> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let built = builder.worker_threads(workers).thread_name(name);
    Ok(RoleThreads(Some(built.enable_all().build()?)))
}

impl RoleThreads {
    /// Runs work on these threads and waits for it here.
    async fn run<T: Send + 'static>(
        &self,
        work: impl Future<Output = Result<T, LabError>> + Send + 'static,
    ) -> Result<T, LabError> {
        let Some(runtime) = &self.0 else {
            return Err(LabError::violation("the threads of a role have ended"));
        };
        let joined = runtime.spawn(work).await;
        joined.map_err(|error| LabError::violation(error.to_string()))?
    }
}

/// Waits until a condition holds; `what` names it in the error.
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) -> Result<Duration, LabError> {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > PATIENCE {
            return Err(LabError::violation(format!("not in time: {what}")));
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    Ok(start.elapsed())
}

impl HollowFleet {
    /// Starts controllers and runners, and applies the configuration of the
    /// design size. The routers come with [`HollowFleet::start_routers`].
    ///
    /// # Errors
    /// When a part can't start or is not ready in time.
    pub async fn start(size: FleetSize) -> Result<Self, LabError> {
        let folder = tempfile::tempdir()?;
        write_secrets(folder.path())?;
        let stop = CancellationToken::new();
        let runner_counters = Arc::new(RunnerCounters::default());
        let runner_runtime = threads(RUNNER_THREADS, SHARED_THREADS)?;
        let counters = runner_counters.clone();
        let runners = start_runners(size.runners, counters, stop.clone());
        let platform = runner_runtime.run(runners).await?;
        let mut runtimes = vec![runner_runtime];
        let controllers = start_controllers(size, folder.path(), &platform, &mut runtimes).await?;
        let fleet = Self {
            controllers,
            routers: Vec::new(),
            runner_counters,
            platform,
            runtimes,
            stop,
            real_routers: Vec::new(),
            folder,
        };
        fleet.wait_for_runners(size.runners).await?;
        fleet.apply(&documents::whole_configuration()?).await?;
        Ok(fleet)
    }

    async fn wait_for_runners(&self, runners: usize) -> Result<(), LabError> {
        let known = || {
            let leader = self.leader();
            let state = self.controllers[leader].context().replica.state();
            state.placement.runners.len() == runners
        };
        wait_until("all runners are known", known).await?;
        Ok(())
    }

    /// Place of the leader in `controllers`; 0 while there is none.
    #[must_use]
    pub fn leader(&self) -> usize {
        let leads = |one: &Controller| one.context().replica.status().borrow().leads();
        self.controllers.iter().position(leads).unwrap_or(0)
    }

    /// Applies a change at the leader.
    ///
    /// # Errors
    /// When it is refused.
    pub async fn apply(
        &self,
        change: &courseshunt_state::ChangeRequest,
    ) -> Result<Revision, LabError> {
        let address = self.controllers[self.leader()].http_address;
        let client = AdminClient::new(address.to_string(), OPERATOR_TOKEN);
        Ok(client.apply(change).await?)
    }

    /// Waits until a revision is in force at all routers.
    ///
    /// # Errors
    /// When it is not in time.
    pub async fn wait_in_force(&self, revision: Revision) -> Result<Duration, LabError> {
        let reached = || self.routers.iter().all(|one| one.revision() >= revision);
        wait_until("a revision is in force at all routers", reached).await
    }

    /// Starts all hollow routers at once, as after the cut of a region, and
    /// waits until each has the whole configuration; returns the time.
    ///
    /// # Errors
    /// When they can't start or are not in time.
    pub async fn start_routers(&mut self, count: usize) -> Result<Duration, LabError> {
        let router_runtime = threads(ROUTER_THREADS, SHARED_THREADS)?;
        let key = ClusterKey::new(CLUSTER_KEY.as_bytes());
        let key = key.ok_or_else(|| LabError::violation("the cluster key is too short"))?;
        let controllers: Vec<SocketAddr> = self
            .controllers
            .iter()
            .map(|one| one.wire_address)
            .collect();
        let stop = self.stop.clone();
        let started = async move {
            let routers = (0..count).map(|number| {
                let settings = HollowRouterSettings {
                    id: format!("router-{number:03}").into(),
                    zone: ZONES[number % ZONES.len()].to_owned(),
                    controllers: controllers.clone(),
                    key: key.clone(),
                };
                HollowRouter::start(settings, stop.clone())
            });
            Ok(routers.collect())
        };
        self.routers = router_runtime.run(started).await?;
        self.runtimes.push(router_runtime);
        let state = self.controllers[self.leader()].context().replica.clone();
        let revision = state.state().configuration.revision;
        self.wait_in_force(revision).await
    }

    /// Starts real routers; returns their addresses for callers.
    ///
    /// # Errors
    /// When they can't start or are not in time.
    pub async fn start_real_routers(&mut self, count: usize) -> Result<Vec<SocketAddr>, LabError> {
        let router_runtime = threads(ROUTER_THREADS, SHARED_THREADS)?;
        let mut views = Vec::new();
        for _ in 0..count {
            let number = self.real_routers.len() + 1;
            let settings = self.router_settings(number)?;
            let started = async move { Ok(Router::start(settings).await?) };
            let router = router_runtime.run(started).await?;
            views.push(router.context().view.clone());
            self.real_routers.push(router);
        }
        self.runtimes.push(router_runtime);
        let synced = || views.iter().all(|view| view.is_synced());
        wait_until("real routers are synced", synced).await?;
        let started = self.real_routers.iter().rev().take(count);
        Ok(started.map(|router| router.http_address).collect())
    }

    fn router_settings(&self, number: usize) -> Result<RouterSettings, LabError> {
        let key = self.folder.path().join("cluster.key");
        let arguments = flags(&[
            ("--id", format!("real-router-{number}")),
            ("--http-address", "127.0.0.1:0".to_owned()),
            ("--wire-address", "127.0.0.1:0".to_owned()),
            (
                "--controllers",
                self.controllers[0].wire_address.to_string(),
            ),
            ("--cluster-key-file", key.to_string_lossy().into_owned()),
            ("--log-level", "warn".to_owned()),
        ]);
        Ok(RouterSettings::load(&arguments)?)
    }

    /// Stops everything.
    pub async fn stop(self) {
        self.stop.cancel();
        for router in self.real_routers {
            router.stop().await;
        }
        for controller in self.controllers {
            controller.stop().await;
        }
        self.platform.stop();
    }
}

fn write_secrets(folder: &Path) -> Result<(), LabError> {
    std::fs::write(folder.join("cluster.key"), CLUSTER_KEY)?;
    std::fs::write(folder.join("runner.token"), RUNNER_TOKEN)?;
    let operators = format!("operate {OPERATOR_TOKEN}\n");
    Ok(std::fs::write(folder.join("operators"), operators)?)
}

async fn start_runners(
    count: usize,
    counters: Arc<RunnerCounters>,
    stop: CancellationToken,
) -> Result<PlatformServer, LabError> {
    let platform = PlatformServer::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    for number in 0..count {
        let settings = HollowRunnerSettings {
            name: format!("runner-{number:03}"),
            zone: ZONES[number % ZONES.len()].to_owned(),
            memory_mib: RUNNER_MIB,
            accelerators: ACCELERATORS,
            load: LOAD_TIME,
            token: RUNNER_TOKEN.to_owned(),
        };
        let machine = MachineItem {
            runner: settings.name.clone().into(),
            address: String::new(),
            zone: settings.zone.as_str().into(),
            state: MachineState::Live,
        };
        let runner = HollowRunner::start(settings, counters.clone(), stop.clone()).await?;
        platform.set(MachineItem {
            address: runner.address.to_string(),
            ..machine
        });
    }
    Ok(platform)
}

/// Starts each controller on threads of its own.
async fn start_controllers(
    size: FleetSize,
    folder: &Path,
    platform: &PlatformServer,
    runtimes: &mut Vec<RoleThreads>,
) -> Result<Vec<Controller>, LabError> {
    let addresses = free_addresses(size.controllers)?;
    let members = addresses.iter().zip(1..);
    let members: Vec<PeerAddress> = members
        .map(|(address, id)| PeerAddress {
            id: ControllerId(id),
            address: *address,
        })
        .collect();
    let mut controllers = Vec::new();
    for member in &members {
        let mut settings = controller_settings(*member, folder, platform)?;
        if members.len() > 1 {
            settings.voters = members.clone();
        }
        let runtime = threads(&format!("{CONTROL_THREADS}{}", member.id), CONTROL_WORKERS)?;
        let started = async move { Ok(Controller::start(settings).await?) };
        controllers.push(runtime.run(started).await?);
        runtimes.push(runtime);
    }
    Ok(controllers)
}

/// Free ports of the loopback interface. They are free again until bound.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, LabError> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listeners: Result<Vec<TcpListener>, std::io::Error> =
        (0..count).map(|_| TcpListener::bind(any)).collect();
    let addresses = listeners?.into_iter().map(|one| one.local_addr());
    Ok(addresses.collect::<Result<_, _>>()?)
}

/// Settings as a file of a controller at the design size would give them.
fn controller_settings(
    member: PeerAddress,
    folder: &Path,
    platform: &PlatformServer,
) -> Result<ControllerSettings, LabError> {
    let path = |name: &str| folder.join(name).to_string_lossy().into_owned();
    let arguments = flags(&[
        ("--id", member.id.to_string()),
        ("--http-address", "127.0.0.1:0".to_owned()),
        ("--wire-address", member.address.to_string()),
        ("--data-folder", path(&format!("controller-{}", member.id))),
        ("--platform-address", platform.address.to_string()),
        ("--operator-token-file", path("operators")),
        ("--runner-token-file", path("runner.token")),
        ("--cluster-key-file", path("cluster.key")),
        ("--store-loads-per-second", "50".to_owned()),
        ("--store-concurrency", "100".to_owned()),
        ("--log-level", "warn".to_owned()),
    ]);
    Ok(ControllerSettings::load(&arguments)?)
}

fn flags(pairs: &[(&str, String)]) -> Vec<String> {
    let words = pairs
        .iter()
        .flat_map(|(flag, value)| [(*flag).to_owned(), value.clone()]);
    words.collect()
}
