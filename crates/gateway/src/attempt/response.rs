//! Handles an instance's response: whether the request ran, and what the client receives.
//!
//! Invariant: the client's response states no more of the end of the body than is known.

use super::{AttemptOutcome, MAX_BUFFERED_RESPONSE_BYTES, reuse_connection};
use crate::Shared;
use crate::flight::Flight;
use crate::forwarded_headers::strip_hop_headers;
use crate::forwarding::headers::{take_framing, take_id_checked};
use crate::handle::AdmittedRequest;
use crate::instance_reports::{ResponseOrigin, observe_response};
use crate::interface::{AnsweredRequest, ResponseMetadata};
use crate::pool::{Endpoint, Upstream};
use crate::received_body::ReceivedBody;
use crate::records::RequestRecord;
use crate::relay::{RelayBody, RelayedResponse};
use courseshunt_http::{
    BodyFraming, BodyLimits, BodyProblem, BodyReader, BodySource, PartlyRead, full_body,
};
use courseshunt_instance_load::ReportedLoad;
use courseshunt_records::emit;
use courseshunt_services::RequestKind;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::{Response, Version};
use std::sync::Arc;
use tokio::time::Instant;

/// Why a response that is neither a rejection nor genuine can't be relayed.
fn unusable_because(metadata: &ResponseMetadata) -> &'static str {
    match metadata.answered {
        AnsweredRequest::Another => "the response carries the id of another request",
        AnsweredRequest::Unknown => "the response carries no id",
        AnsweredRequest::This if metadata.promises_not_run => {
            "the status promises that the request has not run, and the instance does not state it"
        }
        AnsweredRequest::This => "the response is not signed",
    }
}

/// An attempt whose instance has begun to respond.
pub(super) struct Exchange<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) admitted: &'a AdmittedRequest,
    pub(super) flight: Flight,
    pub(super) upstream: Upstream,
    /// Whether an earlier attempt went to the same instance.
    pub(super) is_return: bool,
    /// The response must be complete by then.
    pub(super) deadline: Instant,
}

