//! Limits of reservations.

use courseshunt_types::Millis;

/// Resolution of the schedule.
pub(crate) const SLOT: Millis = Millis(100);
/// Reservations start within this time. The longest deadlines are 60 s, and clients return after
/// at most a third of their time.
pub const HORIZON: Millis = Millis(30_000);
/// Number of slots of the schedule, including the current one.
pub(crate) const SLOTS: usize = (HORIZON.0 / SLOT.0) as usize + 1;

/// Time after its start at which a reservation that was not taken ends. It covers the transport
/// of the refusal and of the retry, including a new connection.
pub const GRACE: Millis = Millis(500);
/// A request that returns this much before the start of its reservation takes it: clients round
/// `Retry-After`, and their timers may fire early.
pub const EARLY_TOLERANCE: Millis = Millis(25);
/// Largest number of reservations of one account: several seconds of refused requests of a large
/// tenant.
pub const MAX_RESERVATIONS: usize = 8_192;

/// Starts within this time are near. Clients of requests that can't wait return within it and need
/// its units.
pub const NEAR_TIME: Millis = Millis(2_000);
/// Fraction of the fill rate and of the capacity of the account that may be reserved. The rest
/// serves requests that arrive at that time.
pub const RESERVABLE_FRACTION: f64 = 0.5;
/// The same for near starts while work that can't wait is refused: a burst of work that can wait
/// must not displace it.
pub const RESERVABLE_NEAR_FRACTION: f64 = 0.2;
/// Fraction of these limits that a request leaves free for each more urgent rank.
const LEFT_PER_RANK: f64 = 0.2;
/// Higher ranks are treated like this one.
const MAX_RANK: u8 = 3;

/// Largest debt after a reservation is taken, as a fraction of the account's capacity. At most this
/// fraction is reserved for one request, so a larger request goes into debt by the rest; clients
/// may also return some milliseconds early.
pub const MAX_TAKEN_DEBT_FRACTION: f64 = RESERVABLE_FRACTION;

/// Fraction of the objective at which a reservation should start at the latest. The rest is left
/// for the client's return, the wait for an instance and the response.
const START_WITHIN_OBJECTIVE: f64 = 0.75;

/// Fraction of the limits that is available to a request of this rank.
pub(crate) fn rank_factor(rank: u8) -> f64 {
    1.0 - LEFT_PER_RANK * f64::from(rank.min(MAX_RANK))
}

/// Latest time until the start at which the response is still expected within the objective.
pub(crate) fn latest_within(objective: Millis) -> Millis {
    Millis((objective.0 as f64 * START_WITHIN_OBJECTIVE) as u64)
}
