//! Dispatchers with loopback connections between them; the tests set their views.

use courseshunt_queue::Ticket;
use courseshunt_router::configuration::ConfigurationView;
use courseshunt_router::control::RelaySource;
use courseshunt_router::dispatch::{Arguments, DispatcherHandle, GrantedRequest, start};
use courseshunt_router::peers::accept_holders;
use courseshunt_state::StoredDeployment;
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::time::MonotonicClock;
use courseshunt_types::{
    DeploymentDocument, Epoch, Incarnation, LogIndex, Millis, PriorityClass, Refusal, Revision,
    RouterId, Timestamp,
};
use courseshunt_wire::message::{
    ConfigurationUpdate, DeploymentReplicas, FleetUpdate, PlacementUpdate, RouterEndpoint,
    RunnerEndpoint,
};
use courseshunt_wire::{ClusterKey, PeerIdentity};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// The only deployment in the configuration.
pub const DEPLOYMENT: &str = "climate-ctl";
/// Timeout of waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const KEY: &[u8] = b"a key of sixteen bytes or more";

/// A pending grant or refusal.
pub type Answer = JoinHandle<Result<GrantedRequest, Refusal>>;

/// A dispatcher with its connections.
pub struct Node {
    pub router: RouterId,
    pub view: Arc<ConfigurationView>,
    pub dispatcher: DispatcherHandle,
    pub endpoint: RouterEndpoint,
    stop: CancellationToken,
}

impl Node {
    async fn start(number: usize) -> Self {
        let router = RouterId(format!("router-{number}"));
        let incarnation = Incarnation(number as u64 + 1);
        let identity = PeerIdentity::Router(router.clone(), incarnation);
        let key = ClusterKey::new(KEY).unwrap();
        let view = Arc::new(ConfigurationView::default());
        let arguments = Arguments {
            router: router.clone(),
            identity: identity.clone(),
            source: None,
            key: key.clone(),
            view: view.clone(),
            clock: MonotonicClock::start(),
        };
        let dispatcher = start(arguments).await.unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let wire_address = listener.local_addr().unwrap().to_string();
        let stop = CancellationToken::new();
        let peers = dispatcher.peer_context(key, identity);
        let relay = RelaySource {
            view: view.clone(),
            clock: MonotonicClock::start(),
        };
        tokio::spawn(accept_holders(listener, peers, relay, stop.clone()));
        let endpoint = RouterEndpoint {
            router: router.clone(),
            incarnation,
            wire_address,
            zone: "zone".into(),
            leaving: false,
        };
        Self {
            router,
            view,
            dispatcher,
            endpoint,
            stop,
        }
    }

    /// Cuts the node off: closes its port and its sessions.
    pub fn cut_off(&self) {
        self.stop.cancel();
    }

    /// Offers a ticket for a request. Returns the pending answer.
    pub fn submit(&self, request: &str, class: PriorityClass, deadline: Duration) -> Answer {
        let ticket = Ticket {
            request: request.into(),
            holder: self.router.clone(),
            deployment: DEPLOYMENT.into(),
            adapter: None,
            tenant: "souss".into(),
            class,
            deadline_in: Millis(deadline.as_millis() as u64),
            waited: Millis(0),
            prefix_hashes: Vec::new(),
            prompt_tokens: 10,
            max_tokens: 10,
            avoid: Vec::new(),
        };
        let dispatcher = self.dispatcher.clone();
        tokio::spawn(async move { dispatcher.acquire(ticket).await })
    }
}

/// Connected nodes with one deployment and its replicas.
pub struct Cluster {
    pub nodes: Vec<Node>,
    placement: u64,
    fleet: u64,
}

impl Cluster {
    /// Starts `routers` nodes and a deployment with `slots` slots on each of
    /// `replicas` runners.
    pub async fn start(routers: usize, replicas: usize, slots: u32) -> Self {
        let mut nodes = Vec::new();
        for number in 0..routers {
            nodes.push(Node::start(number).await);
        }
        let mut cluster = Self {
            nodes,
            placement: 0,
            fleet: 0,
        };
        for node in &cluster.nodes {
            node.view.apply_configuration(configuration(slots));
            node.view.confirm(Timestamp(1), Revision(0));
        }
        cluster.set_replicas(replicas);
        let all: Vec<usize> = (0..routers).collect();
        cluster.set_fleet(&all);
        cluster
    }

