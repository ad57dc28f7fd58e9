//! Checks of scenario and fault files beyond their form: every number within
//! its range, every name known. Errors name file, line, value and what is
//! allowed.

use crate::faults::{FaultKind, FaultSchedule};
use crate::scenario::{ArrivalShape, ModelFamily, RunnerPool, Scenario, Traffic};
use courseshunt_settings::SettingsError;
use courseshunt_settings::locate::{field_of_table, line_of_offset};
use courseshunt_types::deployment::{MAX_REPLICAS, MAX_SLOTS};
use std::path::Path;

/// Longest simulated time, in hours: a year.
const MAX_HOURS: f64 = 8_784.0;
/// Longest delay on the network, in milliseconds.
const MAX_DELAY_MS: f64 = 10_000.0;
/// Largest count of processes of one kind.
const MAX_PROCESSES: f64 = 10_000.0;
/// Largest exponent of the popularity.
const MAX_EXPONENT: f64 = 10.0;
/// Any size or rate.
const ANY: f64 = 1e15;
/// Hours of a day.
const DAY: f64 = 24.0;
/// A number that must be above zero.
const ABOVE_ZERO: f64 = 1e-9;

/// Reads and checks a scenario file.
///
/// # Errors
/// The first fault, with its place.
pub fn check_scenario(path: &Path, text: &str) -> Result<Scenario, SettingsError> {
    let scenario: Scenario = parse(path, text)?;
    let check = Check { path, text };
    check.head(&scenario)?;
    for (position, pool) in scenario.runner_pool.iter().enumerate() {
        check.pool(position, pool)?;
    }
    for (position, family) in scenario.family.iter().enumerate() {
        check.family(position, family)?;
    }
    for (position, traffic) in scenario.traffic.iter().enumerate() {
        check.traffic(position, traffic, &scenario)?;
    }
    Ok(scenario)
}

/// Reads and checks a fault file.
///
/// # Errors
/// The first fault, with its place.
pub fn check_faults(path: &Path, text: &str) -> Result<FaultSchedule, SettingsError> {
    let schedule: FaultSchedule = parse(path, text)?;
    let check = Check { path, text };
    for (position, fault) in schedule.fault.iter().enumerate() {
        if let FaultKind::SlowStore(share) = fault.kind {
            let place = Place::at("fault", position, "kind");
            check.range(place, share, 0.0, 1.0)?;
        }
    }
    Ok(schedule)
}

fn parse<T: serde::de::DeserializeOwned>(path: &Path, text: &str) -> Result<T, SettingsError> {
    toml::from_str(text).map_err(|error| SettingsError::Syntax {
        path: path.to_owned(),
        line: error
            .span()
            .map_or(1, |span| line_of_offset(text, span.start)),
        problem: error.message().to_owned(),
    })
}

/// A field of the file.
#[derive(Clone, Copy)]
struct Place {
    table: &'static str,
    position: usize,
    key: &'static str,
}

impl Place {
    fn at(table: &'static str, position: usize, key: &'static str) -> Self {
        Self {
            table,
            position,
            key,
        }
    }
}

struct Check<'a> {
    path: &'a Path,
    text: &'a str,
}

