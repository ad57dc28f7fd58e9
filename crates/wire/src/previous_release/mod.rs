//! Protocol version 2, which the previous release uses, and its translation to and from the current
//! version.
//!
//! Invariant: the types of version 2 are used in this module alone. A message that version 2 can't
//! express is not sent to a peer of the previous release; fields that version 2 lacks are empty in
//! messages received from such a peer. Such a peer names instances without their start times.
//!
//! Only messages between processes of declared services are translated. Routers and controllers of
//! deployments are upgraded together, so they never communicate across the two releases.

mod feed;
mod identities;
mod message;

use crate::frame;
use crate::message::Message;
use courseshunt_services::{FeedMessage, MemberLocation, ReportMessage};
use message::Message as PreviousMessage;

/// Encodes a message as a whole frame of version 2; `None` when version 2 can't express it.
///
/// # Errors
/// When the message is too long for a frame.
pub fn encode(message: &Message) -> Result<Option<Vec<u8>>, String> {
    let Some(previous) = to_previous(message.clone()) else {
        return Ok(None);
    };
    let content = rkyv::to_bytes::<rkyv::rancor::Error>(&previous);
    let content = content.map_err(|error| error.to_string())?;
    frame::wrap(&content, frame::PREVIOUS_RELEASE_VERSION).map(Some)
}

/// Decodes the content of a frame of version 2.
///
/// # Errors
/// When the checksum or the content is invalid, or when messages of this kind are not exchanged
/// with the previous release.
pub fn decode(content: &[u8], checksum: u32) -> Result<Message, String> {
    let aligned = frame::open(content, checksum)?;
    let previous = rkyv::from_bytes::<PreviousMessage, rkyv::rancor::Error>(&aligned);
    let previous = previous.map_err(|error| error.to_string())?;
    let message = from_previous(previous);
    message.ok_or_else(|| "this kind of message is not spoken with the previous release".to_owned())
}

fn to_previous(message: Message) -> Option<PreviousMessage> {
    Some(match message {
        Message::Consensus { group, message } => PreviousMessage::Consensus { group, message },
        Message::Forward {
            call,
            group,
            envelope,
        } => PreviousMessage::Forward {
            call,
            group,
            envelope: identities::envelope(envelope),
        },
        Message::ForwardReply { call, reply } => PreviousMessage::ForwardReply { call, reply },
        Message::ReadIndex { call, group } => PreviousMessage::ReadIndex { call, group },
        Message::ReadIndexReply { call, index } => PreviousMessage::ReadIndexReply { call, index },
        Message::PeerAlive => PreviousMessage::PeerAlive,
        Message::ChangeMembership {
            call,
            group,
            change,
        } => PreviousMessage::ChangeMembership {
            call,
            group,
            change,
        },
        Message::ChangeMembershipReply { call, result } => {
            PreviousMessage::ChangeMembershipReply { call, result }
        }
        Message::ServiceFeed(feed) => PreviousMessage::ServiceFeed(to_previous_feed(feed)?),
        Message::ServiceReport(report) => {
            PreviousMessage::ServiceReport(to_previous_report(report)?)
        }
        Message::Registrations(batch) => {
            PreviousMessage::Registrations(identities::registrations(batch))
        }
        Message::RegistrationsReply { leads, missing } => {
            PreviousMessage::RegistrationsReply { leads, missing }
        }
        Message::Join {
            member,
            wire_address,
        } => PreviousMessage::Join {
            member,
            wire_address,
        },
        Message::Joined { leads, members, .. } => PreviousMessage::Joined { leads, members },
        _ => return None,
    })
}

fn from_previous(message: PreviousMessage) -> Option<Message> {
    Some(match message {
        PreviousMessage::Consensus { group, message } => Message::Consensus { group, message },
        PreviousMessage::Forward {
            call,
            group,
            envelope,
        } => Message::Forward {
            call,
            group,
            envelope,
        },
        PreviousMessage::ForwardReply { call, reply } => Message::ForwardReply { call, reply },
        PreviousMessage::ReadIndex { call, group } => Message::ReadIndex { call, group },
        PreviousMessage::ReadIndexReply { call, index } => Message::ReadIndexReply { call, index },
        PreviousMessage::PeerAlive => Message::PeerAlive,
        PreviousMessage::ChangeMembership {
            call,
            group,
            change,
        } => Message::ChangeMembership {
            call,
            group,
            change,
        },
        PreviousMessage::ChangeMembershipReply { call, result } => {
            Message::ChangeMembershipReply { call, result }
        }
        PreviousMessage::ServiceFeed(feed) => Message::ServiceFeed(from_previous_feed(feed)),
        PreviousMessage::ServiceReport(report) => {
            Message::ServiceReport(from_previous_report(report))
        }
        PreviousMessage::Registrations(batch) => Message::Registrations(batch),
        PreviousMessage::RegistrationsReply { leads, missing } => {
            Message::RegistrationsReply { leads, missing }
        }
        PreviousMessage::Join {
            member,
            wire_address,
        } => Message::Join {
            member,
            wire_address,
        },
        PreviousMessage::Joined { leads, members } => Message::Joined {
            leads,
            leader: None,
            members,
        },
        _ => return None,
    })
}

