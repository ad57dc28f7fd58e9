//! Bounds and half-lives of measured slowness, which routers and the leader share.

use courseshunt_types::Millis;

/// Bounds of one measured ratio: an outlier, such as a request that waited for a preemption, must
/// not decide the average.
const RATIO_BOUNDS: (f64, f64) = (0.2, 10.0);
/// Time in which the weight of a measurement halves. It is long enough for several measurements of
/// a rarely used instance; faster changes are in the reported duration of work.
pub(crate) const SLOWNESS_HALF_LIFE: Millis = Millis::from_secs(20);
/// Weight of the usual speed in an average without other prior, in measurements: a single
/// measurement is too uncertain to be taken as it is.
pub(crate) const USUAL_SPEED_WEIGHT: f64 = 1.0;

/// A ratio within the bounds; `None` if it is not a positive number.
pub(crate) fn bounded_ratio(ratio: f64) -> Option<f64> {
    let (least, largest) = RATIO_BOUNDS;
    (ratio.is_finite() && ratio > 0.0).then(|| ratio.clamp(least, largest))
}

/// Converts from thousandths.
pub(crate) fn from_permille(permille: u32) -> f64 {
    f64::from(permille) / 1_000.0
}

/// Converts to thousandths.
pub(crate) fn to_permille(ratio: f64) -> u32 {
    (ratio * 1_000.0).round() as u32
}
