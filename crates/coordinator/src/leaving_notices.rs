//! Which notices of leaving instances a leader has applied. Pure.
//!
//! Invariant: a notice is applied once in a leadership. One that names an instance without its start
//! time concerns the incarnation that runs then, and not a later one with the same name.

use courseshunt_state::LeavingInstance;
use courseshunt_types::RunnerId;
use std::collections::BTreeMap;

/// See the module.
#[derive(Debug, Default)]
pub struct AppliedNotices {
    /// Whether the notice that was applied states that the instance terminates.
    ended: BTreeMap<RunnerId, bool>,
}

impl AppliedNotices {
    /// The notices among the recorded ones that are not applied yet, which count as applied from now
    /// on.
    pub fn take_new<'a>(
        &mut self,
        recorded: impl IntoIterator<Item = &'a LeavingInstance>,
    ) -> Vec<LeavingInstance> {
        let recorded = recorded.into_iter();
        let new = recorded.filter(|one| self.note(one));
        new.cloned().collect()
    }

    /// Notes a notice as applied; returns whether it is new.
    fn note(&mut self, notice: &LeavingInstance) -> bool {
        let previous = self.ended.insert(notice.instance.clone(), notice.ended);
        previous.is_none_or(|ended| notice.ended && !ended)
    }
}
