//! The simulated world and its loop over events.

use super::checks::Checks;
use super::control::Control;
use super::event::{DeploymentNumber, Event, EventQueue, Process, RouterNumber, RunnerNumber};
use super::faults::ActiveFault;
use super::fleet::Fleet;
use super::measures::{Waits, first_requests};
use super::report::Report;
use super::requests::Request;
use super::routers::Router;
use super::site::{self, SiteDeployment};
use super::{Mutant, SimulationSettings};
use crate::callers::{Arrival, HOUR_MS, arrivals, random_stream};
use courseshunt_types::{DeploymentName, Millis, RunnerId, Timestamp, Zone};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

/// Stream of the seed that draws delays and targets.
const WORLD_STREAM: u64 = 5000;
/// Longest time after the last arrival in which requests may still end.
const LAST_ENDS: Millis = Millis::from_secs(24 * 3600);

/// See the module.
pub struct World {
    pub(super) settings: SimulationSettings,
    pub(super) site: Vec<SiteDeployment>,
    pub(super) deployment_numbers: BTreeMap<DeploymentName, DeploymentNumber>,
    pub(super) runner_numbers: BTreeMap<RunnerId, RunnerNumber>,
    pub(super) arrivals: Vec<Arrival>,
    pub(super) first: Vec<bool>,
    pub(super) now: Timestamp,
    /// End of the measured time.
    pub(super) horizon: Timestamp,
    pub(super) events: EventQueue,
    pub(super) random: Pcg64,
    pub(super) requests: Vec<Request>,
    pub(super) open: u64,
    pub(super) routers: Vec<Router>,
    pub(super) owners: Vec<Option<RouterNumber>>,
    pub(super) fleet: Fleet,
    pub(super) control: Control,
    pub(super) checks: Checks,
    pub(super) active_faults: Vec<Option<ActiveFault>>,
    /// The platform's list stands still until then.
    pub(super) list_frozen_until: Timestamp,
    pub(super) cold_waits: Waits,
    pub(super) waits: Waits,
    pub(super) report: Report,
}

impl World {
    /// The world before the first event.
    pub(super) fn new(settings: SimulationSettings, control: Control) -> Self {
        let scenario = &settings.scenario;
        let site = site::deployments(scenario);
        let arrivals = arrivals(scenario, &site, settings.seed);
        let first = first_requests(&arrivals, site.len());
        let runners = site::runners(scenario);
        let names = site.iter().map(|one| one.document.name.clone());
        let deployment_numbers = names.enumerate().map(|(at, name)| (name, at)).collect();
        let runner_names = runners.iter().map(|one| one.runner.clone());
        let runner_numbers = runner_names.enumerate().map(|(at, name)| (name, at));
        let report = Report {
            scenario: scenario.name.clone(),
            policy: settings.policy.clone(),
            seed: settings.seed,
            hours: scenario.hours,
            ..Report::default()
        };
        let routers = site::routers(scenario).into_iter().map(Router::new);
        let mut world = Self {
            deployment_numbers,
            runner_numbers: runner_numbers.collect(),
            owners: vec![None; site.len()],
            now: Timestamp(0),
            horizon: Timestamp::at((scenario.hours * HOUR_MS) as u64),
            events: EventQueue::default(),
            random: random_stream(settings.seed, WORLD_STREAM),
            requests: Vec::with_capacity(arrivals.len()),
            open: 0,
            routers: routers.collect(),
            fleet: Fleet::new(runners, scenario.store),
            control,
            checks: Checks::default(),
            active_faults: Vec::new(),
            list_frozen_until: Timestamp(0),
            cold_waits: Waits::default(),
            waits: Waits::default(),
            report,
            arrivals,
            first,
            site,
            settings,
        };
        world.choose_owners();
        world.start_control();
        world.schedule_faults();
        world.schedule_arrival(0);
        world
    }

