//! How the end of a response's body is marked.
//!
//! Source: RFC 9112, section 6.3.

use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Method, StatusCode};

/// Whether a response with this status to a request with this method has a body.
pub(crate) fn has_body(method: &Method, status: StatusCode) -> bool {
    let has_none = status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    method != Method::HEAD && !has_none
}

/// Whether the head of a response that has no body announces one. Such bytes may follow all the same,
/// so that another response can't be told from them.
#[must_use]
pub fn announces_missing_body(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    if has_body(method, status) {
        return false;
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    lengths.any(|length| length != "0") || headers.contains_key(TRANSFER_ENCODING)
}

/// How the receiver of a response finds the end of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By a length, or there is no body.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of the connection: whether the body is complete is not stated.
    ConnectionClose,
}

impl BodyFraming {
    /// Reads the framing of a response to a request with this method.
    #[must_use]
    pub fn of_response(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        if !has_body(method, status) {
            return Self::Length;
        }
        // A body whose last coding is not chunked ends with the connection, also with a length.
        let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        if let Some(codings) = codings {
            let last = codings
                .to_str()
                .ok()
                .and_then(|text| text.rsplit(',').next());
            let is_chunked = last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"));
            return match is_chunked {
                true => Self::Chunked,
                false => Self::ConnectionClose,
            };
        }
        match headers.contains_key(CONTENT_LENGTH) {
            true => Self::Length,
            false => Self::ConnectionClose,
        }
    }

    /// The framing with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        let all = [Self::Length, Self::Chunked, Self::ConnectionClose];
        all.into_iter().find(|framing| framing.name() == name)
    }

    /// Name in records and between processes.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::ConnectionClose => "connection_close",
        }
    }
}
