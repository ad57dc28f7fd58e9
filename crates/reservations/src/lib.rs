//! Reservations of units under a quota, for requests that were refused and whose clients return.
//!
//! Invariant: the units of all reservations and of all admitted requests together never exceed
//! the units that the quota provides; each reservation is taken at most once and ends by itself.
//!
//! The owner of an account provides a [`Forecast`] of the units that the quota provides and calls
//! [`Reservations`]: [`Reservations::take`] for a request that may have a reservation,
//! [`Reservations::withheld`] for the units that other requests must leave, and
//! [`Reservations::reserve`] for a request that does not fit now.

mod demand;
mod forecast;
mod limits;
mod placement;
mod request;
mod schedule;
mod table;

pub use demand::RefusedDemand;
pub use forecast::{Expiry, Forecast, Withheld};
pub use limits::{
    EARLY_TOLERANCE, GRACE, HORIZON, MAX_RESERVATIONS, MAX_TAKEN_DEBT_FRACTION, NEAR_TIME,
    RESERVABLE_FRACTION, RESERVABLE_NEAR_FRACTION,
};
pub use request::{Request, RequestRefusal, Reservation};
pub use table::Reservations;
