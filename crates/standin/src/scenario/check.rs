//! Checks of scenarios and fault schedules beyond what their types allow.

use super::{ArrivalShape, ModelFamily, RunnerPool, Scenario, Traffic};
use crate::faults::{FaultKind, FaultSchedule};
use crate::model::EngineTiming;
use std::collections::BTreeSet;

/// Hours of a scenario at the most (a month).
const MAX_HOURS: f64 = 744.0;
/// Routers and runners of one pool at the most.
const MAX_PROCESSES: u32 = 4096;
/// Network delay at the most, in milliseconds.
const MAX_DELAY_MS: f64 = 10_000.0;

/// A wrong field.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("field `{field}`: {problem}"))]
pub struct FieldError {
    /// Path of the field, such as `traffic[2].burst_size`; positions from 1.
    pub field: String,
    /// What is allowed.
    pub problem: String,
}

type Checked = Result<(), FieldError>;

fn require(holds: bool, field: impl Into<String>, problem: impl Into<String>) -> Checked {
    if holds {
        return Ok(());
    }
    Err(FieldError {
        field: field.into(),
        problem: problem.into(),
    })
}

fn within(value: f64, lowest: f64, highest: f64, field: impl Into<String>) -> Checked {
    let holds = value.is_finite() && value >= lowest && value <= highest;
    let problem = format!("must be from {lowest} to {highest}");
    require(holds, field, problem)
}

fn above_zero(value: f64, field: impl Into<String>) -> Checked {
    let holds = value.is_finite() && value > 0.0;
    require(holds, field, "must be more than 0")
}

impl Scenario {
    /// Checks ranges and references.
    ///
    /// # Errors
    /// The first wrong field, with what is allowed.
    pub fn validate(&self) -> Result<(), FieldError> {
        above_zero(self.hours, "hours")?;
        within(self.hours, 0.0, MAX_HOURS, "hours")?;
        require(!self.zones.is_empty(), "zones", "at least one is needed")?;
        unique(self.zones.iter(), "zones")?;
        let network = &self.network;
        within(
            network.zone_delay_ms,
            0.0,
            MAX_DELAY_MS,
            "network.zone_delay_ms",
        )?;
        within(
            network.client_delay_ms,
            0.0,
            MAX_DELAY_MS,
            "network.client_delay_ms",
        )?;
        self.validate_control()?;
        self.validate_store()?;
        let none = "at least one is needed";
        require(!self.runner_pool.is_empty(), "runner_pool", none)?;
        require(!self.family.is_empty(), "family", none)?;
        unique(self.runner_pool.iter().map(|one| &one.name), "runner_pool")?;
        unique(self.family.iter().map(|one| &one.name), "family")?;
        unique(self.traffic.iter().map(|one| &one.name), "traffic")?;
        for (number, pool) in self.runner_pool.iter().enumerate() {
            pool.validate(&format!("runner_pool[{}]", number + 1))?;
        }
        for (number, family) in self.family.iter().enumerate() {
            family.validate(&format!("family[{}]", number + 1), &self.runner_pool)?;
        }
        for (number, traffic) in self.traffic.iter().enumerate() {
            traffic.validate(&format!("traffic[{}]", number + 1), &self.family)?;
        }
        Ok(())
    }

    fn validate_control(&self) -> Checked {
        let control = &self.control;
        within(f64::from(control.voters), 1.0, 9.0, "control.voters")?;
        within(f64::from(control.learners), 0.0, 9.0, "control.learners")?;
        let routers = f64::from(control.routers);
        within(routers, 1.0, f64::from(MAX_PROCESSES), "control.routers")
    }

    fn validate_store(&self) -> Checked {
        let store = &self.store;
        above_zero(store.starts_per_second, "store.starts_per_second")?;
        above_zero(
            store.transfer_mib_per_second,
            "store.transfer_mib_per_second",
        )?;
        let transfers = store.full_speed_transfers;
        require(
            transfers > 0,
            "store.full_speed_transfers",
            "must be 1 or more",
        )
    }
}

fn unique<'a>(names: impl Iterator<Item = &'a String>, field: &str) -> Checked {
    let mut seen = BTreeSet::new();
    for name in names {
        let problem = format!("the name `{name}` is empty or stands twice");
        require(!name.is_empty() && seen.insert(name), field, problem)?;
    }
    Ok(())
}

impl RunnerPool {
    fn validate(&self, place: &str) -> Checked {
        let at = |field: &str| format!("{place}.{field}");
        within(
            f64::from(self.count),
            1.0,
            f64::from(MAX_PROCESSES),
            at("count"),
        )?;
        require(
            self.accelerators > 0,
            at("accelerators"),
            "must be 1 or more",
        )?;
        require(self.memory_mib > 0, at("memory_mib"), "must be 1 or more")?;
        above_zero(self.host_mib_per_second, at("host_mib_per_second"))?;
        above_zero(self.disk_mib_per_second, at("disk_mib_per_second"))?;
        self.timing.validate(&at("timing"))
    }
}

