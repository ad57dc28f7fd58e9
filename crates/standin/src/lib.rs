//! Models and servers that stand in for runners, the weight store, the
//! platform list and callers.
//!
//! `model` is pure: it advances with the time that it is given, virtual or
//! real. `server` puts the same models behind sockets.

pub mod check;
pub mod faults;
pub mod model;
pub mod scenario;
pub mod server;
