//! Clears demand at a member that loses the leadership.
//!
//! Invariant: only the leader keeps demand reports.

use crate::ControllerContext;

/// Clears all demand reports whenever this member loses the leadership; runs until cancelled.
pub async fn clear_on_leadership_loss(context: ControllerContext) {
    let mut status = context.replica.status();
    loop {
        if status.wait_for(|status| status.leads()).await.is_err() {
            return;
        }
        if status.wait_for(|status| !status.leads()).await.is_err() {
            return;
        }
        context.demand.clear();
    }
}
