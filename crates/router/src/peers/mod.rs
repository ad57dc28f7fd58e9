//! Connections between routers: tickets go to the owners of queues, grants
//! come back.
//!
//! A router dials the owners that it has tickets for, and is dialled by the
//! holders of tickets for its own queues. Invariant: a message is delivered in
//! order within one session or not at all; at the start of a session both
//! sides tell each other what must be known.

mod accept;
mod dial;
mod links;

pub use accept::accept_holders;
pub use links::{Links, PeerContext};

use courseshunt_types::RouterId;
use courseshunt_wire::Message;
use tokio::sync::mpsc;

/// Messages that wait to be sent to one peer; more end the session.
const SEND_QUEUE: usize = 4096;

/// Sends to one peer within one session.
pub type PeerSender = mpsc::Sender<Message>;

/// Number of a session, unique within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionNumber(pub u64);

/// What the connections tell the dispatcher.
#[derive(Debug)]
pub enum PeerEvent {
    /// A session with an owner began.
    OwnerConnected {
        /// The owner.
        owner: RouterId,
        /// Sends to it.
        sender: PeerSender,
    },
    /// An owner can't be reached.
    OwnerUnreachable {
        /// The owner.
        owner: RouterId,
    },
    /// A session with an owner ended; another is tried.
    OwnerDisconnected {
        /// The owner.
        owner: RouterId,
    },
    /// A message of an owner.
    FromOwner {
        /// The owner.
        owner: RouterId,
        /// The message.
        message: Message,
    },
    /// A holder began a session.
    HolderConnected {
        /// The holder.
        holder: RouterId,
        /// The session.
        session: SessionNumber,
        /// Sends to it.
        sender: PeerSender,
    },
    /// A message of a holder.
    FromHolder {
        /// The holder.
        holder: RouterId,
        /// The session.
        session: SessionNumber,
        /// The message.
        message: Message,
    },
    /// A holder's session ended.
    HolderLost {
        /// The holder.
        holder: RouterId,
        /// The session.
        session: SessionNumber,
    },
}
