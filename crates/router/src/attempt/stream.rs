//! The events of one runner's stream, resumed at the last token after a break.
//!
//! Invariant: events come in order, each once, from the attempt's own runner;
//! the stream ends with its last event or with an error, never silently.

use super::counts::Count;
use super::events::{EventParser, EventVerdict, judge_event};
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

/// Breaks in a row, without an event between, after which a stream is given up.
const MAX_RESUMES: u32 = 3;
/// Pause before the first resume; each further one takes twice as long.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Longest time between two events.
const STALL: Duration = Duration::from_secs(15);

/// See the module.
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
    /// The events of an attempt's answer.
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

    /// Whether an event was passed on.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.next_position > 0
    }

    /// The next event; `None` after the last.
    ///
    /// # Errors
    /// How the attempt ended, when the stream can't go on.
    pub async fn next(&mut self) -> Result<Option<Bytes>, AttemptEnd> {
        if self.ended {
            return Ok(None);
        }
        loop {
            let Some(event) = self.parser.next_event() else {
                self.read().await?;
                continue;
            };
            if let Some(event) = self.judge(event).await? {
                return Ok(Some(event));
            }
        }
    }

    async fn judge(&mut self, event: Bytes) -> Result<Option<Bytes>, AttemptEnd> {
        let request = &self.open.query().request;
        let counts = self.open.context().counts.clone();
        match judge_event(&event, request, self.next_position) {
            EventVerdict::Next => {
                self.next_position += 1;
                self.resumes = 0;
                Ok(Some(event))
            }
            EventVerdict::Done => {
                self.ended = true;
                self.open.end(AttemptEvent::Finished);
                Ok(Some(event))
            }
            EventVerdict::Doubled => {
                counts.add(Count::Duplicate);
                Ok(None)
            }
            EventVerdict::Crossed => {
                counts.add(Count::Mismatched);
                Ok(None)
            }
            EventVerdict::Gap => {
                self.resume("events are missing").await?;
                Ok(None)
            }
        }
    }

    /// Reads more bytes, over a new connection if the present one has ended.
    async fn read(&mut self) -> Result<(), AttemptEnd> {
        let patience = match self.has_begun() {
            true => STALL,
            false => self.open.time_left(),
        };
        match tokio::time::timeout(patience, self.incoming.frame()).await {
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
            Ok(None) => self.resume("the stream ended early").await,
            Err(_) if !self.has_begun() => {
                let event = self.open.give_up().await;
                Err(self.open.end(event))
            }
            Err(_) => self.after_stall().await,
        }
    }

    /// Goes on over a new connection. A runner that says that the stream runs
    /// is only slow, however often.
    async fn after_stall(&mut self) -> Result<(), AttemptEnd> {
        let client = &self.open.context().client;
        if let Some(ExecutionPhase::Running) = execution_status(client, self.open.query()).await {
            self.resumes = 0;
        }
        self.resume("no event in time").await
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
                        "attempt: {} resumed at token {}: {problem}",
                        query.request,
                        self.next_position
                    );
                    context.counts.add(Count::Resumed);
                    self.incoming = response.into_body();
                    return Ok(());
                }
                Ok(None) => break,
                Ok(Some(_)) => {}
                Err(error) => log::info!("attempt: {}: {error}", query.request),
            }
        }
        log::warn!("attempt: {} is lost: {problem}", self.open.query().request);
        Err(self.open.end(AttemptEvent::Failed(UnknownCause::CutShort)))
    }
}
