//! A whole site in one process: platform, weight store, runners, controllers
//! and routers on loopback sockets.

use crate::error::LabError;
use courseshunt_controller::Controller;
use courseshunt_operator::AdminClient;
use courseshunt_router::Router;
use courseshunt_settings::process::{LogSettings, PeerAddress};
use courseshunt_settings::{ControllerSettings, RouterSettings};
use courseshunt_standin::model::{RunnerModelSettings, StoreModelSettings};
use courseshunt_standin::server::{PlatformServer, RunnerServer, StoreServer};
use courseshunt_types::runner_api::{MachineItem, MachineState};
use courseshunt_types::{ControllerId, Millis};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;

/// Any free port of the loopback interface.
const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// Token of the operator that the site makes.
pub const OPERATOR_TOKEN: &str = "demo-operator-token";
/// Controllers of a site, unless it is started with another number.
pub const CONTROLLERS: usize = 3;
const RUNNER_TOKEN: &str = "demo-runner-token";
/// Longest wait for a site to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// What a site consists of.
#[derive(Debug, Clone)]
pub struct SiteSettings {
    /// Routers.
    pub routers: usize,
    /// Stand-in runners.
    pub runners: usize,
    /// Accelerator memory of each runner, in MiB.
    pub runner_memory_mib: u64,
    /// The weight store.
    pub store: StoreModelSettings,
    /// Zones, used in turn.
    pub zones: Vec<String>,
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The platform's list.
    pub platform: PlatformServer,
    /// The weight store.
    pub store: StoreServer,
    /// The runners.
    pub runners: Vec<RunnerServer>,
    /// The controllers.
    pub controllers: Vec<Controller>,
    /// The routers.
    pub routers: Vec<Router>,
    _folder: tempfile::TempDir,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(ANY_PORT)
}

fn quiet() -> LogSettings {
    LogSettings {
        level: "warn".to_owned(),
        format: "text".to_owned(),
    }
}

impl Site {
    /// Starts everything and waits until all routers are ready.
    ///
    /// # Errors
    /// When a part can't start or does not become ready in time.
    pub async fn start(settings: &SiteSettings) -> Result<Self, LabError> {
        Self::start_with(settings, CONTROLLERS).await
    }

    /// Starts a site with that many controllers, all of which vote.
    ///
    /// # Errors
    /// When a part can't start or does not become ready in time.
    pub async fn start_with(settings: &SiteSettings, controllers: usize) -> Result<Self, LabError> {
        let folder = tempfile::tempdir()?;
        write_secrets(folder.path())?;
        let platform = PlatformServer::start(any_port()).await?;
        let store = StoreServer::start(any_port(), settings.store).await?;
        let runners = start_runners(settings, &platform, &store).await?;
        let controllers =
            start_controllers(folder.path(), &platform, settings, controllers).await?;
        let feeds: Vec<SocketAddr> = controllers.iter().map(|one| one.wire_address).collect();
        let mut routers = Vec::new();
        for number in 1..=settings.routers {
            let zone = zone(settings, number);
            routers.push(start_router(folder.path(), &feeds, number, zone).await?);
        }
        let site = Self {
            platform,
            store,
            runners,
            controllers,
            routers,
            _folder: folder,
        };
        site.wait_until_ready().await?;
        Ok(site)
    }

    /// Client of the operators' API.
    #[must_use]
    pub fn admin(&self) -> AdminClient {
        let address = self.controllers[0].http_address.to_string();
        AdminClient::new(address, OPERATOR_TOKEN)
    }

