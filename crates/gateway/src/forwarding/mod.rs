//! Forwarding of requests between routers: a router that has lost its path to an instance sends
//! the request through another router that reaches it.
//!
//! Two routers speak HTTP/1.1 over a connection on which both have proved that they hold the
//! cluster key. The router that received the request from its client keeps all decisions: quotas,
//! limits, retries, deadlines and the response. The forwarder sends it to the named instance, once.
//!
//! Invariants: a forwarded request is never forwarded again; the forwarder reports that a request
//! was not sent only if it certainly was not; nothing but a router of the same protocol version is
//! served.

mod client;
pub mod forwarders;
pub mod headers;
mod server;

pub(crate) use client::{check_request, connect, due_report};
pub(crate) use forwarders::{ForwarderList, InFlightGuard};
pub(crate) use server::accept_routers;
