//! Looks at an instance that broke an answer off: whether its address takes connections, and
//! who answers there.
//!
//! Invariant: an instance counts as ended by a look only when its address refuses
//! connections, or when another instance answers there. A proxy or a successor takes
//! connections for one that is dead; one that answers nothing may be alive.

use crate::Shared;
use crate::answer_words::{Answering, hear};
use crate::interface::ProbeIdentity;
use crate::pool::{self, Upstream};
use bytes::Bytes;
use courseshunt_types::RunnerId;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use std::io;
use std::time::Duration;

/// Pauses before the looks at an instance that broke an answer off: a process that goes
/// down may close its connections shortly before its listener.
const LOOKS: [Duration; 3] = [
    Duration::from_millis(2),
    Duration::from_millis(40),
    Duration::from_millis(160),
];
/// Longest time for an answer to the question who is there: a health check may wait for a
/// place, and a link that was silent hands over what it held as soon as it is well.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);
/// Longest such answer that is read, in bytes.
const LONGEST_ANSWER: usize = 16 * 1024;

/// Stands for a request's identity in records of what health checks are answered.
const HEALTH_CHECK: &str = "health-check";

/// The sign that the leader says so.
pub(crate) const GONE: &str = "gone";

/// What a look at an instance shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Look {
    /// It answers there.
    Itself,
    /// Its address takes connections; who is there did not show.
    Unclear,
    /// No connection could be made in time.
    OutOfReach,
    /// Another instance answers there.
    Another,
    /// Its address refuses connections.
    Refused,
    /// The leader says that it is gone.
    Gone,
}

impl Look {
    /// The sign that it has ended, if it is one.
    pub(crate) fn sign(self) -> Option<&'static str> {
        match self {
            Self::Another => Some("another"),
            Self::Refused => Some("refused"),
            Self::Gone => Some(GONE),
            Self::Itself | Self::Unclear | Self::OutOfReach => None,
        }
    }

    /// Whether a later look may show more.
    pub(crate) fn may_change(self) -> bool {
        matches!(self, Self::Unclear | Self::OutOfReach)
    }
}

/// Looks at an instance right after it broke an answer off, until the looks show something.
pub(crate) async fn look_until_sure(shared: &Shared, instance: &RunnerId) -> Look {
    for pause in LOOKS {
        tokio::time::sleep(pause).await;
        let look = look_once(shared, instance, pause).await;
        if look != Look::Unclear {
            return look;
        }
    }
    Look::Unclear
}

/// Looks once. A connection counts when it stays open for `settling`: an instance that has
/// too many closes those beyond.
pub(crate) async fn look_once(shared: &Shared, instance: &RunnerId, settling: Duration) -> Look {
    let Some(place) = shared.view.place_of(instance) else {
        return Look::Gone;
    };
    shared.metrics.connection();
    let upstream = match pool::connect_to(&place.address).await {
        Ok(upstream) => upstream,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return Look::Refused,
        Err(_) => return Look::OutOfReach,
    };
    tokio::time::sleep(settling).await;
    if upstream.sender.is_closed() {
        return Look::Unclear;
    }
    // One that asked to be left alone is asked nothing either.
    let asked_for = shared.view.asked_for(instance, shared.clock.now());
    let path = place.health_path.filter(|_| asked_for.is_none());
    let Some(path) = path else {
        shared.pool.keep(instance, upstream);
        return Look::Unclear;
    };
    let asking = ask(shared, instance, &place.address, &path, upstream);
    let answered = tokio::time::timeout(ANSWER_LIMIT, asking).await;
    match answered.ok().flatten() {
        Some(ProbeIdentity::Expected) => Look::Itself,
        Some(ProbeIdentity::Other) => Look::Another,
        Some(ProbeIdentity::Unknown) | None => Look::Unclear,
    }
}

/// Asks over this connection who answers; none: nobody did.
async fn ask(
    shared: &Shared,
    instance: &RunnerId,
    address: &str,
    path: &str,
    mut upstream: Upstream,
) -> Option<ProbeIdentity> {
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() = path.parse().ok()?;
    *request.headers_mut() = shared.interface.probe_headers(instance);
    let host = HeaderValue::from_str(address).ok()?;
    request.headers_mut().insert(HOST, host);
    let asked_at = shared.clock.now();
    let response = upstream.sender.send_request(request).await.ok()?;
    let (head, body) = response.into_parts();
    let facts = shared
        .interface
        .read_response(HEALTH_CHECK, head.status, &head.headers);
    let answering = Answering {
        instance,
        id: HEALTH_CHECK,
        asked_at,
    };
    let presence = shared
        .interface
        .read_probe_identity(instance, head.status, &head.headers);
    if presence == ProbeIdentity::Expected {
        hear(shared, answering, &head, &facts);
    }
    let whole = Limited::new(body, LONGEST_ANSWER).collect().await;
    if whole.is_ok() && presence == ProbeIdentity::Expected {
        shared.pool.keep(instance, upstream);
    }
    Some(presence)
}
