//! Demand belongs to the leader: a member that no longer leads forgets what
//! routers and other members reported to it.

use crate::ControllerContext;

/// Forgets all demand whenever this member stops leading; runs until cancelled.
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