impl EngineTiming {
    fn validate(&self, place: &str) -> Checked {
        above_zero(self.token_ms, format!("{place}.token_ms"))?;
        let others = [
            (self.first_token_ms, "first_token_ms"),
            (self.prompt_token_ms, "prompt_token_ms"),
            (self.token_per_request_ms, "token_per_request_ms"),
            (self.token_per_context_ms, "token_per_context_ms"),
        ];
        for (value, field) in others {
            within(value, 0.0, MAX_DELAY_MS, format!("{place}.{field}"))?;
        }
        Ok(())
    }
}

impl ModelFamily {
    fn validate(&self, place: &str, pools: &[RunnerPool]) -> Checked {
        let at = |field: &str| format!("{place}.{field}");
        within(
            f64::from(self.count),
            1.0,
            f64::from(MAX_PROCESSES),
            at("count"),
        )?;
        require(
            self.memory_mib_min > 0,
            at("memory_mib_min"),
            "must be 1 or more",
        )?;
        let ordered = self.memory_mib_min <= self.memory_mib_max;
        require(
            ordered,
            at("memory_mib_max"),
            "must not be below memory_mib_min",
        )?;
        let adapters = u64::from(self.adapters.div_ceil(self.count)) * self.adapter_mib;
        let largest = pools.iter().map(|pool| pool.memory_mib).max().unwrap_or(0);
        let fits = self.memory_mib_max + adapters <= largest;
        let problem = format!("with its adapters it must fit a runner ({largest} MiB)");
        require(fits, at("memory_mib_max"), problem)?;
        within(f64::from(self.slots), 1.0, 4096.0, at("slots"))?;
        within(
            f64::from(self.max_replicas),
            1.0,
            1024.0,
            at("max_replicas"),
        )?;
        let weights = &self.weights;
        within(
            weights.cold_start_weight,
            0.0,
            1e9,
            at("weights.cold_start_weight"),
        )?;
        within(weights.idle_weight, 0.0, 1e9, at("weights.idle_weight"))
    }
}

impl Traffic {
    fn validate(&self, place: &str, families: &[ModelFamily]) -> Checked {
        let at = |field: &str| format!("{place}.{field}");
        let known = families.iter().any(|family| family.name == self.family);
        let problem = format!("there is no family `{}`", self.family);
        require(known, at("family"), problem)?;
        within(self.requests_per_day, 0.0, 1e10, at("requests_per_day"))?;
        within(
            self.popularity_exponent,
            0.0,
            10.0,
            at("popularity_exponent"),
        )?;
        within(self.burst_size, 1.0, 1e6, at("burst_size"))?;
        require(
            self.prompt_tokens > 0,
            at("prompt_tokens"),
            "must be 1 or more",
        )?;
        require(
            self.answer_tokens > 0,
            at("answer_tokens"),
            "must be 1 or more",
        )?;
        require(
            self.deadline_ms.0 > 0,
            at("deadline_ms"),
            "must be 1 or more",
        )?;
        within(self.once_only, 0.0, 1.0, at("once_only"))?;
        within(self.lost_answers, 0.0, 1.0, at("lost_answers"))?;
        self.shape.validate(&at("shape"))
    }
}

impl ArrivalShape {
    fn validate(&self, place: &str) -> Checked {
        let at = |field: &str| format!("{place}.{field}");
        match self {
            Self::Flat => Ok(()),
            Self::Diurnal { peak_hour, depth } => {
                within(*peak_hour, 0.0, 24.0, at("peak_hour"))?;
                within(*depth, 0.0, 1.0, at("depth"))
            }
            Self::Window { from_hour, to_hour } => {
                within(*from_hour, 0.0, 24.0, at("from_hour"))?;
                within(*to_hour, 0.0, 24.0, at("to_hour"))?;
                require(
                    from_hour != to_hour,
                    at("to_hour"),
                    "must not equal from_hour",
                )
            }
            Self::Periodic { interval_ms, .. } => {
                let problem = "must be 1000 or more";
                require(interval_ms.0 >= 1000, at("interval_ms"), problem)
            }
        }
    }
}

impl FaultSchedule {
    /// Checks ranges.
    ///
    /// # Errors
    /// The first wrong field, with what is allowed.
    pub fn validate(&self) -> Result<(), FieldError> {
        for (number, fault) in self.fault.iter().enumerate() {
            let place = format!("fault[{}]", number + 1);
            if let FaultKind::SlowStore(speed) = fault.kind {
                within(speed, 0.001, 1.0, format!("{place}.kind.slow-store"))?;
            }
            let lasts = !matches!(
                fault.kind,
                FaultKind::OperatorRace
                    | FaultKind::ResentChange
                    | FaultKind::Crash
                    | FaultKind::LoseDisk
                    | FaultKind::ZoneLoss
                    | FaultKind::Reclaim
                    | FaultKind::ReclaimWithoutNotice
            );
            let problem = "this kind of fault needs a length";
            require(
                !lasts || fault.for_ms.0 > 0,
                format!("{place}.for_ms"),
                problem,
            )?;
            let problem = "must not be empty";
            require(!fault.target.is_empty(), format!("{place}.target"), problem)?;
        }
        Ok(())
    }
}
