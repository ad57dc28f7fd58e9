//! Wire errors, which name the step and the peer.

use std::io;

/// An error on a connection.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The connection failed.
    #[snafu(display("wire: {step} with {peer}: {source}"))]
    Io {
        /// What was being done.
        step: &'static str,
        /// The peer.
        peer: String,
        /// The cause.
        source: io::Error,
    },
    /// The peer sent something that is not allowed.
    #[snafu(display("wire: {step} with {peer}: {problem}"))]
    Protocol {
        /// What was being done.
        step: &'static str,
        /// The peer.
        peer: String,
        /// What is wrong.
        problem: String,
    },
    /// The peer was silent for too long.
    #[snafu(display("wire: {step} with {peer}: no answer in time"))]
    TimedOut {
        /// What was being done.
        step: &'static str,
        /// The peer.
        peer: String,
    },
}
