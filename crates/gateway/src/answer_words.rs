//! What instances say of themselves in their answers, whatever the answer is.
//!
//! Invariant: every answer is heard before anything is decided about it, so that no path of
//! a request can miss what an instance asks for.

use crate::Shared;
use crate::interface::ResponseMetadata;
use crate::records::RouterRecord;
use courseshunt_http::{RetryAfter, read_asked_rest};
use courseshunt_records::emit;
use courseshunt_services::{LimitNews, NamedLimit, RequestRate};
use courseshunt_types::{Millis, RunnerId, Timestamp};
use hyper::header::{self, HeaderMap, HeaderName, RETRY_AFTER};
use hyper::http::response::Parts;
use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};
use std::time::SystemTime;

/// Names of unknown headers that are remembered, to tell of each once; later ones are not
/// told of, so that instances that make names up fill neither memory nor log.
const MAX_UNKNOWN: usize = 64;
/// Stands for the name of a limit that is no rate: what it is called is the interface's.
static NAMED_LIMIT: HeaderName = HeaderName::from_static("named-limit");
/// Headers of HTTP itself that answers carry.
const OF_HTTP: [HeaderName; 16] = [
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

/// Headers of answers whose meaning is not known here.
#[derive(Default)]
pub(crate) struct UnknownWords {
    told: Mutex<HashSet<HeaderName>>,
}

impl UnknownWords {
    /// Whether this name is to be told of: it is new, and there is room for it.
    fn is_news(&self, name: &HeaderName) -> bool {
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        told.len() < MAX_UNKNOWN && told.insert(name.clone())
    }
}

/// Whose answer it is.
#[derive(Clone, Copy)]
pub(crate) struct Answering<'a> {
    /// The instance that was asked.
    pub(crate) instance: &'a RunnerId,
    /// Identity of the request, for records.
    pub(crate) id: &'a str,
    /// When it was asked.
    pub(crate) asked_at: Timestamp,
}

/// Takes note of what an answer says of its instance; returns the rest that it asks for.
pub(crate) fn hear(
    shared: &Shared,
    answering: Answering<'_>,
    head: &Parts,
    facts: &ResponseMetadata,
) -> Option<Millis> {
    let Answering { instance, id, .. } = answering;
    let now = shared.clock.now();
    let status = head.status.as_u16();
    if facts.leaving {
        shared.metrics.pushback("leaving");
        if shared.view.leaves(instance, now) {
            shared.pool.forget(std::slice::from_ref(instance));
            emit(&RouterRecord::InstanceLeaves {
                instance: instance.as_str(),
                id,
                status,
            });
        }
    }
    let rest = match read_asked_rest(head.status, &head.headers, SystemTime::now()) {
        RetryAfter::Absent => None,
        RetryAfter::Unreadable => {
            tell_unknown(shared, answering, &RETRY_AFTER);
            None
        }
        RetryAfter::After(rest) => Some(rest),
    };
    if let Some(rest) = rest {
        shared.metrics.pushback("rest");
        shared.view.asked_rest(instance, rest, now);
        emit(&RouterRecord::InstanceRests {
            instance: instance.as_str(),
            id,
            status,
            rest_ms: rest.0,
        });
    }
    hear_limit(shared, answering, status, facts);
    tell_unknown_headers(shared, answering, &head.headers);
    rest
}

/// Takes note of the limit that an answer names. Only an answer of the instance itself, to
/// this request, tells by its silence that there is none.
fn hear_limit(shared: &Shared, answering: Answering<'_>, status: u16, facts: &ResponseMetadata) {
    let Answering {
        instance,
        id,
        asked_at,
    } = answering;
    let rate = match facts.limit {
        NamedLimit::Unreadable => return tell_unknown(shared, answering, &NAMED_LIMIT),
        NamedLimit::None if !facts.genuine || facts.misdirected || facts.not_run => return,
        NamedLimit::None => None,
        NamedLimit::Rate(rate) => Some(rate),
    };
    let news = match shared.view.heard_limit(instance, rate, asked_at) {
        LimitNews::None => return,
        LimitNews::Named(rate) => Some(rate),
        LimitNews::Lifted => None,
    };
    shared.limits.has_news.notify_one();
    shared.metrics.pushback(if news.is_some() {
        "limit"
    } else {
        "limit_lifted"
    });
    emit(&RouterRecord::InstanceLimits {
        instance: instance.as_str(),
        id,
        status,
        limit_per_1000_s: news.map(|RequestRate(rate)| rate),
    });
}

fn tell_unknown_headers(shared: &Shared, answering: Answering<'_>, headers: &HeaderMap) {
    for name in headers.keys() {
        if !OF_HTTP.contains(name) && !shared.interface.is_known_response_header(name) {
            tell_unknown(shared, answering, name);
        }
    }
}

fn tell_unknown(shared: &Shared, answering: Answering<'_>, name: &HeaderName) {
    if shared.unknown_words.is_news(name) {
        emit(&RouterRecord::UnknownWord {
            instance: answering.instance.as_str(),
            id: answering.id,
            header: name.as_str(),
        });
    }
}
