//! What a fault hits: nodes, zones or one link.
//!
//! Names in fault files: a node (`router-2`), any node of a kind (`router`,
//! `runner`), the leading controller (`controller`), any controller
//! (`controller-*`), a runner that loads (`loading-runner`), zones separated by
//! commas (`zone`: any one), one direction of a link (`controller-1>router-2`),
//! or `*`: the seed chooses a node that fits.

use super::FaultStage;
use crate::error::LabError;
use crate::fleet::address::{NodeId, NodeKind};
use crate::fleet::links::LinkKey;
use crate::fleet::site::FleetSite;
use courseshunt_standin::faults::{Fault, FaultKind};
use courseshunt_state::ReplicaPhase;
use rand::{RngExt, SeedableRng};

/// One direction between two nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedLink {
    /// Who sends.
    pub from: NodeId,
    /// Who receives.
    pub to: NodeId,
}

/// A target that is resolved.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FaultTarget {
    /// The nodes that are hit.
    pub nodes: Vec<NodeId>,
    /// The one direction that is hit, if the target names one.
    pub link: Option<NamedLink>,
}

impl std::fmt::Display for FaultTarget {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let names: Vec<String> = self.nodes.iter().map(ToString::to_string).collect();
        formatter.write_str(&names.join(", "))
    }
}

impl FaultTarget {
    fn nodes(nodes: Vec<NodeId>) -> Self {
        Self { nodes, link: None }
    }

    /// The links that are hit: the named one, or all between the target's nodes
    /// and the rest, both ways.
    #[must_use]
    pub fn links(&self, all: &[NodeId]) -> Vec<LinkKey> {
        if let Some(link) = self.link {
            let NamedLink { from, to } = link;
            return vec![LinkKey { from, to }];
        }
        let outside = all.iter().copied().chain([NodeId::platform()]);
        let outside: Vec<NodeId> = outside.filter(|one| !self.nodes.contains(one)).collect();
        let pairs = self
            .nodes
            .iter()
            .flat_map(|inside| outside.iter().map(|other| (*inside, *other)));
        let both = pairs.flat_map(|(one, other)| {
            let there = LinkKey {
                from: one,
                to: other,
            };
            let back = LinkKey {
                from: other,
                to: one,
            };
            [there, back]
        });
        both.collect()
    }
}

/// Finds the nodes that a fault hits.
pub async fn resolve(
    stage: &FaultStage,
    fault: &Fault,
    position: usize,
) -> Result<FaultTarget, LabError> {
    let site = stage.site.lock().await;
    let mut chooser = Chooser {
        site: &site,
        random: rand_pcg::Pcg64Mcg::seed_from_u64(stage.seed ^ ((position as u64) << 32)),
    };
    let unknown = || LabError::usage(format!("fault target `{}` is unknown", fault.target));
    match &fault.kind {
        FaultKind::SlowStore(_)
        | FaultKind::StaleList
        | FaultKind::OperatorRace
        | FaultKind::ResentChange => Ok(FaultTarget::default()),
        FaultKind::ZoneCut | FaultKind::ZoneLoss => {
            let members = chooser.zones(&fault.target);
            let members = Some(members).filter(|members| !members.is_empty());
            members.map(FaultTarget::nodes).ok_or_else(unknown)
        }
        kind => chooser.target(&fault.target, kind).ok_or_else(unknown),
    }
}

struct Chooser<'a> {
    site: &'a FleetSite,
    random: rand_pcg::Pcg64Mcg,
}

impl Chooser<'_> {
    fn target(&mut self, name: &str, kind: &FaultKind) -> Option<FaultTarget> {
        if let Some((from, to)) = name.split_once('>') {
            let (from, to) = (NodeId::parse(from)?, NodeId::parse(to)?);
            let link = Some(NamedLink { from, to });
            let nodes = vec![from, to];
            return Some(FaultTarget { nodes, link });
        }
        let node = match name {
            "leader" | "controller" => self.leader(),
            "router" => self.any(|node| node.kind == NodeKind::Router),
            "runner" => self.any(|node| node.kind == NodeKind::Runner),
            "loading-runner" => self.loading_runner(),
            "*" => self.any(|node| fits(kind, node.kind)),
            "controller-*" => self.any(|node| node.kind == NodeKind::Controller),
            name => NodeId::parse(name).filter(|node| self.site.nodes().contains(node)),
        };
        Some(FaultTarget::nodes(vec![node?]))
    }

    fn leader(&mut self) -> Option<NodeId> {
        let controllers = self.site.controllers.iter();
        let running = controllers.filter_map(|(number, node)| Some((number, node.as_ref()?)));
        let leads = running.filter(|(number, node)| {
            let status = node.part.context().replica.status();
            let leader = status.borrow().leader;
            leader.is_some_and(|leader| leader.0 == u64::from(**number))
        });
        let leader = leads.map(|(number, _)| NodeId::controller(*number)).next();
        leader.or_else(|| self.any(|node| node.kind == NodeKind::Controller))
    }

    /// A runner to which a load was ordered, as the log says.
    fn loading_runner(&mut self) -> Option<NodeId> {
        let mut controllers = self.site.controllers.values().flatten();
        let loading = controllers.find_map(|node| {
            let state = node.part.context().replica.state();
            let mut records = state.placement.replicas.values();
            let loading = records.find(|one| one.phase == ReplicaPhase::Loading);
            loading.and_then(|one| NodeId::parse(one.replica.runner.as_str()))
        });
        loading.or_else(|| self.any(|node| node.kind == NodeKind::Runner))
    }

    /// A running node that fits; among runners, one that holds a model.
    fn any(&mut self, fits: impl Fn(&NodeId) -> bool) -> Option<NodeId> {
        let nodes = self.site.nodes().into_iter();
        let running = nodes.filter(|node| self.site.is_up(*node) && fits(node));
        let running: Vec<NodeId> = running.collect();
        let busy: Vec<NodeId> = running
            .iter()
            .copied()
            .filter(|node| self.site.is_busy(*node))
            .collect();
        let choice = if busy.is_empty() { &running } else { &busy };
        if choice.is_empty() {
            return None;
        }
        Some(choice[self.random.random_range(0..choice.len())])
    }

    /// Members of zones separated by commas, or of any zone.
    fn zones(&mut self, names: &str) -> Vec<NodeId> {
        let nodes = self.site.nodes();
        let chosen = match names {
            "*" | "zone" => {
                let node = nodes[self.random.random_range(0..nodes.len())];
                self.site.zone(node).to_owned()
            }
            names => names.to_owned(),
        };
        let zones: Vec<&str> = chosen.split(',').map(str::trim).collect();
        let members = nodes.into_iter();
        let members = members.filter(|node| zones.contains(&self.site.zone(*node)));
        members.collect()
    }
}

fn fits(fault: &FaultKind, node: NodeKind) -> bool {
    match fault {
        FaultKind::Reclaim | FaultKind::ReclaimWithoutNotice => node == NodeKind::Runner,
        FaultKind::PlannedRestart => matches!(node, NodeKind::Controller | NodeKind::Router),
        FaultKind::LoseDisk | FaultKind::DiskFull => node == NodeKind::Controller,
        _ => true,
    }
}
