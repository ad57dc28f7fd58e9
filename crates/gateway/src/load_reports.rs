//! The load that instances report in their responses.
//!
//! Invariant: only a response of the instance itself to this request counts; a report that can't
//! be read is ignored as a whole.

use crate::Shared;
use crate::instance_reports::ResponseOrigin;
use crate::interface::ResponseMetadata;
use crate::records::RouterRecord;
use courseshunt_instance_load::ReportedLoad;
use courseshunt_records::emit;
use courseshunt_types::RunnerId;
use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};

/// Largest number of instances whose first unreadable report is recorded; it bounds memory and
/// log.
const MAX_RECORDED_INSTANCES: usize = 1_024;

/// Instances with an unreadable report that was recorded.
#[derive(Default)]
pub(crate) struct UnreadableLoads {
    recorded: Mutex<HashSet<RunnerId>>,
}

impl UnreadableLoads {
    /// Whether the report must be recorded: it is the instance's first one, and the set is not
    /// full.
    fn insert_new(&self, instance: &RunnerId) -> bool {
        let mut recorded = self.recorded.lock().unwrap_or_else(PoisonError::into_inner);
        recorded.len() < MAX_RECORDED_INSTANCES && recorded.insert(instance.clone())
    }

    /// Forgets instances that no longer exist.
    pub(crate) fn remove(&self, instances: &[RunnerId]) {
        let mut recorded = self.recorded.lock().unwrap_or_else(PoisonError::into_inner);
        for instance in instances {
            recorded.remove(instance);
        }
    }
}

/// Records the load in a response.
pub(crate) fn observe_load(
    shared: &Shared,
    origin: ResponseOrigin<'_>,
    status: u16,
    metadata: &ResponseMetadata,
) {
    let is_foreign = !metadata.genuine || metadata.misdirected;
    let outcome = match metadata.load {
        ReportedLoad::None => "absent",
        ReportedLoad::Unreadable => {
            record_unreadable(shared, origin, status);
            "unreadable"
        }
        ReportedLoad::Load(_) if is_foreign => "foreign",
        ReportedLoad::Load(report) => {
            shared.view.record_load(origin.instance, report);
            "read"
        }
    };
    shared.metrics.load_report(outcome);
}

fn record_unreadable(shared: &Shared, origin: ResponseOrigin<'_>, status: u16) {
    if shared.unreadable_loads.insert_new(origin.instance) {
        emit(&RouterRecord::LoadUnreadable {
            instance: origin.instance.as_str(),
            id: origin.id,
            status,
        });
    }
}
