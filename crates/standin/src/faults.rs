//! Fault files: what breaks when.

use courseshunt_types::Millis;

/// A fault schedule.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSchedule {
    /// The faults.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// One fault.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in milliseconds from the start.
    pub at_ms: Millis,
    /// How long it lasts, in milliseconds; 0 for a moment's event.
    #[serde(default)]
    pub for_ms: Millis,
    /// What happens.
    pub kind: FaultKind,
    /// Name of the process, zone or link; `*` lets the seed choose.
    #[serde(default = "any")]
    pub target: String,
}

fn any() -> String {
    "*".to_owned()
}

/// What happens.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process dies and starts again after `for_ms`.
    Crash,
    /// The process dies and comes back without its disk, under a new identity.
    LoseDisk,
    /// The process stops as planned and starts again after `for_ms`.
    PlannedRestart,
    /// The process runs but nothing passes to or from it, without any error.
    SilentCut,
    /// Everything to and from the process takes this much longer, in milliseconds.
    SlowLink(Millis),
    /// The process stands still.
    Freeze,
    /// All processes of a zone lose each other from the rest.
    ZoneCut,
    /// All processes of a zone die.
    ZoneLoss,
    /// The platform takes a runner's machine away, with notice.
    Reclaim,
    /// The platform takes a runner's machine away without notice.
    ReclaimWithoutNotice,
    /// The weight store slows down to this share of its speed.
    SlowStore(f64),
    /// The platform's list stands still.
    StaleList,
    /// The disk of a controller is full.
    DiskFull,
    /// Two operators change the same document under equal version numbers.
    OperatorRace,
    /// An operator loses the answer and sends the change again, late.
    ResentChange,
}
