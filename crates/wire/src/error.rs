//! Errors of connections. Each names the step that failed and the peer.

use std::io;

/// An error on a connection.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// Reading from or writing to the connection failed.
    #[snafu(display("wire: {step} with {peer}: {source}"))]
    Io {
        /// Step that failed, such as `handshake`.
        step: &'static str,
        /// Identity or address of the peer.
        peer: String,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The peer violated the protocol, or a message could not be encoded.
    #[snafu(display("wire: {step} with {peer}: {problem}"))]
    Protocol {
        /// Step that failed, such as `handshake`.
        step: &'static str,
        /// Identity or address of the peer.
        peer: String,
        /// Description of the violation.
        problem: String,
    },
    /// The peer did not answer within the time limit.
    #[snafu(display("wire: {step} with {peer}: no answer in time"))]
    TimedOut {
        /// Step that failed, such as `handshake`.
        step: &'static str,
        /// Identity or address of the peer.
        peer: String,
    },
}
