//! Connections between routers: tickets are sent to the owners of queues, which
//! reply with grants.
//!
//! A router connects to the owners that it has tickets for and accepts
//! connections from the holders of tickets for its own queues. Invariant: within
//! a session messages are delivered in order or not at all; at the start of a
//! session the holder sends its tickets and grants again.

mod accept;
mod dial;
mod links;

pub use accept::accept_holders;
pub use links::{Links, PeerContext};

use courseshunt_types::RouterId;
use courseshunt_wire::Message;
use tokio::sync::mpsc;

/// Capacity of the send queue to one peer; an overflow ends the session.
const SEND_QUEUE: usize = 4096;

/// Sender of messages to one peer within one session.
pub type PeerSender = mpsc::Sender<Message>;

/// Number of a session, unique within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionNumber(pub u64);

/// Event on a connection, reported to the dispatcher.
#[derive(Debug)]
pub enum PeerEvent {
    /// A session with an owner was established.
    OwnerConnected {
        /// Id of the owner.
        owner: RouterId,
        /// Sender of messages within the session.
        sender: PeerSender,
    },
    /// An owner can't be reached.
    OwnerUnreachable {
        /// Id of the owner.
        owner: RouterId,
    },
    /// A session with an owner ended; a new connection is attempted.
    OwnerDisconnected {
        /// Id of the owner.
        owner: RouterId,
    },
    /// An owner sent a message.
    FromOwner {
        /// Id of the owner.
        owner: RouterId,
        /// The received message.
        message: Message,
    },
    /// A session with a holder was established.
    HolderConnected {
        /// Id of the holder.
        holder: RouterId,
        /// Number of the session.
        session: SessionNumber,
        /// Sender of messages within the session.
        sender: PeerSender,
    },
    /// A holder sent a message.
    FromHolder {
        /// Id of the holder.
        holder: RouterId,
        /// Number of the session.
        session: SessionNumber,
        /// The received message.
        message: Message,
    },
    /// A holder's session ended.
    HolderLost {
        /// Id of the holder.
        holder: RouterId,
        /// Number of the session.
        session: SessionNumber,
    },
}