impl Exchange<'_> {
    /// Handles the instance's response.
    pub(super) async fn handle(mut self, response: Response<Incoming>) -> AttemptOutcome {
        let (mut head, body) = response.into_parts();
        let shared = self.shared;
        let id = &self.admitted.metadata.id;
        let is_id_checked = self.is_id_checked(&mut head);
        let framing = self.read_framing(&mut head);
        // What the client does not receive proves nothing.
        strip_hop_headers(&mut head.headers);
        let metadata = shared
            .interface
            .read_response(id, head.status, &head.headers);
        self.flight.record_status(head.status.as_u16());
        let resumption = self.admitted.metadata.resumption.as_ref();
        let received = ReceivedBody::new(framing, &head.headers, resumption);
        self.flight.begin_body(received);
        let origin = ResponseOrigin {
            instance: self.flight.instance(),
            id: self.flight.id(),
            sent_at: self.flight.started_at(),
        };
        let backoff = observe_response(shared, origin, &head, &metadata);
        if metadata.misdirected {
            let now = shared.clock.now();
            let shape = &self.admitted.metadata.shape;
            shared.view.mark_lacking(self.flight.instance(), shape, now);
        }
        if (metadata.not_run || metadata.misdirected) && self.is_return && !is_id_checked {
            let problem = "rejected over a connection that may have carried the request before";
            self.flight.failed(problem);
            return AttemptOutcome::MayHaveRun;
        }
        if metadata.not_run || metadata.misdirected {
            self.flight.not_run(Some(head.status.as_u16()), backoff);
            reuse_connection(shared, self.upstream, body).await;
            return AttemptOutcome::NotRun;
        }
        if !metadata.genuine || metadata.promises_not_run {
            self.flight.failed(unusable_because(&metadata));
            return match metadata.answered {
                AnsweredRequest::Another if !is_id_checked => AttemptOutcome::MayStillRun,
                _ => AttemptOutcome::MayHaveRun,
            };
        }
        if head.status.is_server_error() {
            self.flight.suspect_instance();
        }
        head.headers.remove(CONTENT_LENGTH);
        head.version = Version::HTTP_11;
        head.extensions.insert(framing);
        let is_stream =
            self.admitted.route.kind == RequestKind::Streaming && head.status.is_success();
        match is_stream {
            true => self.relay(head, body, &metadata),
            false => self.collect(head, body).await,
        }
    }

    /// Whether the response's id shows that it is the one to this attempt: the connection to the
    /// instance had not carried the id before. A forwarder of an earlier build does not state it.
    fn is_id_checked(&self, head: &mut Parts) -> bool {
        match self.upstream.endpoint {
            Endpoint::Instance(_) => true,
            Endpoint::Forwarder(_) => take_id_checked(&mut head.headers),
        }
    }

    /// How the instance framed the response, and what this means for the connection.
    fn read_framing(&mut self, head: &mut Parts) -> BodyFraming {
        if let Endpoint::Forwarder(_) = self.upstream.endpoint {
            return take_framing(&mut head.headers);
        }
        let method = &self.admitted.head.method;
        self.upstream.apply_keep_alive(&head.headers);
        self.upstream.read_framing(method, head)
    }

    /// Relays a stream as its parts arrive.
    fn relay(mut self, head: Parts, body: Incoming, metadata: &ResponseMetadata) -> AttemptOutcome {
        let pause_objective = self.admitted.route.event_gap_objective;
        if let (Some(objective), ReportedLoad::Load(_)) = (pause_objective, metadata.load) {
            self.flight.watch_pauses(objective);
        }
        if self.admitted.route.resumable {
            self.record_origin();
        }
        let shared = self.shared.clone();
        let body = RelayedResponse::unread(body);
        let body = RelayBody::new(body, self.deadline, self.flight, self.upstream, shared);
        AttemptOutcome::Answered(Response::from_parts(head, body.boxed_unsync()))
    }

    /// Relays a response for which the process has no memory left: what was read of it, and the rest
    /// as it arrives.
    fn relay_partly_read(self, head: Parts, reader: BodyReader<Incoming>) -> AttemptOutcome {
        let Some(PartlyRead { read, rest }) = reader.into_partly_read() else {
            return self.drop_without_memory(&BodyProblem::GivenUp);
        };
        self.record_without_memory("relayed");
        let read = read.into_iter().filter(|piece| !piece.is_empty());
        let received = RelayedResponse {
            read: read.collect(),
            rest,
        };
        let shared = self.shared.clone();
        let body = RelayBody::new(received, self.deadline, self.flight, self.upstream, shared);
        AttemptOutcome::Answered(Response::from_parts(head, body.boxed_unsync()))
    }

    /// Drops a response that has no memory, or whose memory was given to another body.
    fn drop_without_memory(mut self, problem: &BodyProblem) -> AttemptOutcome {
        self.record_without_memory("dropped");
        self.flight.failed(&problem.to_string());
        AttemptOutcome::MayHaveRun
    }

    fn record_without_memory(&self, outcome: &'static str) {
        self.shared.metrics.response_without_memory(outcome);
        emit(&RequestRecord::ResponseWithoutMemory {
            id: &self.admitted.metadata.id,
            instance: self.flight.instance().as_str(),
            outcome,
        });
    }

    /// Records which instance begins the stream that this request brings, before its client can
    /// resume it.
    fn record_origin(&self) {
        let service = &self.admitted.service.name;
        let now = self.shared.clock.now();
        let origins = &self.shared.origins;
        origins.record(
            &self.admitted.metadata.id,
            service,
            self.flight.instance(),
            now,
        );
    }

    /// Reads the whole body before any byte is relayed, so that another attempt may follow.
    async fn collect(mut self, head: Parts, body: Incoming) -> AttemptOutcome {
        let limits = BodyLimits {
            source: BodySource::Peer,
            max_bytes: MAX_BUFFERED_RESPONSE_BYTES,
            deadline: self.deadline,
            // A response may pause until its deadline.
            idle_timeout: self.deadline.saturating_duration_since(Instant::now()),
        };
        let mut reader = BodyReader::new(body, limits, &self.shared.memory);
        let body = match reader.read().await {
            Ok(body) => body,
            Err(BodyProblem::Late | BodyProblem::Stopped) => {
                self.flight.timed_out();
                return AttemptOutcome::TimedOut;
            }
            Err(BodyProblem::NoMemory) if !head.status.is_server_error() => {
                return self.relay_partly_read(head, reader);
            }
            Err(problem @ (BodyProblem::NoMemory | BodyProblem::GivenUp)) => {
                return self.drop_without_memory(&problem);
            }
            Err(problem @ (BodyProblem::TooLong { .. } | BodyProblem::Broken { .. })) => {
                self.flight.truncated(&problem.to_string());
                return AttemptOutcome::MayHaveRun;
            }
        };
        if let Err(cause) = self.flight.record_part(&body) {
            self.flight.out_of_order(&cause);
            return AttemptOutcome::MayHaveRun;
        }
        if self.flight.finish().is_err() {
            return AttemptOutcome::MayHaveRun;
        }
        self.shared.pool.put_back(self.upstream);
        AttemptOutcome::Answered(Response::from_parts(head, full_body(body)))
    }
}
