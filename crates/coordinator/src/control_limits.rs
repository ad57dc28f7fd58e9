//! Limits of the listeners of a controller that anyone can reach: the control address and the metrics.
//!
//! Invariant: what connections and heads occupy together is a share of the process's memory, and
//! connections take a share of its descriptors.

use courseshunt_http::ServerLimits;
use courseshunt_settings::service::ServiceLimits;
use std::time::Duration;

/// Registration intervals after which an idle connection of an instance is closed. Connections
/// that instances abandon would otherwise exceed the limit of open files.
const IDLE_REGISTRATION_INTERVALS: u64 = 4;
/// Maximum connections of instances and operators; an instance that is rejected here connects to
/// another controller.
const MAX_CONTROL_CONNECTIONS: usize = 2_500;
/// At least so many connections are kept, whatever the settings state.
const MIN_CONNECTIONS: usize = 16;
/// Maximum connections of readers of the metrics.
const MAX_METRICS_CONNECTIONS: usize = 16;
/// Longest head of a call, in bytes.
const MAX_HEAD_BYTES: usize = 4 * 1024;
/// What a connection occupies whose head has the longest length that is read, in bytes.
const CONNECTION_BYTES: usize = 32 * 1024;
/// Connections and heads occupy at most the memory divided by this.
const MEMORY_DIVISOR: usize = 3;
/// The descriptors divided by this stay free for peers, routers, instances and files; connections
/// take at most the others.
const OTHER_DESCRIPTORS_DIVISOR: usize = 3;

/// Limits of the control address.
pub(crate) fn control_limits(settings: &ServiceLimits) -> ServerLimits {
    let silence = settings.registration_interval_ms * IDLE_REGISTRATION_INTERVALS;
    ServerLimits {
        max_connections: max_control_connections(settings),
        header_timeout: Duration::from_millis(silence),
        max_header_bytes: MAX_HEAD_BYTES,
    }
}

/// Limits of the metrics address.
pub(crate) fn metrics_limits() -> ServerLimits {
    ServerLimits {
        max_connections: MAX_METRICS_CONNECTIONS,
        max_header_bytes: MAX_HEAD_BYTES,
        ..ServerLimits::default()
    }
}

fn max_control_connections(settings: &ServiceLimits) -> usize {
    let descriptors = settings.open_files();
    let by_memory = settings.process_memory_bytes() / MEMORY_DIVISOR / CONNECTION_BYTES;
    let by_descriptors = descriptors - descriptors / OTHER_DESCRIPTORS_DIVISOR;
    let bound = MAX_CONTROL_CONNECTIONS.min(by_memory).min(by_descriptors);
    bound.max(MIN_CONNECTIONS)
}
