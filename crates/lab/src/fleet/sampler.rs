//! Looks at routers and runners at a steady pace while a run goes on.

use super::address::NodeId;
use super::history::{LeavingRunner, LoadedSample, RouterSample, RunnerSample};
use super::site::{FleetSite, RUNNER_TOKEN};
use courseshunt_http::HttpClient;
use courseshunt_types::runner_api::{Inventory, InventoryItem, LoadPhase};
use courseshunt_types::{Fence, ReplicaKey};
use hyper::Method;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for one runner's inventory; a runner that stands still is left out.
const INVENTORY_TIMEOUT: Duration = Duration::from_millis(400);

/// The fleet, shared by what watches it and what breaks it.
pub type SharedSite = Arc<tokio::sync::Mutex<FleetSite>>;

/// What was seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Routers.
    pub routers: Vec<RouterSample>,
    /// Runners.
    pub runners: Vec<RunnerSample>,
    /// Filled by the fault schedule.
    pub leaving: Vec<LeavingRunner>,
}

/// Samples, shared between the sampler and the fault schedule.
pub type SharedSeen = Arc<Mutex<Seen>>;

/// Looks until cancelled.
pub async fn run(site: SharedSite, seen: SharedSeen, start: Instant) {
    let client = HttpClient::default();
    let mut look = 0;
    loop {
        tokio::time::sleep(INTERVAL).await;
        look += 1;
        look_once(&site, &seen, &client, look, start).await;
    }
}

async fn look_once(
    site: &SharedSite,
    seen: &SharedSeen,
    client: &HttpClient,
    look: u64,
    start: Instant,
) {
    let (routers, addresses) = {
        let site = site.lock().await;
        (routers(&site, start), runner_addresses(&site))
    };
    let inventories = inventories(client, addresses).await;
    let at = start.elapsed();
    let site = site.lock().await;
    // Read after the runners: a decision is in the log before its order.
    let decided = decided(&site);
    let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    let runners: Vec<RunnerSample> = inventories
        .into_iter()
        .map(|(node, inventory)| {
            let name = node.to_string();
            let leaving = seen.leaving.iter().any(|one| one.runner == name);
            RunnerSample {
                look,
                at,
                executions: leaving.then(|| executions(&site, node)),
                memory_mib: inventory.memory_mib,
                loaded: loaded(&inventory, decided.as_ref()),
                runner: name,
            }
        })
        .collect();
    seen.routers.extend(routers);
    seen.runners.extend(runners);
}

fn routers(site: &FleetSite, start: Instant) -> Vec<RouterSample> {
    let at = start.elapsed();
    let running = site.routers.iter();
    let running = running.filter_map(|(number, node)| Some((number, node.as_ref()?)));
    let samples = running.map(|(number, node)| {
        let context = node.part.context();
        RouterSample {
            at,
            router: NodeId::router(*number).to_string(),
            incarnation: context.incarnation.0,
            synced: context.view.is_synced(),
            revision: context.view.revision().0,
        }
    });
    samples.collect()
}

fn runner_addresses(site: &FleetSite) -> Vec<(NodeId, String)> {
    let running = site.runners.iter();
    let running = running.filter(|(_, lives)| lives.running.is_some());
    let nodes = running.map(|(number, _)| NodeId::runner(*number));
    let addresses = nodes.map(|node| (node, site.network.http(node).to_string()));
    addresses.collect()
}

async fn inventories(
    client: &HttpClient,
    addresses: Vec<(NodeId, String)>,
) -> Vec<(NodeId, Inventory)> {
    let mut calls = JoinSet::new();
    for (node, address) in addresses {
        let client = client.clone();
        calls.spawn(async move {
            let path = "/control/inventory";
            let token = Some(RUNNER_TOKEN);
            let call =
                client.call::<()>(Method::GET, &address, path, token, None, INVENTORY_TIMEOUT);
            let reply = call.await.ok()?;
            let inventory = serde_json::from_slice(&reply.body).ok()?;
            Some((node, inventory))
        });
    }
    let mut read: Vec<(NodeId, Inventory)> = Vec::new();
    while let Some(call) = calls.join_next().await {
        read.extend(call.ok().flatten());
    }
    read.sort_by_key(|(node, _)| *node);
    read
}

fn executions(site: &FleetSite, node: NodeId) -> usize {
    let lives = site.runners.get(&node.number);
    let lives = lives.map(|runner| runner.lives.as_slice());
    let counts = lives.unwrap_or_default().iter();
    counts.map(|life| life.executions().len()).sum()
}

/// Fences of the decided replicas, as the most advanced controller knows them;
/// `None` while a controller is down and may have known more.
fn decided(site: &FleetSite) -> Option<BTreeMap<ReplicaKey, Fence>> {
    let controllers: Option<Vec<_>> = site.controllers.values().map(Option::as_ref).collect();
    let controllers = controllers?;
    let replicas = controllers.iter().map(|node| &node.part.context().replica);
    let newest = replicas.max_by_key(|replica| replica.state().applied)?;
    let state = newest.state();
    let records = state.placement.replicas.iter();
    let fences = records.map(|(key, record)| (key.clone(), record.fence));
    Some(fences.collect())
}

fn loaded(
    inventory: &Inventory,
    decided: Option<&BTreeMap<ReplicaKey, Fence>>,
) -> Vec<LoadedSample> {
    let is_decided = |item: &InventoryItem, decided: &BTreeMap<ReplicaKey, Fence>| {
        let key = ReplicaKey {
            deployment: item.deployment.clone(),
            runner: inventory.runner.clone(),
        };
        decided.get(&key).is_some_and(|fence| *fence >= item.fence)
    };
    let items = inventory.deployments.iter();
    let samples = items.map(|item| LoadedSample {
        deployment: item.deployment.clone(),
        memory_mib: item.memory_mib,
        unloading: item.phase == LoadPhase::Unloading,
        decided: decided.map(|decided| is_decided(item, decided)),
    });
    samples.collect()
}
