//! The decisions on a request that resumes a stream.

use courseshunt_gateway::resumption_step::{
    ResumptionFacts, ResumptionStep, Source, after_answer, first_step,
};
use courseshunt_gateway::software_versions::RequiredWriter;
use courseshunt_services::{StreamId, StreamWriter};
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

fn ask(own: Option<RequiredWriter>) -> ResumptionStep {
    let stream = stream();
    ResumptionStep::AskLeader { stream, own }
}

fn answer(service: &str) -> Option<StreamWriter> {
    Some(StreamWriter {
        service: service.to_owned(),
        version: SoftwareVersion::from("v2"),
    })
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
    assert_eq!(first_step(silent), ask(None));
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
fn the_own_log_decides_if_it_gives_the_version() {
    let known = ResumptionFacts {
        own: Some(own(Some("v1"))),
        ..facts(true)
    };
    let expected = ResumptionStep::Continue(Source::OwnLog, own(Some("v1")));
    assert_eq!(first_step(known), expected);
    let unknown = ResumptionFacts {
        own: Some(own(None)),
        ..facts(true)
    };
    assert_eq!(first_step(unknown.clone()), ask(Some(own(None))));
    let one_version = ResumptionFacts {
        own_service_has_one_version: true,
        ..unknown
    };
    let expected = ResumptionStep::Continue(Source::OwnLog, own(None));
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
    let expected = Some((Source::OwnLog, own(None)));
    assert_eq!(after_answer(Some(own(None)), None), expected);
    assert_eq!(after_answer(None, None), None);
}

#[test]
fn a_stream_that_the_leader_places_in_another_service_is_refused() {
    assert_eq!(after_answer(Some(own(None)), answer("search")), None);
}
