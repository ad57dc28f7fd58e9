//! The cases of the suite.

use crate::fleet::FleetShape;
use courseshunt_standin::faults::{Fault, FaultKind, FaultSchedule};
use courseshunt_types::Millis;
use std::time::Duration;

/// When a fault begins.
const BEGIN: Millis = Millis(2_500);
/// How long it lasts.
const LENGTH: Millis = Millis(3_000);
/// Between the first loss and the one right after its repair.
const SECOND_LOSS: Millis = Millis(4_000);
/// Time that the rolling restart gives each node.
const ROLLING_STEP: Millis = Millis(2_000);
/// How long a node stays down in the rolling restart.
const ROLLING_DOWN: Millis = Millis(300);
/// Share of its speed that a slow weight store keeps.
const SLOW_STORE: f64 = 0.1;
const SLOW_LINK: Millis = Millis(80);

/// One case.
#[derive(Debug, Clone, PartialEq)]
pub struct SuiteCase {
    /// Its name.
    pub name: String,
    /// Its faults.
    pub faults: FaultSchedule,
    /// Length of the load.
    pub length: Duration,
}

struct Failure {
    name: &'static str,
    kind: FaultKind,
    target: &'static str,
}

/// Each failure that the system must survive.
const FAILURES: &[Failure] = &[
    failure("controller-crash", FaultKind::Crash, "controller"),
    failure("controller-silent-cut", FaultKind::SilentCut, "controller"),
    failure("router-crash", FaultKind::Crash, "router"),
    failure("router-silent-cut", FaultKind::SilentCut, "router"),
    failure("runner-crash", FaultKind::Crash, "runner"),
    failure("runner-crash-mid-load", FaultKind::Crash, "loading-runner"),
    failure("runner-silent-cut", FaultKind::SilentCut, "runner"),
    failure("reclaim-with-notice", FaultKind::Reclaim, "runner"),
    failure(
        "reclaim-without-notice",
        FaultKind::ReclaimWithoutNotice,
        "runner",
    ),
    failure("slow-store", FaultKind::SlowStore(SLOW_STORE), "*"),
    failure("stale-list", FaultKind::StaleList, "*"),
    failure("zone-cut", FaultKind::ZoneCut, "zone"),
    failure("zone-loss", FaultKind::ZoneLoss, "zone"),
    failure("operator-race", FaultKind::OperatorRace, "*"),
    failure("resent-change", FaultKind::ResentChange, "*"),
    failure("controller-freeze", FaultKind::Freeze, "controller"),
    failure("router-freeze", FaultKind::Freeze, "router"),
    failure("runner-freeze", FaultKind::Freeze, "runner"),
    failure("slow-link", FaultKind::SlowLink(SLOW_LINK), "router"),
];

const fn failure(name: &'static str, kind: FaultKind, target: &'static str) -> Failure {
    Failure { name, kind, target }
}

impl Failure {
    fn at(&self, at_ms: Millis) -> Fault {
        Fault {
            at_ms,
            for_ms: LENGTH,
            kind: self.kind.clone(),
            target: self.target.to_owned(),
        }
    }
}

/// All cases for a fleet of this shape.
#[must_use]
pub fn cases(shape: &FleetShape, length: Duration, with_pairs: bool) -> Vec<SuiteCase> {
    let mut all = vec![SuiteCase {
        name: "no-fault".to_owned(),
        faults: FaultSchedule::default(),
        length,
    }];
    all.extend(
        FAILURES
            .iter()
            .map(|failure| single(failure.name, failure.at(BEGIN), length)),
    );
    all.push(second_loss(length));
    if with_pairs {
        all.extend(pairs(length));
    }
    all.push(rolling_restart(shape));
    all
}

/// A case of one fault.
#[must_use]
pub fn single(name: &str, fault: Fault, length: Duration) -> SuiteCase {
    SuiteCase {
        name: name.to_owned(),
        faults: FaultSchedule { fault: vec![fault] },
        length,
    }
}

/// Every two failures together.
#[must_use]
pub fn pairs(length: Duration) -> Vec<SuiteCase> {
    let mut all = Vec::new();
    for (position, one) in FAILURES.iter().enumerate() {
        for other in &FAILURES[position + 1..] {
            all.push(SuiteCase {
                name: format!("{}+{}", one.name, other.name),
                faults: FaultSchedule {
                    fault: vec![one.at(BEGIN), other.at(BEGIN)],
                },
                length,
            });
        }
    }
    all
}

/// A second controller is lost right after the first one's repair.
fn second_loss(length: Duration) -> SuiteCase {
    let loss = |at_ms, target: &str| Fault {
        at_ms,
        for_ms: Millis(1_500),
        kind: FaultKind::Crash,
        target: target.to_owned(),
    };
    SuiteCase {
        name: "second-loss-after-repair".to_owned(),
        faults: FaultSchedule {
            fault: vec![
                loss(BEGIN, "controller-1"),
                loss(SECOND_LOSS, "controller-2"),
            ],
        },
        length,
    }
}

/// Every node stops as planned, one after the other: controllers and routers
/// restart, runners leave with notice.
#[must_use]
pub fn rolling_restart(shape: &FleetShape) -> SuiteCase {
    let controllers = (1..=shape.controllers).map(|number| format!("controller-{number}"));
    let routers = (1..=shape.routers).map(|number| format!("router-{number}"));
    let runners = (1..=shape.runners.len()).map(|number| format!("runner-{number}"));
    let stopped = controllers.chain(routers);
    let stopped = stopped.map(|name| (name, FaultKind::PlannedRestart, ROLLING_DOWN));
    let left = runners.map(|name| (name, FaultKind::Reclaim, ROLLING_STEP));
    let mut at_ms = BEGIN;
    let mut faults = Vec::new();
    for (target, kind, for_ms) in stopped.chain(left) {
        faults.push(Fault {
            at_ms,
            for_ms,
            kind,
            target,
        });
        at_ms = Millis(at_ms.0 + ROLLING_STEP.0);
    }
    SuiteCase {
        name: "rolling-restart".to_owned(),
        faults: FaultSchedule { fault: faults },
        length: Duration::from(at_ms) + Duration::from(BEGIN),
    }
}
