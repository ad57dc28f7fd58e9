//! A whole fleet in one process, each node of which can be ended, stopped and
//! started again singly, under the same addresses and data folder.

use super::address::{FleetNetwork, NodeId, NodeKind, relayed};
use super::node::Node;
use super::relay::Relay;
use super::shape::FleetShape;
use crate::error::LabError;
use courseshunt_controller::Controller;
use courseshunt_operator::AdminClient;
use courseshunt_router::Router;
use courseshunt_settings::process::{LogSettings, PeerAddress};
use courseshunt_settings::{ControllerSettings, RouterSettings};
use courseshunt_standin::model::RunnerModelSettings;
use courseshunt_standin::server::{PlatformServer, RunnerServer, StoreServer};
use courseshunt_types::runner_api::{MachineItem, MachineState};
use courseshunt_types::{ControllerId, Incarnation, Millis};
use std::collections::BTreeMap;
use std::time::Duration;

/// Token of the fleet's operator.
pub const OPERATOR_TOKEN: &str = "fleet-operator-token";
/// Token for the runners' control interface.
pub const RUNNER_TOKEN: &str = "fleet-runner-token";
/// Longest wait of a planned stop for running requests.
const DRAIN: Millis = Millis::from_secs(30);
/// Tries to bind an address again that an ended node may still hold.
const START_TRIES: u32 = 50;
const START_PAUSE: Duration = Duration::from_millis(100);

/// A runner with all its lives: the executions of each are kept.
#[derive(Debug)]
pub struct RunnerLives {
    /// The running one.
    pub running: Option<Node<RunnerServer>>,
    /// All lives, the latest last; their logs can be read after their end.
    pub lives: Vec<RunnerServer>,
    settings: RunnerModelSettings,
}

/// See the module.
#[derive(Debug)]
pub struct FleetSite {
    /// Its network.
    pub network: FleetNetwork,
    /// The relay between its nodes.
    pub relay: Relay,
    /// The platform's list.
    pub platform: PlatformServer,
    /// The weight store.
    pub store: StoreServer,
    /// Controllers by number; `None` while down.
    pub controllers: BTreeMap<u8, Option<Node<Controller>>>,
    /// Routers by number; `None` while down.
    pub routers: BTreeMap<u8, Option<Node<Router>>>,
    /// Runners by number.
    pub runners: BTreeMap<u8, RunnerLives>,
    shape: FleetShape,
    folder: tempfile::TempDir,
}

impl FleetSite {
    /// Starts every node.
    ///
    /// # Errors
    /// When a node can't start.
    pub async fn start(shape: &FleetShape) -> Result<Self, LabError> {
        let network = FleetNetwork::draw();
        let folder = tempfile::tempdir()?;
        write_secrets(folder.path())?;
        let relay = Relay::new(network);
        let platform_address = network.http(NodeId::platform());
        let platform = PlatformServer::start(platform_address).await?;
        relay.open(NodeId::platform(), platform_address).await?;
        let store = StoreServer::start(network.wire(NodeId::platform()), shape.store).await?;
        let mut site = Self {
            network,
            relay,
            platform,
            store,
            controllers: BTreeMap::new(),
            routers: BTreeMap::new(),
            runners: BTreeMap::new(),
            shape: shape.clone(),
            folder,
        };
        site.start_all().await?;
        Ok(site)
    }

    async fn start_all(&mut self) -> Result<(), LabError> {
        for (number, settings) in (1..).zip(self.shape.runners.clone()) {
            let lives = RunnerLives {
                running: None,
                lives: Vec::new(),
                settings,
            };
            self.runners.insert(number, lives);
        }
        for node in self.nodes() {
            self.start_node(node).await?;
        }
        Ok(())
    }

    /// All nodes that can fail.
    #[must_use]
    pub fn nodes(&self) -> Vec<NodeId> {
        let runners = (1..=self.shape.runners.len() as u8).map(NodeId::runner);
        let controllers = (1..=self.shape.controllers).map(NodeId::controller);
        let routers = (1..=self.shape.routers).map(NodeId::router);
        runners.chain(controllers).chain(routers).collect()
    }

    /// Zone of a node.
    #[must_use]
    pub fn zone(&self, node: NodeId) -> &str {
        self.shape.zone(node.number)
    }

    /// Whether a node runs.
    #[must_use]
    pub fn is_up(&self, node: NodeId) -> bool {
        let number = &node.number;
        match node.kind {
            NodeKind::Controller => self.controllers.get(number).is_some_and(Option::is_some),
            NodeKind::Router => self.routers.get(number).is_some_and(Option::is_some),
            NodeKind::Runner => {
                let lives = self.runners.get(number);
                lives.is_some_and(|lives| lives.running.is_some())
            }
            NodeKind::Platform => true,
        }
    }