    /// Sets the number of ready replicas in the views of all nodes.
    pub fn set_replicas(&mut self, replicas: usize) {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        self.set_replicas_at(&all, replicas);
    }

    /// Sets the number of ready replicas in the views of `nodes`.
    pub fn set_replicas_at(&mut self, nodes: &[usize], replicas: usize) {
        self.placement += 1;
        let runners = (0..replicas).map(|number| RunnerEndpoint {
            runner: format!("runner-{number}").into(),
            address: format!("127.0.0.1:{}", 1 + number),
            incarnation: Incarnation(1),
            zone: "zone".into(),
            state: MachineState::Live,
        });
        let runners: Vec<RunnerEndpoint> = runners.collect();
        let ready = runners.iter().map(|runner| runner.runner.clone()).collect();
        for node in nodes {
            let node = &self.nodes[*node];
            node.view.apply_placement(PlacementUpdate {
                sequence: LogIndex(self.placement),
                full: true,
                runners: runners.clone(),
                deployments: vec![DeploymentReplicas {
                    deployment: DEPLOYMENT.into(),
                    ready: Vec::clone(&ready),
                    loading: Vec::new(),
                }],
            });
            node.dispatcher.view_changed();
        }
    }

    /// Sets the live routers in the views of all nodes.
    pub fn set_fleet(&mut self, live: &[usize]) {
        self.fleet += 1;
        let routers = live
            .iter()
            .map(|number| self.nodes[*number].endpoint.clone());
        let routers: Vec<RouterEndpoint> = routers.collect();
        for node in &self.nodes {
            node.view.apply_fleet(FleetUpdate {
                epoch: Epoch(self.fleet),
                routers: routers.clone(),
            });
            node.dispatcher.view_changed();
        }
    }

    /// Numbers of the node that owns the queue and of two others.
    pub fn owner_and_others(&self) -> (usize, usize, usize) {
        let queue = courseshunt_queue::QueueKey {
            deployment: DEPLOYMENT.into(),
            shard: 0,
        };
        let names: Vec<&RouterId> = self.nodes.iter().map(|node| &node.router).collect();
        let owner = courseshunt_queue::owner_of(&queue, names.iter().copied()).unwrap();
        let owner = names.iter().position(|name| *name == owner).unwrap();
        let others: Vec<usize> = (0..names.len()).filter(|number| *number != owner).collect();
        (owner, others[0], *others.last().unwrap())
    }

    /// Waits until `expected` tickets are in the queues that a node owns.
    pub async fn wait_until_queued(&self, node: usize, expected: u32) {
        self.wait_until("tickets wait at the owner", || {
            self.nodes[node].dispatcher.snapshot().waiting.total() == expected
        })
        .await;
    }

    /// Waits until `expected` requests of a node's callers wait for a grant.
    pub async fn wait_until_held(&self, node: usize, expected: usize) {
        self.wait_until("requests wait at their router", || {
            self.nodes[node].dispatcher.snapshot().held == expected
        })
        .await;
    }

    /// Waits until `holds` returns `true`.
    pub async fn wait_until(&self, what: &str, holds: impl Fn() -> bool) {
        let waiting = async {
            while !holds() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, waiting)
            .await
            .expect(what);
    }
}

/// Waits for the answer of a node.
pub async fn answer(answer: Answer) -> Result<GrantedRequest, Refusal> {
    let answer = tokio::time::timeout(WAIT_TIMEOUT, answer).await;
    answer
        .expect("an answer arrives before the timeout")
        .unwrap()
}

fn configuration(slots: u32) -> ConfigurationUpdate {
    let document: DeploymentDocument = serde_json::from_value(serde_json::json!({
        "name": DEPLOYMENT, "version": 1, "model": "climate", "tenant": "souss",
        "memory_mib": 1000, "slots_per_replica": slots, "max_replicas": 4,
    }))
    .unwrap();
    ConfigurationUpdate {
        full: true,
        revision: Revision(1),
        deployments: vec![StoredDeployment {
            digest: document.digest(),
            document,
            revision: Revision(1),
        }],
        removed: Vec::new(),
        tenants: None,
        more: false,
    }
}