    async fn wait_until_ready(&self) -> Result<(), LabError> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        loop {
            let synced = self
                .routers
                .iter()
                .all(|one| one.context().view.is_synced());
            let known = self.controllers.iter().all(|one| {
                let state = one.context().replica.state();
                state.placement.runners.len() == self.runners.len()
            });
            if synced && known {
                return Ok(());
            }
            if tokio::time::Instant::now() > deadline {
                return Err(LabError::violation("the site did not become ready in time"));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Stops everything as planned, from the callers' side inwards.
    pub async fn stop(self) {
        for router in self.routers {
            router.stop().await;
        }
        for controller in self.controllers {
            controller.stop().await;
        }
        for runner in &self.runners {
            runner.stop();
        }
        self.store.stop();
        self.platform.stop();
    }
}

fn write_secrets(folder: &Path) -> Result<(), LabError> {
    let key = format!("{:032x}", rand::random::<u128>());
    std::fs::write(folder.join("cluster.key"), key)?;
    std::fs::write(folder.join("runner.token"), RUNNER_TOKEN)?;
    std::fs::write(
        folder.join("operators"),
        format!("operate {OPERATOR_TOKEN}\n"),
    )?;
    Ok(())
}

fn zone(settings: &SiteSettings, number: usize) -> &str {
    let zones = &settings.zones;
    zones
        .get(number % zones.len().max(1))
        .map_or("default", String::as_str)
}

async fn start_runners(
    settings: &SiteSettings,
    platform: &PlatformServer,
    store: &StoreServer,
) -> Result<Vec<RunnerServer>, LabError> {
    let mut runners = Vec::new();
    for number in 1..=settings.runners {
        let name = format!("runner-{number}");
        let zone = zone(settings, number);
        let model = RunnerModelSettings::named(&name, zone, settings.runner_memory_mib);
        let server = RunnerServer::start(any_port(), store.address, RUNNER_TOKEN, model).await?;
        platform.set(MachineItem {
            runner: name.into(),
            address: server.address.to_string(),
            zone: zone.into(),
            state: MachineState::Live,
        });
        runners.push(server);
    }
    Ok(runners)
}

/// Starts the control group; the listeners are bound first, so that every
/// member knows the others' ports.
async fn start_controllers(
    folder: &Path,
    platform: &PlatformServer,
    settings: &SiteSettings,
    count: usize,
) -> Result<Vec<Controller>, LabError> {
    let mut listeners = Vec::new();
    let mut voters = Vec::new();
    for number in 1..=count {
        let wire = TcpListener::bind(any_port()).await?;
        let address = wire.local_addr()?;
        let id = ControllerId(number as u64);
        voters.push(PeerAddress { id, address });
        listeners.push(wire);
    }
    let mut controllers = Vec::new();
    for (voter, wire) in voters.iter().zip(listeners) {
        let settings = controller_settings(folder, platform, settings, voter.id, voters.clone());
        let http = TcpListener::bind(any_port()).await?;
        controllers.push(Controller::start_on(settings, http, wire).await?);
    }
    Ok(controllers)
}

fn controller_settings(
    folder: &Path,
    platform: &PlatformServer,
    settings: &SiteSettings,
    id: ControllerId,
    voters: Vec<PeerAddress>,
) -> ControllerSettings {
    ControllerSettings {
        id,
        http_address: any_port(),
        wire_address: any_port(),
        voters,
        data_folder: folder.join(format!("controller-{id}")),
        platform_address: platform.address,
        operator_token_file: folder.join("operators"),
        runner_token_file: folder.join("runner.token"),
        policy: "load-on-demand".to_owned(),
        store_loads_per_second: settings.store.starts_per_second.ceil() as u32,
        store_concurrency: settings.store.full_speed_transfers,
        source_address: None,
        zone: "default".into(),
        cluster_key_file: folder.join("cluster.key"),
        logging: quiet(),
    }
}

/// The controllers, each router beginning with another one.
fn spread(controllers: &[SocketAddr], number: usize) -> Vec<SocketAddr> {
    let mut spread = controllers.to_vec();
    spread.rotate_left(number % controllers.len().max(1));
    spread
}

async fn start_router(
    folder: &Path,
    controllers: &[SocketAddr],
    number: usize,
    zone: &str,
) -> Result<Router, LabError> {
    let settings = RouterSettings {
        id: format!("router-{number}").into(),
        http_address: any_port(),
        wire_address: any_port(),
        advertised_address: None,
        controllers: spread(controllers, number),
        max_connections: 10_000,
        max_body_bytes: 1024 * 1024,
        max_waiting_bytes: 256 * 1024 * 1024,
        body_timeout: Millis::from_secs(2),
        drain: Millis::from_secs(30),
        source_address: None,
        zone: zone.into(),
        cluster_key_file: folder.join("cluster.key"),
        logging: quiet(),
    };
    Ok(Router::start(settings).await?)
}
