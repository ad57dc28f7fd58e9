//! Reads what instances report about themselves in their responses, whatever the status is.
//!
//! Invariant: every response is read here before any decision about it, so that no path of a
//! request can miss the pushback of an instance. A response to another request repeats an earlier
//! one: of it counts only what never changes back.

use crate::Shared;
use crate::interface::{AnsweredRequest, ResponseMetadata};
use crate::load_reports::observe_load;
use crate::records::RouterRecord;
use courseshunt_http::{RetryAfter, read_asked_rest};
use courseshunt_records::emit;
use courseshunt_services::{LimitChange, ReportedLimit, RequestRate};
use courseshunt_types::{Millis, RunnerId, Timestamp};
use hyper::header::{self, HeaderMap, HeaderName, RETRY_AFTER};
use hyper::http::response::Parts;
use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};
use std::time::SystemTime;

/// Maximum number of unknown header names that are recorded, each of them once. Further ones
/// are ignored, so that instances that invent names fill neither memory nor log.
const MAX_UNKNOWN_HEADERS: usize = 64;
/// Recorded in place of the header of an unreadable rate limit: its real name is defined by the
/// interface.
static NAMED_LIMIT: HeaderName = HeaderName::from_static("named-limit");
/// Headers of HTTP itself that responses carry.
const HTTP_HEADERS: [HeaderName; 16] = [
    header::ACCEPT_RANGES,
    header::AGE,
    header::CACHE_CONTROL,
    header::CONNECTION,
    header::CONTENT_ENCODING,
    header::CONTENT_LENGTH,
    header::CONTENT_TYPE,
    header::DATE,
    header::ETAG,
    header::LAST_MODIFIED,
    header::RETRY_AFTER,
    header::SERVER,
    header::TRANSFER_ENCODING,
    header::VARY,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("x-powered-by"),
];

/// Names of response headers with an unknown meaning that were recorded.
#[derive(Default)]
pub(crate) struct UnknownHeaders {
    recorded: Mutex<HashSet<HeaderName>>,
}

impl UnknownHeaders {
    /// Whether this name must be recorded: it is new, and the set is not full.
    fn insert_new(&self, name: &HeaderName) -> bool {
        let mut recorded = self.recorded.lock().unwrap_or_else(PoisonError::into_inner);
        recorded.len() < MAX_UNKNOWN_HEADERS && recorded.insert(name.clone())
    }
}

/// Origin of a response.
#[derive(Clone, Copy)]
pub(crate) struct ResponseOrigin<'a> {
    /// The instance that the request was sent to.
    pub(crate) instance: &'a RunnerId,
    /// Id of the request, for records.
    pub(crate) id: &'a str,
    /// When the request was sent.
    pub(crate) sent_at: Timestamp,
}

/// Records what a response reports about its instance; returns the backoff that it asks for.
pub(crate) fn observe_response(
    shared: &Shared,
    origin: ResponseOrigin<'_>,
    head: &Parts,
    metadata: &ResponseMetadata,
) -> Option<Millis> {
    let ResponseOrigin { instance, id, .. } = origin;
    let now = shared.clock.now();
    let status = head.status.as_u16();
    if metadata.leaving {
        shared.metrics.pushback("leaving");
        if shared.view.mark_leaving(instance, now) {
            shared.pool.remove(std::slice::from_ref(instance));
            emit(&RouterRecord::InstanceLeaves {
                instance: instance.as_str(),
                id,
                status,
            });
        }
    }
    let repeats_earlier = metadata.answered == AnsweredRequest::Another;
    let backoff = match repeats_earlier {
        true => None,
        false => observe_backoff(shared, origin, head),
    };
    if !repeats_earlier {
        observe_limit(shared, origin, status, metadata);
    }
    observe_load(shared, origin, status, metadata);
    record_unknown_headers(shared, origin, &head.headers);
    backoff
}

/// Starts the backoff that a response asks for, if any.
fn observe_backoff(shared: &Shared, origin: ResponseOrigin<'_>, head: &Parts) -> Option<Millis> {
    let backoff = match read_asked_rest(head.status, &head.headers, SystemTime::now()) {
        RetryAfter::Absent => return None,
        RetryAfter::Unreadable => {
            record_unknown_header(shared, origin, &RETRY_AFTER);
            return None;
        }
        RetryAfter::After(backoff) => backoff,
    };
    shared.metrics.pushback("rest");
    let now = shared.clock.now();
    shared.view.start_backoff(origin.instance, backoff, now);
    emit(&RouterRecord::InstanceRests {
        instance: origin.instance.as_str(),
        id: origin.id,
        status: head.status.as_u16(),
        rest_ms: backoff.0,
    });
    Some(backoff)
}

/// Records the rate limit in a response. The absence of a limit counts only in a response of
/// the instance itself to this request.
fn observe_limit(
    shared: &Shared,
    origin: ResponseOrigin<'_>,
    status: u16,
    metadata: &ResponseMetadata,
) {
    let ResponseOrigin {
        instance,
        id,
        sent_at,
    } = origin;
    let rate = match metadata.limit {
        ReportedLimit::Unreadable => return record_unknown_header(shared, origin, &NAMED_LIMIT),
        ReportedLimit::None if !metadata.genuine || metadata.misdirected || metadata.not_run => {
            return;
        }
        ReportedLimit::None => None,
        ReportedLimit::Rate(rate) => Some(rate),
    };
    let change = match shared.view.observe_limit(instance, rate, sent_at) {
        LimitChange::None => return,
        LimitChange::Reported(rate) => Some(rate),
        LimitChange::Removed => None,
    };
    shared.limits.report_due.notify_one();
    shared.metrics.pushback(if change.is_some() {
        "limit"
    } else {
        "limit_lifted"
    });
    emit(&RouterRecord::InstanceLimits {
        instance: instance.as_str(),
        id,
        status,
        limit_per_1000_s: change.map(|RequestRate(rate)| rate),
    });
}

fn record_unknown_headers(shared: &Shared, origin: ResponseOrigin<'_>, headers: &HeaderMap) {
    for name in headers.keys() {
        if !HTTP_HEADERS.contains(name) && !shared.interface.is_known_response_header(name) {
            record_unknown_header(shared, origin, name);
        }
    }
}

fn record_unknown_header(shared: &Shared, origin: ResponseOrigin<'_>, name: &HeaderName) {
    if shared.unknown_headers.insert_new(name) {
        emit(&RouterRecord::UnknownWord {
            instance: origin.instance.as_str(),
            id: origin.id,
            header: name.as_str(),
        });
    }
}
