//! Limits that instances name in their answers: the requests a second that one takes from
//! all routers together, for as long as it says so.

pub mod local;

/// Requests in a thousand seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// A rate in requests a second; none for what is no rate: negative, endless, no number.
    #[must_use]
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then(|| Self((rate * 1_000.0) as u64))
    }
}
