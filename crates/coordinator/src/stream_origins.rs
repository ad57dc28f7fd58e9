//! Origins of streams at the leader: notes which instances began the streams that routers report,
//! and answers which kind of instance may continue a stream.
//!
//! Invariant: a verdict other than `Unknown` is given only while the leader is in contact with a
//! quorum. Routers report their streams to each new leader again.

use crate::Shared;
use crate::reports::has_quorum_contact;
use courseshunt_services::{FeedMessage, OriginAnswer, OriginQuery, OriginVerdict, StreamOrigin};
use courseshunt_types::Timestamp;

/// Notes the streams that began at a router, and answers its queries, if it sent any.
pub(crate) fn handle_report(
    began: Vec<StreamOrigin>,
    queries: &[OriginQuery],
    shared: &Shared,
) -> Option<FeedMessage> {
    let now = shared.clock.now();
    note_origins(began, now, shared);
    if queries.is_empty() {
        return None;
    }
    let answers = match has_quorum_contact(shared) {
        true => answer_queries(queries, now, shared),
        false => queries.iter().map(unknown).collect(),
    };
    for answer in &answers {
        shared.metrics.origin_verdict(&answer.verdict);
    }
    Some(FeedMessage::OriginAnswers(answers))
}

/// The service of an instance whose version is not known here counts as one of several versions.
fn note_origins(began: Vec<StreamOrigin>, now: Timestamp, shared: &Shared) {
    let mut versions = shared.software_versions();
    for origin in &began {
        versions.note_unknown_version(&origin.service, &origin.instance, now);
    }
    drop(versions);
    let mut origins = shared.origins();
    for origin in began {
        origins.note(origin, now);
    }
}

fn answer_queries(queries: &[OriginQuery], now: Timestamp, shared: &Shared) -> Vec<OriginAnswer> {
    let versions = shared.software_versions();
    let origins = shared.origins();
    let answers = queries.iter().map(|query| OriginAnswer {
        number: query.number,
        verdict: origins.decide(query.stream, &versions, now),
    });
    answers.collect()
}

fn unknown(query: &OriginQuery) -> OriginAnswer {
    OriginAnswer {
        number: query.number,
        verdict: OriginVerdict::Unknown,
    }
}
