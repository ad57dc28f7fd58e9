//! Load and speed of instances: what instances report in their responses and what routers measure,
//! combined by the leader over all routers and sent back to them.
//!
//! Invariant: data of an instance is never applied to another incarnation of it, because the
//! identity of an instance includes its incarnation.

#![allow(
    missing_docs,
    reason = "rkyv derives archived types whose fields have no docs"
)]

mod decay;
pub mod ledger;
mod report;
pub mod router;
mod slowness;
mod table;

pub use ledger::LoadLedger;
pub use router::RouterLoads;
pub use table::LoadTable;

use courseshunt_types::{Millis, RunnerId};

/// Load that an instance reports in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the instance.
    pub waiting: u32,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Present duration of work, in percent of the usual one.
    pub work_percent: u32,
}

/// Load in the headers of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReportedLoad {
    /// The response carries no load, or one without the duration of work.
    #[default]
    None,
    /// The header is malformed or has an impossible value; it is ignored as a whole.
    Unreadable,
    /// A complete report.
    Load(LoadReport),
}

/// Observations of one instance by a router since its last report.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LoadSample {
    /// The instance.
    pub instance: RunnerId,
    /// The newest report of the instance, with its age; `None` if there was none.
    pub report: Option<(LoadReport, Millis)>,
    /// Prompt and output tokens of this router's requests in flight there.
    pub held_tokens: u32,
    /// Sum of the measured ratios of the time to the first event to the time predicted at usual
    /// speed, in thousandths.
    pub slowness_permille_sum: u32,
    /// Number of measured ratios.
    pub slowness_samples: u32,
}

/// Load and speed of one instance, combined over all routers.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct InstanceLoad {
    /// The instance.
    pub instance: RunnerId,
    /// The newest report, with its age.
    pub report: Option<(LoadReport, Millis)>,
    /// Prompt and output tokens of the requests of all routers in flight there.
    pub held_tokens: u32,
    /// Average ratio of the measured to the predicted time to the first event, in thousandths;
    /// `None` without recent measurements.
    pub slowness_permille: Option<u32>,
}

/// Streams of a model that had a pause longer than their route allows, at one router since its
/// last report.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ModelPauses {
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Number of streams that ended.
    pub streams: u32,
    /// Number of these with a pause that was too long.
    pub paused: u32,
}

/// Present condition of an instance, for decisions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceCondition {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the instance.
    pub waiting: u32,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Present duration of work relative to the usual one; 1 is usual.
    pub work_factor: f64,
    /// Average duration of work at this instance relative to the service's usual one.
    pub slowness: f64,
    /// Prompt and output tokens of the requests of all routers in flight there.
    pub held_tokens: u32,
}
