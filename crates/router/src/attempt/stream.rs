//! Reads the events of a runner's stream and resumes it after a failure at the
//! next expected position.
//!
//! Invariant: events are returned in order, each once, and all from the runner of
//! the attempt. The stream ends with its last event or with an error.

use super::counts::Count;
use super::events::{EventClass, EventParser, classify_event};
use super::machine::AttemptEvent;
use super::outcome::{AttemptEnd, UnknownCause};
use super::query::{execution_status, fetch_execution};
use super::send::OpenAttempt;
use bytes::Bytes;
use courseshunt_types::runner_api::ExecutionPhase;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use std::time::Duration;

/// Number of consecutive resumes without a new event after which a stream fails.
const MAX_RESUMES: u32 = 3;
/// Pause before the first resume; doubles with each further one.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Maximum time between two reads after the first event.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Events of the stream of one attempt.
#[derive(Debug)]
pub struct EventStream {
    open: OpenAttempt,
    incoming: Incoming,
    parser: EventParser,
    next_position: u32,
    resumes: u32,
    ended: bool,
}

impl EventStream {
    /// Creates the event stream of an attempt's answer.
    #[must_use]
    pub fn new(open: OpenAttempt, response: Response<Incoming>) -> Self {
        Self {
            open,
            incoming: response.into_body(),
            parser: EventParser::default(),
            next_position: 0,
            resumes: 0,
            ended: false,
        }
    }

    /// Whether an event has been returned.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.next_position > 0
    }

    /// Returns the next event; `None` after the last one.
    ///
    /// # Errors
    /// How the attempt ended if the stream can't be continued.
    pub async fn next(&mut self) -> Result<Option<Bytes>, AttemptEnd> {
        if self.ended {
            return Ok(None);
        }
        loop {
            let Some(event) = self.parser.next_event() else {
                self.read().await?;
                continue;
            };
            if let Some(event) = self.accept_event(event).await? {
                return Ok(Some(event));
            }
        }
    }

    async fn accept_event(&mut self, event: Bytes) -> Result<Option<Bytes>, AttemptEnd> {
        let request = &self.open.query().request;
        let counts = self.open.context().counts.clone();
        match classify_event(&event, request, self.next_position) {
            EventClass::Next => {
                self.next_position += 1;
                self.resumes = 0;
                Ok(Some(event))
            }
            EventClass::Done => {
                self.ended = true;
                self.open.end(AttemptEvent::Finished);
                Ok(Some(event))
            }
            EventClass::Duplicate => {
                counts.add(Count::Duplicate);
                Ok(None)
            }
            EventClass::Mismatched => {
                counts.add(Count::Mismatched);
                Ok(None)
            }
            EventClass::Gap => {
                self.resume("events are missing").await?;
                Ok(None)
            }
        }
    }

    /// Reads more bytes; resumes over a new connection if the current one ended.
    async fn read(&mut self) -> Result<(), AttemptEnd> {
        let wait_limit = match self.has_begun() {
            true => STALL_TIMEOUT,
            false => self.open.time_left(),
        };
        match tokio::time::timeout(wait_limit, self.incoming.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.parser.push(data);
                }
                if self.parser.is_too_long() {
                    return Err(self.open.end(AttemptEvent::Failed(UnknownCause::TooLarge)));
                }
                Ok(())
            }
            Ok(Some(Err(error))) => self.resume(&error.to_string()).await,
            Ok(None) => self.resume("the stream ended before its last event").await,
            Err(_) if !self.has_begun() => {
                let event = self.open.cancel_after_deadline().await;
                Err(self.open.end(event))
            }
            Err(_) => self.after_stall().await,
        }
    }

    /// Resumes over a new connection. If the runner reports that the execution is
    /// running, it is only slow, and the number of resumes is not limited.
    async fn after_stall(&mut self) -> Result<(), AttemptEnd> {
        let client = &self.open.context().client;
        if let Some(ExecutionPhase::Running) = execution_status(client, self.open.query()).await {
            self.resumes = 0;
        }
        self.resume("no data within the stall timeout").await
    }

    async fn resume(&mut self, problem: &str) -> Result<(), AttemptEnd> {
        self.parser.clear();
        let context = self.open.context().clone();
        context.counts.add(Count::Truncated);
        while self.resumes < MAX_RESUMES {
            tokio::time::sleep(RESUME_PAUSE * 2_u32.pow(self.resumes)).await;
            self.resumes += 1;
            let query = self.open.query();
            let fetched = fetch_execution(&context.client, query, self.next_position).await;
            match fetched {
                Ok(Some(response)) if self.open.matches(&response) => {
                    log::info!(
                        "attempt: {} resumed at position {} after a failure: {problem}",
                        query.request,
                        self.next_position
                    );
                    context.counts.add(Count::Resumed);
                    self.incoming = response.into_body();
                    return Ok(());
                }
                Ok(None) => break,
                Ok(Some(_)) => {}
                Err(error) => log::info!("attempt: {}: resume failed: {error}", query.request),
            }
        }
        log::warn!(
            "attempt: {}: the stream could not be resumed: {problem}",
            self.open.query().request
        );
        Err(self.open.end(AttemptEvent::Failed(UnknownCause::Truncated)))
    }
}