impl Check<'_> {
    fn fault(&self, place: Place, value: String, allowed: String) -> SettingsError {
        let written = field_of_table(self.text, place.table, place.position, place.key);
        SettingsError::Value {
            origin: format!("{}:{}", self.path.display(), written.line),
            key: place.key.to_owned(),
            value,
            allowed,
        }
    }

    fn range(&self, place: Place, value: f64, low: f64, high: f64) -> Result<(), SettingsError> {
        if value.is_finite() && (low..=high).contains(&value) {
            return Ok(());
        }
        let allowed = match (low, high) {
            (ABOVE_ZERO, _) => "a number above 0".to_owned(),
            (low, ANY) => format!("a number from {low}"),
            (low, high) => format!("a number from {low} to {high}"),
        };
        Err(self.fault(place, value.to_string(), allowed))
    }

    fn head(&self, scenario: &Scenario) -> Result<(), SettingsError> {
        let head = |key| Place::at("", 0, key);
        self.range(head("hours"), scenario.hours, ABOVE_ZERO, MAX_HOURS)?;
        if scenario.zones.is_empty() {
            let allowed = "one zone or more".to_owned();
            return Err(self.fault(head("zones"), "[]".to_owned(), allowed));
        }
        let network = |key| Place::at("network", 0, key);
        let delays = scenario.network;
        self.range(
            network("zone_delay_ms"),
            delays.zone_delay_ms,
            0.0,
            MAX_DELAY_MS,
        )?;
        self.range(
            network("client_delay_ms"),
            delays.client_delay_ms,
            0.0,
            MAX_DELAY_MS,
        )?;
        let control = |key| Place::at("control", 0, key);
        let counts = scenario.control;
        self.range(control("voters"), counts.voters.into(), 1.0, 9.0)?;
        self.range(
            control("routers"),
            counts.routers.into(),
            1.0,
            MAX_PROCESSES,
        )
    }

    fn pool(&self, position: usize, pool: &RunnerPool) -> Result<(), SettingsError> {
        let place = |key| Place::at("runner_pool", position, key);
        let memory = pool.memory_mib as f64;
        self.range(place("count"), pool.count.into(), 1.0, MAX_PROCESSES)?;
        self.range(place("accelerators"), pool.accelerators.into(), 1.0, 1024.0)?;
        self.range(place("memory_mib"), memory, 1.0, ANY)?;
        let host = pool.host_mib_per_second;
        self.range(place("host_mib_per_second"), host, ABOVE_ZERO, ANY)?;
        let disk = pool.disk_mib_per_second;
        self.range(place("disk_mib_per_second"), disk, ABOVE_ZERO, ANY)
    }

    fn family(&self, position: usize, family: &ModelFamily) -> Result<(), SettingsError> {
        let place = |key| Place::at("family", position, key);
        let smallest = family.memory_mib_min as f64;
        let largest = family.memory_mib_max as f64;
        self.range(place("count"), family.count.into(), 1.0, MAX_PROCESSES)?;
        self.range(place("memory_mib_min"), smallest, 1.0, ANY)?;
        self.range(place("memory_mib_max"), largest, smallest, ANY)?;
        self.range(place("slots"), family.slots.into(), 1.0, MAX_SLOTS.into())?;
        let replicas = family.max_replicas.into();
        self.range(place("max_replicas"), replicas, 1.0, MAX_REPLICAS.into())
    }

    fn traffic(
        &self,
        position: usize,
        traffic: &Traffic,
        scenario: &Scenario,
    ) -> Result<(), SettingsError> {
        let place = |key| Place::at("traffic", position, key);
        let mut families = scenario.family.iter().map(|family| &family.name);
        if !families.any(|name| *name == traffic.family) {
            let names: Vec<&str> = scenario
                .family
                .iter()
                .map(|one| one.name.as_str())
                .collect();
            let allowed = format!("a family of this file: {}", names.join(", "));
            return Err(self.fault(place("family"), traffic.family.clone(), allowed));
        }
        let exponent = traffic.popularity_exponent;
        self.range(
            place("requests_per_day"),
            traffic.requests_per_day,
            0.0,
            ANY,
        )?;
        self.range(place("popularity_exponent"), exponent, 0.0, MAX_EXPONENT)?;
        self.range(place("burst_size"), traffic.burst_size, 1.0, ANY)?;
        self.range(
            place("prompt_tokens"),
            traffic.prompt_tokens.into(),
            1.0,
            ANY,
        )?;
        self.range(
            place("answer_tokens"),
            traffic.answer_tokens.into(),
            1.0,
            ANY,
        )?;
        self.range(place("deadline_ms"), traffic.deadline_ms.0 as f64, 1.0, ANY)?;
        self.range(place("once_only"), traffic.once_only, 0.0, 1.0)?;
        self.range(place("lost_answers"), traffic.lost_answers, 0.0, 1.0)?;
        self.shape(place("shape"), &traffic.shape)
    }

    fn shape(&self, place: Place, shape: &ArrivalShape) -> Result<(), SettingsError> {
        match shape {
            ArrivalShape::Flat => Ok(()),
            ArrivalShape::Diurnal { peak_hour, depth } => {
                self.range(place, *peak_hour, 0.0, DAY)?;
                self.range(place, *depth, 0.0, 1.0)
            }
            ArrivalShape::Window { from_hour, to_hour } => {
                self.range(place, *from_hour, 0.0, DAY)?;
                self.range(place, *to_hour, *from_hour, DAY)
            }
            ArrivalShape::Periodic { interval_ms, .. } => {
                self.range(place, interval_ms.0 as f64, 1.0, ANY)
            }
        }
    }
}
