//! The decisions on a request that resumes a stream.

use courseshunt_gateway::resumption_step::{
    LeaderAnswer, Persistence, ResumptionFacts, ResumptionStep, Source, after_answer, first_step,
};
use courseshunt_gateway::software_versions::RequiredWriter;
use courseshunt_services::{OriginVerdict, StreamId, StreamWriter};
use courseshunt_types::{RunnerId, SoftwareVersion};

fn stream() -> StreamId {
    StreamId::of_request("began")
}

/// A request for the service `chat` in contact with a leader; the stream was not relayed here.
fn facts(is_origin_ambiguous: bool) -> ResumptionFacts<'static> {
    ResumptionFacts {
        service: "chat",
        is_feed_recent: true,
        is_origin_ambiguous,
        stream: Some(stream()),
        own: None,
        own_service_has_one_version: false,
    }
}

/// The origin of a stream that began at instance `a` here.
fn own(version: Option<&str>) -> RequiredWriter {
    RequiredWriter {
        version: version.map(SoftwareVersion::from),
        began_at: Some(RunnerId::from("a")),
        ..RequiredWriter::any_of("chat")
    }
}

fn ask(own: Option<RequiredWriter>, persistence: Persistence) -> ResumptionStep {
    ResumptionStep::AskLeader {
        stream: stream(),
        own,
        persistence,
    }
}

/// The leader names this service and version v2.
fn answer(service: &str) -> LeaderAnswer {
    LeaderAnswer::from(OriginVerdict::Known(StreamWriter {
        service: service.to_owned(),
        version: SoftwareVersion::from("v2"),
    }))
}

#[test]
fn a_stream_with_only_one_possible_writer_is_unrestricted() {
    let any = RequiredWriter::any_of("chat");
    let unrestricted = ResumptionStep::Continue(Source::Unrestricted, any);
    assert_eq!(first_step(facts(false)), unrestricted);
    let unnamed = ResumptionFacts {
        stream: None,
        ..facts(false)
    };
    assert_eq!(first_step(unnamed), unrestricted);
}

#[test]
fn without_a_recent_feed_no_stream_is_unrestricted() {
    let silent = ResumptionFacts {
        is_feed_recent: false,
        ..facts(false)
    };
    assert_eq!(first_step(silent), ask(None, Persistence::UntilKnown));
}

#[test]
fn a_stream_that_the_client_does_not_name_is_refused() {
    let unnamed = ResumptionFacts {
        stream: None,
        ..facts(true)
    };
    assert_eq!(first_step(unnamed), ResumptionStep::Refuse);
}

#[test]
fn the_leader_is_asked_once_if_the_own_log_gives_the_version() {
    let known = ResumptionFacts {
        own: Some(own(Some("v1"))),
        ..facts(true)
    };
    let expected = ask(Some(own(Some("v1"))), Persistence::FirstAnswer);
    assert_eq!(first_step(known.clone()), expected);
    let silent = ResumptionFacts {
        is_feed_recent: false,
        ..known
    };
    let expected = ResumptionStep::Continue(Source::OwnLog, own(Some("v1")));
    assert_eq!(first_step(silent), expected);
    let unknown = ResumptionFacts {
        own: Some(own(None)),
        ..facts(true)
    };
    let expected = ask(Some(own(None)), Persistence::UntilKnown);
    assert_eq!(first_step(unknown.clone()), expected);
    let one_version = ResumptionFacts {
        own_service_has_one_version: true,
        ..unknown
    };
    let expected = ask(Some(own(None)), Persistence::FirstAnswer);
    assert_eq!(first_step(one_version), expected);
}

#[test]
fn the_leader_names_the_writer() {
    let named = RequiredWriter {
        version: Some(SoftwareVersion::from("v2")),
        ..RequiredWriter::any_of("chat")
    };
    let expected = Some((Source::Leader, named));
    assert_eq!(after_answer(None, answer("chat")), expected);
    // The instance that began the stream here fits, also if no list names its version.
    let expected = Some((Source::Leader, own(Some("v2"))));
    assert_eq!(after_answer(Some(own(None)), answer("chat")), expected);
}

#[test]
fn without_an_answer_only_the_instance_that_began_the_stream_here_continues_it() {
    let unknown = LeaderAnswer::from(OriginVerdict::Unknown);
    let expected = Some((Source::OwnLog, own(None)));
    assert_eq!(after_answer(Some(own(None)), unknown.clone()), expected);
    assert_eq!(after_answer(None, unknown), None);
}

#[test]
fn a_stream_that_the_leader_does_not_know_goes_on_by_the_own_log() {
    let expected = Some((Source::OwnLog, own(Some("v1"))));
    let answer = LeaderAnswer::Unknown;
    assert_eq!(after_answer(Some(own(Some("v1"))), answer), expected);
}

#[test]
fn a_stream_in_conflict_at_the_leader_is_refused() {
    let conflict = LeaderAnswer::from(OriginVerdict::conflict());
    for own in [None, Some(own(None)), Some(own(Some("v1")))] {
        assert_eq!(after_answer(own, conflict.clone()), None);
    }
}

#[test]
fn a_stream_that_the_leader_places_in_another_service_is_refused() {
    assert_eq!(after_answer(Some(own(None)), answer("search")), None);
}

#[test]
fn a_stream_of_which_the_leader_names_another_version_is_refused() {
    assert_eq!(after_answer(Some(own(Some("v1"))), answer("chat")), None);
    let expected = Some((Source::Leader, own(Some("v2"))));
    let same = after_answer(Some(own(Some("v2"))), answer("chat"));
    assert_eq!(same, expected);
}
