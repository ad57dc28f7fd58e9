//! Which instances may serve a request that resumes a stream.
//!
//! Invariant: a stream goes on only at an instance of the service and the software version that
//! began it. A request is refused if this router can't determine them.

use crate::Shared;
use crate::flight::millis;
use crate::handle::AdmittedRequest;
use crate::interface::{RequestMetadata, Resumption};
use crate::quota_tracker::LEADER_ANSWER_TIMEOUT;
use crate::records::RequestRecord;
use crate::refusal::Refusal;
use crate::resumption_step::{
    LeaderAnswer, Persistence, ResumptionFacts, ResumptionStep, Source, after_answer, first_step,
};
use crate::software_versions::RequiredWriter;
use courseshunt_records::emit;
use courseshunt_services::{RequestKind, Route, StreamId};
use courseshunt_types::SoftwareVersion;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time for which a request waits until the leader knows the origin of its stream.
const MAX_ORIGIN_WAIT: Duration = Duration::from_millis(400);
/// Pause before the leader is asked again: the report of the router that relayed the stream may be
/// on its way.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Determines which instances may serve a request; `None` for a new request. `service` is the one
/// to which the request is sent if it is new.
///
/// # Errors
/// If the request resumes a stream and its writer can't be determined, or if the route does not send
/// to the service of the writer.
pub(crate) async fn resolve(
    shared: &Shared,
    metadata: &RequestMetadata,
    route: &Route,
    service: &str,
    deadline: Instant,
) -> Result<Option<RequiredWriter>, Refusal> {
    let resumption = metadata.resumption.as_ref();
    let Some(resumption) = resumption.filter(|_| route.kind == RequestKind::Streaming) else {
        return Ok(None);
    };
    let found = find_writer(shared, resumption, service, deadline).await;
    let (outcome, decision) = match &found {
        None => ("unknown", Err(Refusal::UnknownOrigin)),
        Some((_, writer)) if !sends_to(route, &writer.service) => {
            ("writer_gone", Err(Refusal::WriterGone))
        }
        Some((source, writer)) => (source.name(), Ok(Some(writer.clone()))),
    };
    let writer = found.as_ref().map(|(_, writer)| writer);
    record(shared, metadata, resumption, outcome, writer);
    decision
}

/// Whether a route sends requests to a service.
fn sends_to(route: &Route, service: &str) -> bool {
    let mut targets = route.targets.iter().filter(|target| target.weight > 0.0);
    targets.any(|target| target.service == service)
}

async fn find_writer(
    shared: &Shared,
    resumption: &Resumption,
    service: &str,
    deadline: Instant,
) -> Option<(Source, RequiredWriter)> {
    let began_by = resumption.began_by.as_deref();
    let stream = began_by.map(StreamId::of_request);
    let own = stream.and_then(|stream| own_origin(shared, stream));
    let has_one_version = |own: &RequiredWriter| shared.view.has_one_version(&own.service);
    let facts = ResumptionFacts {
        service,
        is_feed_recent: shared.has_recent_leader(),
        is_origin_ambiguous: shared.view.is_origin_ambiguous(service),
        stream,
        own_service_has_one_version: own.as_ref().is_some_and(has_one_version),
        own,
    };
    match first_step(facts) {
        ResumptionStep::Continue(source, writer) => Some((source, writer)),
        ResumptionStep::AskLeader {
            stream,
            own,
            persistence,
        } => {
            let answer = ask_leader(shared, stream, persistence, deadline).await;
            after_answer(own, answer)
        }
        ResumptionStep::Refuse => None,
    }
}

/// The origin of a stream that this router relayed, if exactly one stream began under its id.
fn own_origin(shared: &Shared, stream: StreamId) -> Option<RequiredWriter> {
    let origin = shared.origins.lookup(stream, shared.clock.now())?;
    origin.is_certain().then(|| RequiredWriter {
        version: shared.view.software_version(&origin.instance),
        service: origin.service,
        began_at: Some(origin.instance),
    })
}

/// Asks the leader for the writer of a stream, and again if it does not answer; with
/// [`Persistence::UntilKnown`] also if it does not know the stream.
async fn ask_leader(
    shared: &Shared,
    stream: StreamId,
    persistence: Persistence,
    deadline: Instant,
) -> LeaderAnswer {
    let limit = deadline.min(Instant::now() + MAX_ORIGIN_WAIT);
    loop {
        if !shared.has_recent_leader() {
            return LeaderAnswer::Unknown;
        }
        let Some(verdict) = shared.origins.submit(stream) else {
            return LeaderAnswer::Unknown;
        };
        let answered_by = limit.min(Instant::now() + LEADER_ANSWER_TIMEOUT);
        match tokio::time::timeout_at(answered_by, verdict).await {
            Ok(Ok(verdict)) => {
                let answer = LeaderAnswer::from(verdict);
                let is_unknown = answer == LeaderAnswer::Unknown;
                if !is_unknown || persistence == Persistence::FirstAnswer {
                    return answer;
                }
            }
            // The leader is lost.
            Ok(Err(_)) => return LeaderAnswer::Unknown,
            Err(_) => {}
        }
        let again_at = Instant::now() + REPEAT_PAUSE;
        if again_at >= limit {
            return LeaderAnswer::Unknown;
        }
        tokio::time::sleep_until(again_at).await;
    }
}

/// Records that an admitted request can't be served, because no instance may continue its stream.
pub(crate) fn record_refusal(shared: &Shared, admitted: &AdmittedRequest, refusal: Refusal) {
    let outcome = match refusal {
        Refusal::WriterGone => "writer_gone",
        _ => "unknown",
    };
    if let Some(resumption) = &admitted.metadata.resumption {
        let writer = admitted.writer.as_ref();
        record(shared, &admitted.metadata, resumption, outcome, writer);
    }
}

fn record(
    shared: &Shared,
    metadata: &RequestMetadata,
    resumption: &Resumption,
    outcome: &'static str,
    writer: Option<&RequiredWriter>,
) {
    shared.metrics.resumption(outcome);
    let version = writer.and_then(|writer| writer.version.as_ref());
    let began_at = writer.and_then(|writer| writer.began_at.as_ref());
    emit(&RequestRecord::Resumption {
        id: &metadata.id,
        resumes: resumption.began_by.as_deref(),
        last_event_id: &resumption.last_event_id,
        outcome,
        service: writer.map(|writer| writer.service.as_str()),
        software_version: version.map(SoftwareVersion::as_str),
        began_at: began_at.map(|instance| instance.as_str()),
        feed_age_ms: millis(shared.view.feed_age()),
    });
}
