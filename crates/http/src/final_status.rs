//! Which responses answer a request: those with a final status.
//!
//! Invariant: each client of this product judges a response here before it reads anything of it, so
//! that no path takes another status for an answer.
//!
//! Source: RFC 9110, section 15: a status is 100 to 599, one of 1xx is interim, and another response
//! follows it. `101` is interim as well: no request of this product asks for an upgrade (section
//! 15.2.2), but the HTTP library takes it for the last response on its connection.

use hyper::{Response, StatusCode};
use std::ops::RangeInclusive;

/// The final statuses.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// A server responded with a status that is not final. The request may have run, and the connection
/// must not be used again: what the server takes it for is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{} is no final status", status.as_u16()))]
pub struct NoFinalStatus {
    /// The status that was received.
    pub status: StatusCode,
}

/// The response, if its status is final. Otherwise it is dropped with its body.
///
/// # Errors
/// If the status is not final.
pub fn require_final_status<B>(response: Response<B>) -> Result<Response<B>, NoFinalStatus> {
    let status = response.status();
    match FINAL_STATUSES.contains(&status.as_u16()) {
        true => Ok(response),
        false => Err(NoFinalStatus { status }),
    }
}
