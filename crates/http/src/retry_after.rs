//! How long a peer wants to be left alone, as its answer says.
//!
//! Source: RFC 9110, section 10.2.3, and seconds with fractions, which many servers send.

use courseshunt_types::Millis;
use hyper::StatusCode;
use hyper::header::{DATE, HeaderMap, HeaderValue, RETRY_AFTER};
use std::time::SystemTime;

/// The longest time that is followed. A peer that asks for more is asked again once in so
/// long: a mistaken year must not take it away for good.
const LONGEST: Millis = Millis::from_secs(3_600);

/// What an answer says of the time after which its sender may be asked again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RetryAfter {
    /// Nothing.
    #[default]
    Absent,
    /// Something that is no time: negative, endless, or other text.
    Unreadable,
    /// After so long, at most an hour.
    After(Millis),
}

/// How long the sender of an answer wants to be left alone, if the answer turns a request
/// away.
#[must_use]
pub fn read_asked_rest(status: StatusCode, headers: &HeaderMap, now: SystemTime) -> RetryAfter {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            read_retry_after(headers, now)
        }
        _ => RetryAfter::Absent,
    }
}

/// Reads the header of an answer that came at `now`. Of several, the longest counts.
#[must_use]
pub fn read_retry_after(headers: &HeaderMap, now: SystemTime) -> RetryAfter {
    let values = headers.get_all(RETRY_AFTER).iter();
    // A date is meant by the sender's clock, which may be another one than ours.
    let sent_at = headers.get(DATE).and_then(date).unwrap_or(now);
    let mut read = RetryAfter::Absent;
    for value in values {
        let length = seconds(value).or_else(|| until(value, sent_at));
        read = match (length, read) {
            (Some(length), RetryAfter::After(other)) => RetryAfter::After(length.max(other)),
            (Some(length), _) => RetryAfter::After(length),
            (None, RetryAfter::After(other)) => RetryAfter::After(other),
            (None, _) => RetryAfter::Unreadable,
        };
    }
    read
}

fn seconds(value: &HeaderValue) -> Option<Millis> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    let is_time = seconds.is_finite() && seconds >= 0.0;
    is_time.then(|| Millis((seconds * 1000.0).ceil() as u64).min(LONGEST))
}

fn until(value: &HeaderValue, sent_at: SystemTime) -> Option<Millis> {
    let end = date(value)?;
    let length = end.duration_since(sent_at).unwrap_or_default();
    let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    Some(Millis(length).min(LONGEST))
}

fn date(value: &HeaderValue) -> Option<SystemTime> {
    httpdate::parse_http_date(value.to_str().ok()?).ok()
}