/// Translates a message for a router of the previous release. Version 2 has no buckets: the
/// instances of a bucket are sent as changed ones, and the list of live instances shows which
/// others were removed.
fn to_previous_feed(message: FeedMessage) -> Option<feed::FeedMessage> {
    Some(match message {
        FeedMessage::NoFeed { leader } => feed::FeedMessage::NotLeader { leader },
        FeedMessage::Members(members) => {
            let addresses = members.into_iter().map(|member| member.address);
            feed::FeedMessage::Members(addresses.collect())
        }
        FeedMessage::Configuration {
            number,
            base,
            digest,
            difference,
        } => feed::FeedMessage::Configuration {
            number,
            base,
            digest,
            difference,
        },
        FeedMessage::Instances { changed, gone } => feed::FeedMessage::Instances {
            changed: identities::views(changed),
            gone: identities::names_of(gone),
        },
        FeedMessage::Bucket { instances, .. } => feed::FeedMessage::Instances {
            changed: identities::views(instances),
            gone: Vec::new(),
        },
        FeedMessage::LiveInstances(live) => feed::FeedMessage::Live(identities::names_of(live)),
        FeedMessage::Usage {
            configuration,
            routers,
            instances,
        } => feed::FeedMessage::Usage {
            configuration,
            routers,
            instances: identities::usage(instances),
        },
        FeedMessage::AwaitingLeader
        | FeedMessage::Leadership { .. }
        | FeedMessage::Digests(_)
        | FeedMessage::Quotas { .. }
        | FeedMessage::QuotaAnswers(_)
        | FeedMessage::Limits(_)
        | FeedMessage::LimitAnswers(_)
        | FeedMessage::Quarantine { .. }
        | FeedMessage::InstanceLoads(_)
        | FeedMessage::Forwarders(_)
        | FeedMessage::SoftwareVersions(_)
        | FeedMessage::OriginAnswers(_) => return None,
    })
}

fn from_previous_feed(message: feed::FeedMessage) -> FeedMessage {
    match message {
        feed::FeedMessage::NotLeader { leader } => FeedMessage::NoFeed { leader },
        feed::FeedMessage::Members(addresses) => {
            let members = addresses.into_iter().map(|address| MemberLocation {
                address,
                zone: None,
            });
            FeedMessage::Members(members.collect())
        }
        feed::FeedMessage::Configuration {
            number,
            base,
            digest,
            difference,
        } => FeedMessage::Configuration {
            number,
            base,
            digest,
            difference,
        },
        feed::FeedMessage::Instances { changed, gone } => FeedMessage::Instances {
            changed: identities::registered(changed),
            gone,
        },
        feed::FeedMessage::Live(live) => FeedMessage::LiveInstances(live),
        feed::FeedMessage::Usage {
            configuration,
            routers,
            instances,
        } => FeedMessage::Usage {
            configuration,
            routers,
            instances,
        },
    }
}

fn to_previous_report(message: ReportMessage) -> Option<feed::ReportMessage> {
    Some(match message {
        ReportMessage::Subscribe { number, known } => {
            feed::ReportMessage::Subscribe { number, known }
        }
        ReportMessage::Usage {
            configuration,
            instances,
            demand,
            unreachable,
            ..
        } => feed::ReportMessage::Usage {
            configuration,
            instances: identities::usage(instances),
            demand,
            unreachable: identities::names_of(unreachable),
        },
        ReportMessage::TenantUse(_)
        | ReportMessage::QuotaQueries(_)
        | ReportMessage::Limits { .. }
        | ReportMessage::Compare(_)
        | ReportMessage::Ends { .. }
        | ReportMessage::InstanceLoads { .. }
        | ReportMessage::Forwarding(_)
        | ReportMessage::StreamOrigins { .. } => return None,
    })
}

fn from_previous_report(message: feed::ReportMessage) -> ReportMessage {
    match message {
        feed::ReportMessage::Subscribe { number, known } => {
            ReportMessage::Subscribe { number, known }
        }
        feed::ReportMessage::Usage {
            configuration,
            instances,
            demand,
            unreachable,
        } => ReportMessage::Usage {
            configuration,
            instances,
            demand,
            unreachable,
            leaving: Vec::new(),
        },
    }
}
