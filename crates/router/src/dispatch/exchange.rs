//! What the dispatcher does with messages of other routers.

use super::state::DispatcherState;
use super::translate::call_of;
use crate::peers::PeerEvent;
use courseshunt_queue::{OwnerCall, QueueSite};
use courseshunt_types::{RouterId, Timestamp};
use courseshunt_wire::Message;

impl DispatcherState {
    pub(super) fn peer(&mut self, event: PeerEvent, now: Timestamp) {
        match event {
            PeerEvent::OwnerConnected { owner, sender } => {
                if self.links.owner_connected(&owner, sender) {
                    let outputs = self.holder.connected(&owner, now);
                    self.carry_out(outputs, now);
                }
            }
            PeerEvent::OwnerDisconnected { owner } => {
                self.links.owner_disconnected(&owner);
                self.holder.disconnected(&owner);
            }
            PeerEvent::OwnerUnreachable { owner } => {
                let outputs = self.holder.unreachable(&owner, now);
                self.carry_out(outputs, now);
            }
            PeerEvent::FromOwner { owner, message } => self.owner_message(owner, message, now),
            PeerEvent::HolderConnected {
                holder,
                session,
                sender,
            } => {
                let replies = self.owned.holder_lost(&holder, now);
                self.links.holder_connected(holder, session, sender);
                self.deliver(&self.own_site(), replies, now);
            }
            PeerEvent::FromHolder {
                holder,
                session,
                message,
            } => {
                if self.links.is_session(&holder, session) {
                    self.holder_message(&holder, message, now);
                }
            }
            PeerEvent::HolderLost { holder, session } => {
                if self.links.holder_lost(&holder, session) {
                    let replies = self.owned.holder_lost(&holder, now);
                    self.deliver(&self.own_site(), replies, now);
                }
            }
        }
    }

    fn owner_message(&mut self, owner: RouterId, message: Message, now: Timestamp) {
        let site = QueueSite::Owner(owner.clone());
        let outputs = match message {
            Message::Granted { queue, grant, .. } => self.holder.granted(site, queue, grant, now),
            Message::Refused { refusal, .. } => self.holder.refused(&site, refusal),
            Message::NotOwner { .. } | Message::OwnerLeaving => self.holder.leaving(&owner, now),
            other => {
                log::warn!("dispatch: owner {owner} sent an unexpected message: {other:?}");
                return;
            }
        };
        self.carry_out(outputs, now);
    }

    fn holder_message(&mut self, holder: &RouterId, message: Message, now: Timestamp) {
        let Some((queue, call)) = call_of(message) else {
            log::warn!("dispatch: holder {holder} sent an unexpected message");
            return;
        };
        if self.stopping
            && let OwnerCall::Offer(ticket) = &call
        {
            let requests = vec![ticket.request.clone()];
            let message = Message::NotOwner { queue, requests };
            self.links.to_holder(holder, message);
            return;
        }
        let replies = self.own_call(holder, &queue, call, now);
        self.deliver(&self.own_site(), replies, now);
    }

    /// Lets others own the queues; what waits or runs here moves with them.
    pub(super) fn hand_over(&mut self, now: Timestamp) {
        self.stopping = true;
        let me = self.holder.members().me().clone();
        let outputs = self.holder.leaving(&me, now);
        self.carry_out(outputs, now);
        self.links.to_all_holders(&Message::OwnerLeaving);
    }
}
