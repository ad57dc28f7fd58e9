//! The units that a quota provides from now on.

use courseshunt_types::Millis;

/// Use that expires from the account's window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expiry {
    /// Time until the use expires.
    pub after: Millis,
    /// Units; negative if more was refunded than used.
    pub units: f64,
}

/// The units that an account provides if nothing else is admitted: those of its token bucket,
/// and those of its window.
#[derive(Debug, Clone, PartialEq)]
pub struct Forecast {
    /// Units in the token bucket; negative while it is in debt.
    pub level: f64,
    /// Units per second that are added to the token bucket.
    pub fill_rate: f64,
    /// Maximum level of the token bucket.
    pub capacity: f64,
    /// Units that are left in the present window.
    pub window_left: f64,
    /// Use that expires from the window, in the order of time.
    pub expiring: Vec<Expiry>,
}

/// Units that requests without a reservation must leave, so that all reservations can be met.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Withheld {
    /// Units of the token bucket.
    pub bucket: f64,
    /// Units of the window.
    pub window: f64,
}

/// Cumulative expiry over increasing times.
pub(crate) struct Expired<'a> {
    remaining: std::iter::Peekable<std::slice::Iter<'a, Expiry>>,
    units: f64,
}

impl Forecast {
    /// Starts to accumulate the expiring use.
    pub(crate) fn expired(&self) -> Expired<'_> {
        Expired {
            remaining: self.expiring.iter().peekable(),
            units: 0.0,
        }
    }
}

impl Expired<'_> {
    /// Units that have expired after this time, which must not decrease from call to call.
    pub(crate) fn until(&mut self, time: Millis) -> f64 {
        while let Some(expiry) = self.remaining.next_if(|expiry| expiry.after <= time) {
            self.units += expiry.units;
        }
        self.units
    }
}