    /// Whether a node carries something: a runner that executed a request,
    /// anything else that runs.
    #[must_use]
    pub fn is_busy(&self, node: NodeId) -> bool {
        let lives = self.runners.get(&node.number);
        match node.kind {
            NodeKind::Runner => lives
                .and_then(|lives| lives.running.as_ref())
                .is_some_and(|running| !running.part.executions().is_empty()),
            _ => self.is_up(node),
        }
    }

    /// Starts a node, also again; one that runs is left alone.
    ///
    /// # Errors
    /// When it can't start.
    pub async fn start_node(&mut self, node: NodeId) -> Result<(), LabError> {
        if self.is_up(node) {
            return Ok(());
        }
        let mut tries = 0;
        loop {
            let started = self.try_start(node).await;
            tries += 1;
            match started {
                Err(error) if tries < START_TRIES && is_address_taken(&error) => {
                    tokio::time::sleep(START_PAUSE).await;
                }
                other => return other,
            }
        }
    }

    async fn try_start(&mut self, node: NodeId) -> Result<(), LabError> {
        let (name, number) = (node.to_string(), node.number);
        match node.kind {
            NodeKind::Controller => {
                let settings = self.controller_settings(node);
                let started = Node::start(&name, Controller::start(settings)).await?;
                self.controllers.insert(number, Some(started));
            }
            NodeKind::Router => {
                let settings = self.router_settings(node);
                let started = Node::start(&name, Router::start(settings)).await?;
                self.routers.insert(number, Some(started));
            }
            NodeKind::Runner => self.start_runner(node).await?,
            NodeKind::Platform => {}
        }
        self.open_relay(node).await
    }

    async fn start_runner(&mut self, node: NodeId) -> Result<(), LabError> {
        let address = self.network.http(node);
        let store = self.store.address;
        let zone = self.zone(node).to_owned();
        let Some(lives) = self.runners.get_mut(&node.number) else {
            return Ok(());
        };
        let mut settings = lives.settings.clone();
        settings.incarnation = Incarnation(lives.lives.len() as u64 + 1);
        let work = RunnerServer::start(address, store, RUNNER_TOKEN, settings);
        let started = Node::start(&node.to_string(), work).await?;
        lives.lives.push(started.part.clone());
        lives.running = Some(started);
        self.platform.set(MachineItem {
            runner: node.to_string().into(),
            address: relayed(address).to_string(),
            zone: zone.into(),
            state: MachineState::Live,
        });
        Ok(())
    }

    async fn open_relay(&self, node: NodeId) -> Result<(), LabError> {
        match node.kind {
            NodeKind::Runner => self.relay.open(node, self.network.http(node)).await?,
            _ => self.relay.open(node, self.network.wire(node)).await?,
        }
        Ok(())
    }

    /// Ends a node as a crash does.
    pub async fn crash(&mut self, node: NodeId) {
        self.close_relay(node);
        let number = &node.number;
        match node.kind {
            NodeKind::Controller => {
                if let Some(running) = self.controllers.get_mut(number).and_then(Option::take) {
                    running.crash().await;
                }
            }
            NodeKind::Router => {
                if let Some(running) = self.routers.get_mut(number).and_then(Option::take) {
                    running.crash().await;
                }
            }
            NodeKind::Runner => {
                let lives = self.runners.get_mut(number);
                if let Some(running) = lives.and_then(|lives| lives.running.take()) {
                    running.crash().await;
                }
            }
            NodeKind::Platform => {}
        }
    }

    /// Takes a node out for its planned stop; run the work elsewhere, since a
    /// router waits for its running requests.
    pub fn take_for_stop(&mut self, node: NodeId) -> PlannedStop {
        let number = &node.number;
        match node.kind {
            NodeKind::Controller => {
                let running = self.controllers.get_mut(number).and_then(Option::take);
                running.map_or(PlannedStop::Nothing, PlannedStop::Controller)
            }
            NodeKind::Router => {
                let running = self.routers.get_mut(number).and_then(Option::take);
                running.map_or(PlannedStop::Nothing, PlannedStop::Router)
            }
            NodeKind::Runner | NodeKind::Platform => PlannedStop::Nothing,
        }
    }

    /// Lets new connections to a node be refused.
    pub fn close_relay(&self, node: NodeId) {
        match node.kind {
            NodeKind::Runner => self.relay.close(self.network.http(node)),
            _ => self.relay.close(self.network.wire(node)),
        }
    }

