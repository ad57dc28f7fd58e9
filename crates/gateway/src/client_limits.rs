//! How many connections of clients a router keeps open.

use courseshunt_services::ClientLimits;
use courseshunt_settings::service::ServiceLimits;

/// Clients' connections take at most the descriptors divided by this. The others are for instances,
/// other routers, controllers and files.
const DESCRIPTORS_DIVISOR: usize = 2;
/// Clients' connections and the heads that they send occupy at most the memory divided by this.
const MEMORY_DIVISOR: usize = 3;
/// A head of the longest length occupies up to this many times its length while it is read.
const HEAD_BUFFER_FACTOR: usize = 2;
/// What a connection occupies besides, in bytes.
const CONNECTION_BYTES: usize = 8 * 1024;
/// At least so many connections are kept, whatever the settings state.
const MIN_CONNECTIONS: usize = 16;

/// Maximum number of clients' connections.
pub(crate) fn max_client_connections(process: &ServiceLimits, clients: &ClientLimits) -> usize {
    let head_bytes = clients
        .max_header_bytes
        .max(crate::serve::MIN_READ_BUFFER_BYTES);
    let connection_bytes = CONNECTION_BYTES + HEAD_BUFFER_FACTOR * head_bytes;
    let by_memory = process.process_memory_bytes() / MEMORY_DIVISOR / connection_bytes;
    let bound = (process.open_files() / DESCRIPTORS_DIVISOR).min(by_memory);
    bound.max(MIN_CONNECTIONS)
}
