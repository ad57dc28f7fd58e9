//! The decisions on a request that resumes a stream, before and after the leader is asked.
//!
//! Invariant: a stream goes on without a known writer only while this router can exclude that
//! another service or software version began it. The own log does not decide against a conflict that
//! the leader knows.

use crate::software_versions::RequiredWriter;
use courseshunt_services::{OriginVerdict, StreamId, StreamWriter};

/// How the instances that may continue a stream were found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// All instances of the service may continue the stream.
    Unrestricted,
    /// This router relayed the stream.
    OwnLog,
    /// The leader named the writer.
    Leader,
}

impl Source {
    /// Value in records and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Unrestricted => "unrestricted",
            Self::OwnLog => "own_log",
            Self::Leader => "leader",
        }
    }
}

/// What a router knows of a request that resumes a stream.
#[derive(Debug, Clone)]
pub struct ResumptionFacts<'a> {
    /// Service to which the request is sent if it is new.
    pub service: &'a str,
    /// Whether a message of a leader arrived recently.
    pub is_feed_recent: bool,
    /// Whether it matters for this service which instance began the stream.
    pub is_origin_ambiguous: bool,
    /// The stream; `None` if the client does not name it.
    pub stream: Option<StreamId>,
    /// The origin of the stream, if this router relayed it.
    pub own: Option<RequiredWriter>,
    /// Whether all instances of the service of `own` certainly run one version.
    pub own_service_has_one_version: bool,
}

/// What the leader knows of the writer of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderAnswer {
    /// Instances of this kind may continue the stream.
    Writer(StreamWriter),
    /// No instance may continue the stream: several that do not fit together began streams under its
    /// id.
    Conflict,
    /// Nothing, or it does not answer.
    Unknown,
}

impl From<OriginVerdict> for LeaderAnswer {
    fn from(verdict: OriginVerdict) -> Self {
        match verdict {
            verdict if verdict.is_conflict() => Self::Conflict,
            OriginVerdict::Known(writer) => Self::Writer(writer),
            OriginVerdict::Unknown => Self::Unknown,
        }
    }
}

/// How long to ask a leader that does not know a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Persistence {
    /// The first answer decides: this router knows the writer if the leader does not.
    FirstAnswer,
    /// Ask again for a moment: the report of another router may be on its way.
    UntilKnown,
}

/// What to do with the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResumptionStep {
    /// These instances may serve it.
    Continue(Source, RequiredWriter),
    /// Ask the leader for the origin; [`after_answer`] decides.
    AskLeader {
        /// The stream.
        stream: StreamId,
        /// Its origin, if this router relayed the stream.
        own: Option<RequiredWriter>,
        /// How long to ask.
        persistence: Persistence,
    },
    /// Refuse it.
    Refuse,
}

/// Decides on a request that resumes a stream by what this router knows.
#[must_use]
pub fn first_step(facts: ResumptionFacts<'_>) -> ResumptionStep {
    if facts.is_feed_recent && !facts.is_origin_ambiguous {
        let any = RequiredWriter::any_of(facts.service);
        return ResumptionStep::Continue(Source::Unrestricted, any);
    }
    let Some(stream) = facts.stream else {
        return ResumptionStep::Refuse;
    };
    let has_known_version = facts.own.as_ref().is_some_and(|own| own.version.is_some());
    let persistence = match has_known_version || facts.own_service_has_one_version {
        true => Persistence::FirstAnswer,
        false => Persistence::UntilKnown,
    };
    match facts.own {
        Some(own) if has_known_version && !facts.is_feed_recent => {
            ResumptionStep::Continue(Source::OwnLog, own)
        }
        own => ResumptionStep::AskLeader {
            stream,
            own,
            persistence,
        },
    }
}

/// Decides by the leader's answer. Without the version, only the instance that began the stream here
/// certainly fits. If the leader names another service or version than this router's log, two streams
/// began under one id, and none of them is continued.
#[must_use]
pub fn after_answer(
    own: Option<RequiredWriter>,
    answer: LeaderAnswer,
) -> Option<(Source, RequiredWriter)> {
    let named = match answer {
        LeaderAnswer::Writer(named) => named,
        LeaderAnswer::Conflict => return None,
        LeaderAnswer::Unknown => return own.map(|own| (Source::OwnLog, own)),
    };
    if own.as_ref().is_some_and(|own| contradicts(own, &named)) {
        return None;
    }
    let StreamWriter { service, version } = named;
    let writer = RequiredWriter {
        version: Some(version),
        ..own.unwrap_or_else(|| RequiredWriter::any_of(&service))
    };
    Some((Source::Leader, writer))
}

/// Whether the origin in this router's log is not of the kind that the leader names.
fn contradicts(own: &RequiredWriter, named: &StreamWriter) -> bool {
    let own_version = own.version.as_ref();
    own.service != named.service || own_version.is_some_and(|version| *version != named.version)
}
