//! Pure waiting queues, tickets and grants.
//!
//! One [`WaitingQueue`] serves one deployment at its owner. It knows no
//! transport and no clock; the router and the simulator drive it alike. A
//! [`Holder`] keeps the tickets of one router's callers and knows where each
//! waits.
//!
//! Invariant: a ticket that was taken in leaves in exactly one way: granted,
//! cancelled, or refused.

#![allow(
    missing_docs,
    reason = "the fields of the archived enums that rkyv derives carry no docs"
)]

pub mod admission;
pub mod choice;
pub mod demand;
mod estimate;
mod fairness;
pub mod holder;
pub mod members;
pub mod outcome;
pub mod ownership;
pub mod prompt;
pub mod rate;
pub mod slots;
pub mod ticket;
pub mod waiting;

pub use admission::AdaptiveLimit;
pub use choice::{FreestRunner, RunnerChoice};
pub use demand::{DemandReport, WaitingByClass};
pub use fairness::FAIRNESS_WINDOW;
pub use holder::{Holder, HolderCounts, HolderOutput, OwnerCall};
pub use members::{Member, Members, QueueSite};
pub use outcome::{AdmissionFailure, AttemptOutcome};
pub use ownership::{QueueKey, owner_of};
pub use prompt::prompt_blocks;
pub use rate::{BURST_SECONDS, RateLimiter};
pub use slots::{HOLDER_GRACE, ReplicaSlots, SlotTable};
pub use ticket::{Grant, GrantId, RunningGrant, Ticket, TicketRefusal};
pub use waiting::{AGEING_SHARE, NEW_ARRIVAL, QueueCounts, QueueLimits, WaitingQueue};
