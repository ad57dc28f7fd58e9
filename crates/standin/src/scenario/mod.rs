//! Scenario files: a site, its models and its callers.
//!
//! Read by `courseshunt-lab simulate`, `fleet` and `capacity` alike. Every
//! field is explained in `docs/SCENARIOS.md`.

mod check;

pub use check::FieldError;

use crate::model::{EngineTiming, StoreModelSettings};
use courseshunt_types::{ClassLimits, Millis, ObjectiveWeights, PriorityClass};

/// A whole scenario.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in reports.
    pub name: String,
    /// Simulated time, in hours.
    #[serde(default = "default_hours")]
    pub hours: f64,
    /// Zones; processes are spread over them in turn.
    pub zones: Vec<String>,
    /// Network between zones.
    #[serde(default)]
    pub network: NetworkSettings,
    /// Control processes.
    #[serde(default)]
    pub control: ControlSettings,
    /// Pools of runners.
    pub runner_pool: Vec<RunnerPool>,
    /// The weight store.
    #[serde(default)]
    pub store: StoreModelSettings,
    /// The platform's list.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// Families of models.
    pub family: Vec<ModelFamily>,
    /// Streams of requests.
    pub traffic: Vec<Traffic>,
}

fn default_hours() -> f64 {
    24.0
}

/// Network delays.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkSettings {
    /// One way between zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// One way between callers and routers, in milliseconds.
    pub client_delay_ms: f64,
}

impl Default for NetworkSettings {
    fn default() -> Self {
        Self {
            zone_delay_ms: 1.1,
            client_delay_ms: 1.0,
        }
    }
}

/// Control processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Voting controllers.
    pub voters: u32,
    /// Listening controllers.
    pub learners: u32,
    /// Routers.
    pub routers: u32,
    /// From an event to the plan that answers it, in milliseconds.
    pub plan_ms: Millis,
    /// Commit of one command, in milliseconds.
    pub commit_ms: Millis,
    /// From the loss of the leader to the next one, in milliseconds.
    pub failover_ms: Millis,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            voters: 3,
            learners: 0,
            routers: 3,
            plan_ms: Millis(2),
            commit_ms: Millis(5),
            failover_ms: Millis::from_secs(3),
        }
    }
}

/// A pool of equal runners.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerPool {
    /// Prefix of the runners' names.
    pub name: String,
    /// Runners.
    pub count: u32,
    /// Accelerators in each.
    #[serde(default = "one")]
    pub accelerators: u32,
    /// Accelerator memory of each, in MiB.
    pub memory_mib: u64,
    /// Host memory for checkpoints of each, in MiB.
    pub host_memory_mib: u64,
    /// Disk for checkpoints of each, in MiB.
    pub disk_mib: u64,
    /// Speed from host memory to accelerator, in MiB per second.
    #[serde(default = "default_host_speed")]
    pub host_mib_per_second: f64,
    /// Speed from disk to accelerator, in MiB per second.
    #[serde(default = "default_disk_speed")]
    pub disk_mib_per_second: f64,
    /// Time for setting up an engine after the weights are there, in milliseconds.
    #[serde(default = "default_engine_start")]
    pub engine_start_ms: Millis,
    /// Engine speed.
    #[serde(default)]
    pub timing: EngineTiming,
}

fn default_engine_start() -> Millis {
    Millis(1500)
}

fn one() -> u32 {
    1
}

fn default_host_speed() -> f64 {
    10_000.0
}

fn default_disk_speed() -> f64 {
    2_000.0
}

/// The platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// How far the list lags behind reality, in milliseconds.
    pub list_lag_ms: Millis,
    /// Notice before a machine is taken away, in milliseconds.
    pub reclaim_notice_ms: Millis,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            list_lag_ms: Millis::from_secs(10),
            reclaim_notice_ms: Millis::from_secs(120),
        }
    }
}

/// A family of models of one kind; one deployment each.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelFamily {
    /// Prefix of the deployments' names.
    pub name: String,
    /// Deployments.
    pub count: u32,
    /// Adapters over all deployments of the family, dealt out in turn.
    #[serde(default)]
    pub adapters: u32,
    /// Memory of one adapter, in MiB.
    #[serde(default = "default_adapter_mib")]
    pub adapter_mib: u64,
    /// Memory of the smallest model, in MiB.
    pub memory_mib_min: u64,
    /// Memory of the largest model, in MiB.
    pub memory_mib_max: u64,
    /// Requests that one replica runs together.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Replicas at the most.
    #[serde(default = "one")]
    pub max_replicas: u32,
    /// Limits by class.
    #[serde(default)]
    pub limits: ClassLimits,
    /// What the operator weighs.
    #[serde(default)]
    pub weights: ObjectiveWeights,
    /// How long batch requests may be gathered, in milliseconds.
    #[serde(default)]
    pub batch_window_ms: Millis,
}

fn default_adapter_mib() -> u64 {
    64
}

fn default_slots() -> u32 {
    8
}

/// A stream of requests to one family.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Name in reports.
    pub name: String,
    /// Family that is called.
    pub family: String,
    /// Class of the requests.
    pub class: PriorityClass,
    /// Requests in 24 hours, over all deployments of the family.
    pub requests_per_day: f64,
    /// How the day's requests are spread.
    pub shape: ArrivalShape,
    /// Exponent of the popularity over the family's deployments: the n-th gets
    /// a share in proportion to n^-exponent.
    pub popularity_exponent: f64,
    /// Requests that come together, on average; 1 means single ones.
    #[serde(default = "default_burst")]
    pub burst_size: f64,
    /// Length of a burst, in milliseconds.
    #[serde(default)]
    pub burst_ms: Millis,
    /// Mean length of a prompt, in tokens.
    pub prompt_tokens: u32,
    /// Leading tokens of a prompt that all requests to a deployment share.
    #[serde(default)]
    pub shared_prefix_tokens: u32,
    /// Mean length of an answer, in tokens.
    pub answer_tokens: u32,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: Millis,
    /// Share of requests that may run once only, 0 to 1.
    #[serde(default)]
    pub once_only: f64,
    /// Share of answers that the caller loses and asks for again, 0 to 1.
    #[serde(default)]
    pub lost_answers: f64,
}

fn default_burst() -> f64 {
    1.0
}

/// How requests are spread over the day.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ArrivalShape {
    /// Equally.
    Flat,
    /// Like a cosine with its top at `peak_hour`; `depth` 1 means none at night.
    Diurnal {
        /// Hour of the top, 0 to 24.
        peak_hour: f64,
        /// Depth of the valley, 0 to 1.
        depth: f64,
    },
    /// All within a window.
    Window {
        /// Begin, as hour 0 to 24.
        from_hour: f64,
        /// End, as hour 0 to 24.
        to_hour: f64,
    },
    /// At a fixed interval for each deployment, with jitter.
    Periodic {
        /// Interval, in milliseconds.
        interval_ms: Millis,
        /// Largest jitter, in milliseconds.
        jitter_ms: Millis,
    },
}
