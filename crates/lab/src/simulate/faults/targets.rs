//! What faults hit.

use crate::simulate::event::{RouterNumber, RunnerNumber};
use crate::simulate::routers::Router;
use crate::simulate::world::World;
use courseshunt_standin::faults::{Fault, FaultKind};
use courseshunt_standin::model::HeldDeployment;
use rand::RngExt;

/// What a fault hits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// The leading controller.
    Leader,
    /// A router.
    Router(RouterNumber),
    /// A runner.
    Runner(RunnerNumber),
    /// A runner that loads something when the fault begins.
    LoadingRunner,
    /// A runner that runs something when the fault begins.
    BusyRunner,
    /// All processes of a zone.
    Zone(String),
    /// The weight store, the platform or operators.
    Outside,
}

impl World {
    /// Finds what a fault hits. A role (`runner`, `router`, `controller`,
    /// `zone`) or `*` lets the seed choose.
    pub(super) fn resolve(&mut self, fault: &Fault) -> Result<Target, String> {
        let name = fault.target.as_str();
        match &fault.kind {
            FaultKind::LoseDisk | FaultKind::DiskFull => {
                return Err("the members of the control group are not simulated singly".to_owned());
            }
            FaultKind::SlowStore(_)
            | FaultKind::StaleList
            | FaultKind::OperatorRace
            | FaultKind::ResentChange => return Ok(Target::Outside),
            FaultKind::ZoneCut | FaultKind::ZoneLoss => return self.resolve_zone(name),
            FaultKind::Reclaim | FaultKind::ReclaimWithoutNotice if name == "*" => {
                return self.resolve_process("runner");
            }
            _ => {}
        }
        let target = self.resolve_process(name)?;
        let reclaim = matches!(
            fault.kind,
            FaultKind::Reclaim | FaultKind::ReclaimWithoutNotice
        );
        if reclaim && matches!(target, Target::Leader | Target::Router(_)) {
            return Err("only runners are reclaimed".to_owned());
        }
        Ok(target)
    }

    fn resolve_zone(&mut self, name: &str) -> Result<Target, String> {
        let zones = self.settings.scenario.zones.clone();
        if name == "*" || name == "zone" {
            let place = self.random.random_range(0..zones.len().max(1));
            let zone = zones.get(place).ok_or("there is no zone")?;
            return Ok(Target::Zone(zone.clone()));
        }
        match zones.iter().any(|zone| zone == name) {
            true => Ok(Target::Zone(name.to_owned())),
            false => Err(format!("there is no zone {name}")),
        }
    }

    fn resolve_process(&mut self, name: &str) -> Result<Target, String> {
        let (routers, runners) = (self.routers.len(), self.fleet.runners.len());
        match name {
            "controller" => return Ok(Target::Leader),
            "loading-runner" => return Ok(Target::LoadingRunner),
            "busy-runner" => return Ok(Target::BusyRunner),
            "router" => return Ok(Target::Router(self.random.random_range(0..routers))),
            "runner" => return Ok(Target::Runner(self.random.random_range(0..runners))),
            "*" => {
                let drawn = self.random.random_range(0..=routers + runners);
                return Ok(match drawn {
                    0 => Target::Leader,
                    one if one <= routers => Target::Router(one - 1),
                    one => Target::Runner(one - routers - 1),
                });
            }
            _ => {}
        }
        let same = |one: &Router| one.site.router.as_str() == name;
        if let Some(router) = self.routers.iter().position(same) {
            return Ok(Target::Router(router));
        }
        match self.runner_numbers.get(&name.into()) {
            Some(runner) => Ok(Target::Runner(*runner)),
            None => Err(format!("there is no process {name}")),
        }
    }

    /// A live runner that holds something of this kind, or else any.
    pub(super) fn pick_runner(
        &mut self,
        wanted: impl Fn(&HeldDeployment<'_>) -> bool,
    ) -> RunnerNumber {
        let runners = self.fleet.runners.iter().enumerate();
        let fitting =
            runners.filter(|(_, one)| one.up && one.model.held().any(|held| wanted(&held)));
        let fitting: Vec<RunnerNumber> = fitting.map(|(number, _)| number).collect();
        match fitting.is_empty() {
            true => self.random.random_range(0..self.fleet.runners.len()),
            false => fitting[self.random.random_range(0..fitting.len())],
        }
    }
}
