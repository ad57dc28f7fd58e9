//! Hollow nodes: they speak the real protocols, hold no work, and share one
//! process by the hundred.

pub mod router;
pub mod runner;