    /// Makes a node stand still.
    pub fn freeze(&self, node: NodeId, length: Duration) {
        let number = &node.number;
        match node.kind {
            NodeKind::Controller => {
                if let Some(Some(running)) = self.controllers.get(number) {
                    running.freeze(length);
                }
            }
            NodeKind::Router => {
                if let Some(Some(running)) = self.routers.get(number) {
                    running.freeze(length);
                }
            }
            NodeKind::Runner => {
                let lives = self.runners.get(number);
                if let Some(running) = lives.and_then(|lives| lives.running.as_ref()) {
                    running.freeze(length);
                }
            }
            NodeKind::Platform => {}
        }
    }

    /// Operators' clients, one for each controller.
    #[must_use]
    pub fn operators(&self) -> Vec<AdminClient> {
        let numbers = self.controllers.keys();
        let addresses = numbers.map(|number| self.network.http(NodeId::controller(*number)));
        let clients = addresses.map(|one| AdminClient::new(one.to_string(), OPERATOR_TOKEN));
        clients.collect()
    }

    /// Ends everything.
    pub async fn end(mut self) {
        for node in self.nodes() {
            self.crash(node).await;
        }
        self.relay.close_all();
        self.store.stop();
        self.platform.stop();
    }

    fn controller_settings(&self, node: NodeId) -> ControllerSettings {
        let folder = self.folder.path();
        let network = self.network;
        let voters = (1..=self.shape.controllers).map(|number| PeerAddress {
            id: ControllerId(u64::from(number)),
            address: relayed(network.wire(NodeId::controller(number))),
        });
        ControllerSettings {
            id: ControllerId(u64::from(node.number)),
            http_address: network.http(node),
            wire_address: network.wire(node),
            voters: voters.collect(),
            data_folder: folder.join(node.to_string()),
            platform_address: relayed(self.platform.address),
            operator_token_file: folder.join("operators"),
            runner_token_file: folder.join("runner.token"),
            policy: "load-on-demand".to_owned(),
            store_loads_per_second: self.shape.store.starts_per_second.ceil() as u32,
            store_concurrency: self.shape.store.full_speed_transfers,
            source_address: Some(network.ip(node)),
            zone: self.zone(node).into(),
            cluster_key_file: folder.join("cluster.key"),
            logging: quiet(),
        }
    }

    fn router_settings(&self, node: NodeId) -> RouterSettings {
        let folder = self.folder.path();
        let network = self.network;
        let controllers = (1..=self.shape.controllers)
            .map(|number| relayed(network.wire(NodeId::controller(number))));
        let mut controllers: Vec<_> = controllers.collect();
        let first = usize::from(node.number) % controllers.len();
        controllers.rotate_left(first);
        RouterSettings {
            id: node.to_string().into(),
            http_address: network.http(node),
            wire_address: network.wire(node),
            advertised_address: Some(relayed(network.wire(node))),
            controllers,
            max_connections: 10_000,
            max_body_bytes: 1024 * 1024,
            max_waiting_bytes: 64 * 1024 * 1024,
            body_timeout: Millis::from_secs(5),
            drain: DRAIN,
            source_address: Some(network.ip(node)),
            zone: self.zone(node).into(),
            cluster_key_file: folder.join("cluster.key"),
            logging: quiet(),
        }
    }
}

/// A node that is being stopped as planned.
#[derive(Debug)]
pub enum PlannedStop {
    /// It did not run.
    Nothing,
    /// A controller.
    Controller(Node<Controller>),
    /// A router.
    Router(Node<Router>),
}

impl PlannedStop {
    /// Stops it; returns when it has ended.
    pub async fn run(self) {
        match self {
            Self::Nothing => {}
            Self::Controller(node) => node.stop(Controller::stop).await,
            Self::Router(node) => node.stop(Router::stop).await,
        }
    }
}

fn write_secrets(folder: &std::path::Path) -> Result<(), LabError> {
    let key = format!("{:032x}", rand::random::<u128>());
    std::fs::write(folder.join("cluster.key"), key)?;
    std::fs::write(folder.join("runner.token"), RUNNER_TOKEN)?;
    let operators = format!("operate {OPERATOR_TOKEN}\n");
    std::fs::write(folder.join("operators"), operators)?;
    Ok(())
}

fn quiet() -> LogSettings {
    LogSettings {
        level: "warn".to_owned(),
        format: "text".to_owned(),
    }
}

fn is_address_taken(error: &LabError) -> bool {
    error.to_string().contains("in use")
}
