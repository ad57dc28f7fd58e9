//! The forwarder's side: serves requests of routers that have lost their paths to instances.
//!
//! Invariant: a request is sent at most once, to the named instance, and only by a connection of
//! this router's own.

use super::headers::{
    ForwardInstruction, ForwardOutcome, mark_id_checked, take_check, write_framing,
};
use crate::Shared;
use crate::forwarded_headers::strip_hop_headers;
use crate::interface::{AnsweredRequest, ForwardContext};
use crate::path;
use crate::pool::{ConnectionRecord, Endpoint, SendError, Upstream};
use crate::records::RouterRecord;
use bytes::Bytes;
use courseshunt_http::{
    Body, BodyFraming, BodyLimits, BodyProblem, BodyReader, BodySource, SendTracker, TrackedStream,
    full_body,
};
use courseshunt_records::emit;
use courseshunt_services::{InstanceState, InstanceView};
use courseshunt_types::{Millis, RouterId};
use courseshunt_wire::{AuthenticatedStream, PROTOCOL_VERSION, PeerIdentity, accept_stream};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// Maximum number of connections of other routers.
const MAX_CONNECTIONS: usize = 512;
/// Maximum number of forwarded requests in flight.
const MAX_IN_FLIGHT: usize = 256;
/// Idle time after which a connection of another router is closed, and longest pause in a body.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after an accept error, such as too many open files.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections of other routers until the task is cancelled.
pub(crate) async fn accept_routers(listener: TcpListener, shared: Arc<Shared>) {
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, address)) => {
                let server = Server {
                    shared: shared.clone(),
                    in_flight: in_flight.clone(),
                };
                tokio::spawn(async move {
                    server.serve_connection(stream, address).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("router: accept of a router's connection failed: {error}");
                tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
}

/// Serves the connections of other routers.
#[derive(Clone)]
struct Server {
    shared: Arc<Shared>,
    in_flight: Arc<Semaphore>,
}

/// Why a forwarded request was not answered by the instance.
struct Failure {
    outcome: ForwardOutcome,
    problem: String,
}

impl Failure {
    fn new(outcome: ForwardOutcome, problem: impl Into<String>) -> Self {
        let problem = problem.into();
        Self { outcome, problem }
    }

    fn response(&self) -> Response<Body> {
        let mut response = Response::new(full_body(self.outcome.name()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        self.outcome.write(response.headers_mut());
        response
    }
}

/// The failure of a request that a stopping router does not send on.
fn stopping() -> Failure {
    Failure::new(ForwardOutcome::Busy, "stopping")
}

impl Server {
    async fn serve_connection(self, stream: TcpStream, address: SocketAddr) {
        let Some((stream, router)) = self.authenticate(stream, address).await else {
            return;
        };
        let limits = self.shared.client_limits();
        let tracker = SendTracker::default();
        let stream = TrackedStream::new(stream, tracker.clone());
        let serving = self.clone();
        let service = service_fn(move |request| {
            let server = serving.clone();
            let router = router.clone();
            let tracker = tracker.clone();
            async move {
                let token = server.shared.requests.token();
                let response = server.answer(request, &router).await;
                Ok::<_, Infallible>(tracker.hold_until_written(response, token))
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .auto_date_header(false)
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(limits.max_header_bytes * 2 + crate::serve::MIN_READ_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let ended = tokio::select! {
            // A request that has arrived by then is read before the connection is closed.
            biased;
            ended = connection.as_mut() => ended,
            () = self.shared.idle_close_due() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!("router: connection of a router at {address} ended: {error}");
        }
    }

    /// Accepts only routers of the same protocol version that hold the cluster key.
    async fn authenticate(
        &self,
        stream: TcpStream,
        address: SocketAddr,
    ) -> Option<(TcpStream, RouterId)> {
        let shared = &self.shared;
        let identity = shared.wire_identity();
        let problem = match accept_stream(stream, address, &shared.key, &identity).await {
            Ok(AuthenticatedStream {
                peer: PeerIdentity::Router(router, _),
                version: PROTOCOL_VERSION,
                stream,
            }) => return Some((stream, router)),
            Ok(other) => format!("{} speaks protocol {}", other.peer, other.version),
            Err(error) => error.to_string(),
        };
        shared.metrics.forwarded("foreign");
        emit(&RouterRecord::ForwardingRejected {
            peer: &address.to_string(),
            problem: &problem,
        });
        None
    }

    /// Answers a forwarded request and records what became of it.
    async fn answer(&self, request: Request<Incoming>, router: &RouterId) -> Response<Body> {
        let shared = &self.shared;
        let arrived = Instant::now();
        let (mut head, body) = request.into_parts();
        let is_check = take_check(&mut head.headers);
        let instruction = ForwardInstruction::take(&mut head.headers);
        let id = shared.interface.read_request(&head.headers).id;
        let instance = instruction.as_ref().ok().map(|one| one.instance.clone());
        let forwarded = match instruction {
            Ok(instruction) if is_check => self.check(&instruction).await,
            Ok(instruction) => {
                let request = Request::from_parts(head, body);
                self.forward(&id, request, instruction, arrived).await
            }
            Err(error) => {
                let problem = error.to_string();
                Err(Failure::new(ForwardOutcome::Rejected, problem))
            }
        };
        let extensions = forwarded.as_ref().ok().map(Response::extensions);
        let framing = extensions.and_then(|extensions| extensions.get::<BodyFraming>());
        let connection = extensions.and_then(|extensions| extensions.get::<ConnectionRecord>());
        let answered = extensions.and_then(|extensions| extensions.get::<AnsweredRequest>());
        let outcome = match &forwarded {
            Ok(_) if is_check => "reached",
            Ok(_) if answered == Some(&AnsweredRequest::Another) => "answer_to_another",
            Ok(_) => "answered",
            Err(failure) => failure.outcome.name(),
        };
        shared.metrics.forwarded(outcome);
        emit(&RouterRecord::Forwarded {
            id: &id,
            router: router.as_str(),
            instance: instance.as_ref().map(|instance| instance.as_str()),
            framing: framing.map(|framing| framing.name()),
            connection: connection.copied(),
            outcome,
            problem: forwarded.as_ref().err().map(|one| one.problem.as_str()),
            after_ms: crate::flight::millis(arrived.elapsed()),
        });
        let mut response = forwarded.unwrap_or_else(|failure| failure.response());
        if shared.stopping.is_cancelled() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    /// Answers whether this router reaches the instance.
    async fn check(&self, instruction: &ForwardInstruction) -> Result<Response<Body>, Failure> {
        let view = self.accepting_instance(instruction)?;
        let upstream = self.connect(&view).await?;
        self.shared.pool.put_back(upstream);
        let mut response = Response::new(full_body(""));
        *response.status_mut() = StatusCode::NO_CONTENT;
        Ok(response)
    }

    async fn forward(
        &self,
        id: &str,
        request: Request<Incoming>,
        instruction: ForwardInstruction,
        arrived: Instant,
    ) -> Result<Response<Body>, Failure> {
        let shared = &self.shared;
        if shared.stopping.is_cancelled() {
            return Err(stopping());
        }
        let Ok(permit) = self.in_flight.clone().try_acquire_owned() else {
            return Err(Failure::new(ForwardOutcome::Busy, "too many in flight"));
        };
        // Refuses before the body is read; checked again afterwards.
        self.accepting_instance(&instruction)?;
        let deadline = arrived + Duration::from(instruction.time_left);
        let (head, body) = request.into_parts();
        let method = head.method.clone();
        let max_body = shared.view.table();
        let max_body = max_body.map_or(0, |table| table.configuration().limits.max_body_bytes);
        let limits = BodyLimits {
            source: BodySource::Peer,
            max_bytes: max_body,
            deadline,
            idle_timeout: IDLE_TIMEOUT,
        };
        let mut reader = BodyReader::new(body, limits, &shared.memory);
        let read = tokio::select! {
            read = reader.read() => read,
            () = shared.last_answers_due.cancelled() => return Err(stopping()),
        };
        let collected = read.map_err(|problem| {
            let outcome = match problem {
                BodyProblem::NoMemory | BodyProblem::GivenUp => ForwardOutcome::Busy,
                _ => ForwardOutcome::Rejected,
            };
            Failure::new(outcome, format!("read the body: {problem}"))
        })?;
        // The body may have arrived long after the head.
        let view = self.check_may_send(&instruction)?;
        let request = Request::from_parts(head, Full::new(collected));
        let sending = self.send(&view, &instruction, id, request, deadline);
        let (response, mut upstream) = tokio::select! {
            sent = sending => sent?,
            () = shared.last_answers_due.cancelled() => {
                return Err(Failure::new(ForwardOutcome::MayHaveRun, "stopping"));
            }
        };
        let (mut head, body) = response.into_parts();
        let framing = upstream.read_framing(&method, &head);
        let metadata = shared
            .interface
            .read_response(id, head.status, &head.headers);
        if metadata.answered != AnsweredRequest::This {
            upstream.close_after_response();
        }
        head.extensions.insert(metadata.answered);
        head.extensions.insert(framing);
        head.extensions.insert(upstream.record());
        // Between routers every response has chunks or a length, so that a broken one shows.
        head.version = Version::HTTP_11;
        strip_hop_headers(&mut head.headers);
        ForwardOutcome::remove(&mut head.headers);
        write_framing(&mut head.headers, framing);
        mark_id_checked(&mut head.headers);
        let relayed = ForwardedBody {
            incoming: body,
            upstream: Some(upstream),
            shared: shared.clone(),
            _permit: permit,
        };
        Ok(Response::from_parts(head, relayed.boxed_unsync()))
    }

    /// The instance, if this router does not stop and the instance accepts requests.
    fn check_may_send(&self, instruction: &ForwardInstruction) -> Result<InstanceView, Failure> {
        if self.shared.stopping.is_cancelled() {
            return Err(stopping());
        }
        self.accepting_instance(instruction)
    }

    /// The instance, if it accepts requests as far as this router knows.
    fn accepting_instance(
        &self,
        instruction: &ForwardInstruction,
    ) -> Result<InstanceView, Failure> {
        let shared = &self.shared;
        let view = shared.view.instance(&instruction.instance);
        let view = view.filter(|view| view.state == InstanceState::Ready);
        let now = shared.clock.now();
        let pushes_back = shared.view.active_pushback(&instruction.instance, now);
        let view = view.filter(|_| pushes_back.is_none());
        view.ok_or_else(|| Failure::new(ForwardOutcome::NotAccepting, "not ready here"))
    }

    async fn connect(&self, view: &InstanceView) -> Result<Upstream, Failure> {
        let connected = path::connect_as_forwarder(&self.shared, view).await;
        connected.map_err(|error| {
            let paths = self.shared.paths();
            let is_lost = paths.is_forwarded(&view.id) || paths.is_partitioned_from(&view.service);
            let outcome = match is_lost {
                true => ForwardOutcome::PathLost,
                false => ForwardOutcome::Unreachable,
            };
            Failure::new(outcome, error.to_string())
        })
    }

    /// Sends the request once. A connection that had been idle may be closed by the instance; it
    /// is replaced if the request was certainly not sent.
    async fn send(
        &self,
        view: &InstanceView,
        instruction: &ForwardInstruction,
        id: &str,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<(Response<Incoming>, Upstream), Failure> {
        let endpoint = Endpoint::Instance(view.id.clone());
        let mut upstream = match self.shared.pool.take(&endpoint, id) {
            Some(upstream) => upstream,
            None => self.connect(view).await?,
        };
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let left = Millis(crate::flight::millis(left));
            if left == Millis(0) {
                return Err(Failure::new(ForwardOutcome::Rejected, "deadline passed"));
            }
            // Either may have changed while the connection was opened.
            if let Err(failure) = self.check_may_send(instruction) {
                self.shared.pool.put_back(upstream);
                return Err(failure);
            }
            let context = ForwardContext {
                deadline: left,
                instance: &instruction.instance,
                priority: instruction.priority,
                tenant: instruction.tenant.as_deref(),
            };
            let headers = request.headers_mut();
            self.shared.interface.add_forward_headers(headers, &context);
            let is_fresh = upstream.fresh;
            request = match upstream.send(id, request).await {
                Ok(response) => return Ok((response, upstream)),
                Err(SendError::Unsent(unsent)) if !is_fresh => *unsent,
                Err(SendError::Unsent(_)) => {
                    return Err(Failure::new(ForwardOutcome::Unreachable, "closed"));
                }
                Err(SendError::Broken(problem)) => {
                    return Err(Failure::new(ForwardOutcome::MayHaveRun, problem));
                }
                Err(SendError::NotFinal(problem)) => {
                    let problem = problem.to_string();
                    return Err(Failure::new(ForwardOutcome::NotFinal, problem));
                }
            };
            upstream = self.connect(view).await?;
        }
    }
}

/// Relays an instance's response to the router that forwarded the request. If it is dropped before
/// the end, the connection to the instance is closed.
struct ForwardedBody {
    incoming: Incoming,
    upstream: Option<Upstream>,
    shared: Arc<Shared>,
    _permit: tokio::sync::OwnedSemaphorePermit,
}

impl ForwardedBody {
    fn finish(&mut self) {
        if let Some(upstream) = self.upstream.take() {
            self.shared.pool.put_back(upstream);
        }
    }
}

impl HttpBody for ForwardedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        let is_end = matches!(polled, Poll::Ready(None)) || self.incoming.is_end_stream();
        if is_end && !matches!(polled, Poll::Ready(Some(Err(_)))) {
            self.finish();
        }
        polled.map_err(std::io::Error::other)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
