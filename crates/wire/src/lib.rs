//! Framed, authenticated connections between the processes and the messages
//! they carry.
//!
//! Invariant: no message is delivered before both ends have proved that they
//! hold the cluster key. A frame that can't be decoded closes its connection and
//! affects nothing else.

#![allow(
    missing_docs,
    reason = "the fields of the archived enums that rkyv generates have no doc comments"
)]

pub mod compression;
mod connection;
mod dial_limit;
pub mod error;
mod frame;
mod handshake;
pub mod message;
mod parts;
pub mod previous_release;
mod traffic;

pub use connection::{
    AuthenticatedStream, Connection, Receiver, Sender, accept, accept_stream, connect,
    connect_from, connect_stream_within, connect_within, listen,
};
pub use dial_limit::DialLimit;
pub use error::WireError;
pub use frame::{
    Frame, MAX_COMMAND_BYTES, MAX_FRAME_BYTES, PREVIOUS_RELEASE_VERSION, PROTOCOL_VERSION, decode,
    encode,
};
pub use handshake::{ClusterKey, MIN_KEY_BYTES, PeerIdentity};
pub use message::Message;
pub use parts::DOCUMENTS_PER_PART;
pub use traffic::{KindTraffic, MESSAGE_KINDS, TrafficCount, traffic};
