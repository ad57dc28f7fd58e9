//! Errors of starting a coordinator; each names the failed step and the file or address.

use courseshunt_controller::ControllerError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error that prevents the start of a coordinator.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CoordinatorError {
    /// The cluster key has fewer than 16 bytes.
    #[snafu(display("coordinator: the cluster key must have at least 16 bytes"))]
    ShortKey,
    /// The settings contain no address for operators and instances.
    #[snafu(display("coordinator: `listen.control` is missing"))]
    NoAddress,
    /// Binding a listener failed.
    #[snafu(display("coordinator: listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The identity can't be read or written.
    #[snafu(display("coordinator: {step} {}: {source}", path.display()))]
    Identity {
        /// The failed step.
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// Starting the thread of the control group failed.
    #[snafu(display("coordinator: {step} the thread of the control group: {source}"))]
    Thread {
        /// The failed step.
        step: &'static str,
        /// The cause.
        source: std::io::Error,
    },
    /// The thread of the control group ended during the start.
    #[snafu(display("coordinator: start on the thread of the control group: {source}"))]
    MemberThread {
        /// The cause.
        source: tokio::task::JoinError,
    },
    /// Starting the replica failed.
    #[snafu(display("coordinator: start the replica: {source}"))]
    Replica {
        /// The cause.
        source: ControllerError,
    },
}
