//! Handles the events of connections to other routers in the dispatcher.

use super::state::DispatcherState;
use super::translate::call_of;
use crate::peers::PeerEvent;
use courseshunt_queue::{OwnerCall, QueueSite};
use courseshunt_types::{RouterId, Timestamp};
use courseshunt_wire::Message;

impl DispatcherState {
    pub(super) fn handle_peer_event(&mut self, event: PeerEvent, now: Timestamp) {
        match event {
            PeerEvent::OwnerConnected { owner, sender } => {
                if self.links.owner_connected(&owner, sender) {
                    let outputs = self.holder.connected(&owner, now);
                    self.apply_outputs(outputs, now);
                }
            }
            PeerEvent::OwnerDisconnected { owner } => {
                self.links.owner_disconnected(&owner);
                self.holder.disconnected(&owner);
            }
            PeerEvent::OwnerUnreachable { owner } => {
                let outputs = self.holder.unreachable(&owner, now);
                self.apply_outputs(outputs, now);
            }
            PeerEvent::FromOwner { owner, message } => {
                self.handle_owner_message(owner, message, now)
            }
            PeerEvent::HolderConnected {
                holder,
                session,
                sender,
            } => {
                let replies = self.owned.holder_lost(&holder, now);
                self.links.holder_connected(holder, session, sender);
                self.deliver_replies(&self.own_site(), replies, now);
            }
            PeerEvent::FromHolder {
                holder,
                session,
                message,
            } => {
                if self.links.is_session(&holder, session) {
                    self.handle_holder_message(&holder, message, now);
                }
            }
            PeerEvent::HolderLost { holder, session } => {
                if self.links.holder_lost(&holder, session) {
                    let replies = self.owned.holder_lost(&holder, now);
                    self.deliver_replies(&self.own_site(), replies, now);
                }
            }
        }
    }

    fn handle_owner_message(&mut self, owner: RouterId, message: Message, now: Timestamp) {
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
        self.apply_outputs(outputs, now);
    }

    fn handle_holder_message(&mut self, holder: &RouterId, message: Message, now: Timestamp) {
        let Some((queue, call)) = call_of(message) else {
            log::warn!("dispatch: holder {holder} sent an unexpected message");
            return;
        };
        if self.stopping
            && let OwnerCall::Offer(ticket) = &call
        {
            let requests = vec![ticket.request.clone()];
            let message = Message::NotOwner { queue, requests };
            self.links.send_to_holder(holder, message);
            return;
        }
        let replies = self.call_own_queue(holder, &queue, call, now);
        self.deliver_replies(&self.own_site(), replies, now);
    }

    /// Hands the owned queues over to other routers; waiting tickets and running
    /// grants of this router move to the new owners.
    pub(super) fn hand_over_queues(&mut self, now: Timestamp) {
        self.stopping = true;
        let own_id = self.holder.members().me().clone();
        let outputs = self.holder.leaving(&own_id, now);
        self.apply_outputs(outputs, now);
        self.links.send_to_all_holders(&Message::OwnerLeaving);
    }
}