    /// Runs to the end.
    pub(super) fn run(mut self) -> Report {
        let last = self.horizon + LAST_ENDS;
        while let Some((at, event)) = self.events.pop() {
            let ended = self.open == 0 && at > self.horizon;
            if ended || at > last {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.finish()
    }

    fn finish(mut self) -> Report {
        self.now = self.horizon.max(self.now);
        for runner in 0..self.fleet.runners.len() {
            self.account(runner);
        }
        let mut report = self.report;
        report.requests = self.requests.len() as u64;
        report.dropped = self.open;
        report.first_requests = self.cold_waits.count();
        report.cold_start_p50_s = self.cold_waits.percentile_s(0.5);
        report.cold_start_p99_s = self.cold_waits.percentile_s(0.99);
        report.cold_start_max_s = self.cold_waits.percentile_s(1.0);
        report.cold_start_mean_s = self.cold_waits.mean_s();
        report.wait_p99_s = self.waits.percentile_s(0.99);
        report.idle_accelerator_hours = self.fleet.time.idle;
        report.busy_accelerator_hours = self.fleet.time.busy;
        report.weight_store_wait_p99_s = self.fleet.store_waits.percentile_s(0.99);
        report.violations = self.checks.violations;
        report.doubled += self.checks.violations.twice_run;
        report
    }

    /// Whether this fault of the product was put in.
    pub(super) fn mutates(&self, mutant: Mutant) -> bool {
        self.settings.mutant == Some(mutant)
    }

    pub(super) fn push(&mut self, delay: Millis, event: Event) {
        self.events.push(self.now + delay, event);
    }

    /// One way between two zones.
    pub(super) fn delay(&self, from: &Zone, to: &Zone) -> Millis {
        match from == to {
            true => Millis(0),
            false => Millis(self.settings.scenario.network.zone_delay_ms.round() as u64),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(number) => self.arrive(number),
            Event::Repeat(request) => self.repeat(request),
            Event::Ticket {
                ticket,
                owner,
                request,
            } => self.receive_ticket(ticket, owner, request),
            Event::Expire { owner, deployment } => self.expire(owner, deployment),
            Event::Granted {
                grant,
                owner,
                request,
            } => self.granted(grant, owner, request),
            Event::Refused { request, deadline } => self.refused(request, deadline),
            Event::GrantStarted {
                owner,
                deployment,
                grant,
            } => self.grant_started(owner, deployment, grant),
            Event::GrantReturned {
                owner,
                deployment,
                grant,
            } => self.grant_returned(owner, deployment, grant),
            Event::Claimed { request, attempt } => self.claimed(request, attempt),
            Event::Submit {
                request,
                attempt,
                runner,
            } => self.submit(request, attempt, runner),
            Event::NotStarted { request, attempt } => self.not_started(request, attempt),
            Event::Answered { request, attempt } => self.answered(request, attempt),
            Event::ConnectionLost { request, attempt } => self.connection_lost(request, attempt),
            Event::OwnerChanged(deployment) => self.owner_changed(deployment),
            Event::RunnerWake(runner) => self.runner_wake(runner),
            Event::StoreWake => self.store_wake(),
            event => self.handle_control(event),
        }
    }

    fn handle_control(&mut self, event: Event) {
        match event {
            Event::Demand { owner, deployment } => self.receive_demand(owner, deployment),
            Event::Plan => self.plan(),
            Event::CommitDecisions => self.commit_decisions(),
            Event::Commit(envelope) => self.commit(&envelope),
            Event::Order { runner, order } => {
                self.receive_order(runner, &order);
            }
            Event::FenceAndRelease {
                runner,
                replica,
                fence,
            } => self.fence_and_release(runner, replica, fence),
            Event::ReadInventory(runner) => self.read_inventory(runner),
            Event::ReadLoad(runner) => self.read_load(runner),
            Event::Sweep => self.sweep(),
            Event::Listed { runner, state } => self.listed(runner, state),
            Event::Feed(deployment) => self.feed(deployment),
            Event::FaultBegins(fault) => self.fault_begins(fault),
            Event::FaultEnds(fault) => self.fault_ends(fault),
            Event::Elected => self.elected(),
            Event::MachineTaken(runner) => self.machine_taken(runner),
            Event::ConfigurationFed(router) => self.configuration_fed(router),
            _ => {}
        }
    }

    pub(super) fn router_process(&self, router: RouterNumber) -> Process {
        Process {
            number: router,
            incarnation: self.routers[router].incarnation,
        }
    }

    pub(super) fn runner_process(&self, runner: RunnerNumber) -> Process {
        Process {
            number: runner,
            incarnation: self.fleet.runners[runner].incarnation(),
        }
    }
}
