//! Protocol version 2, which production's build speaks, and its translation.
//!
//! Invariant: nothing outside this module knows the types of that version. What a peer of that
//! build has no word for is not sent to it; what it does not say counts as not said.
//!
//! Spoken is what processes of declared services say to each other. Routers and controllers of
//! deployments are replaced together, as before.

mod feed;
mod message;

use crate::frame;
use crate::message::Message;
use courseshunt_services::{FeedMessage, MemberPlace, ReportMessage};
use message::Message as Earlier;

/// A message as a whole frame of version 2; none: that build has no word for it.
///
/// # Errors
/// When the message is too long for a frame.
pub fn encode(message: &Message) -> Result<Option<Vec<u8>>, String> {
    let Some(earlier) = to_earlier(message.clone()) else {
        return Ok(None);
    };
    let content = rkyv::to_bytes::<rkyv::rancor::Error>(&earlier);
    let content = content.map_err(|error| error.to_string())?;
    frame::wrap(&content, frame::PREVIOUS_RELEASE_VERSION).map(Some)
}

/// Reads the content of a frame of version 2.
///
/// # Errors
/// When checksum or content are wrong, or the message is of another kind than is spoken with
/// that build.
pub fn decode(content: &[u8], checksum: u32) -> Result<Message, String> {
    let aligned = frame::open(content, checksum)?;
    let earlier = rkyv::from_bytes::<Earlier, rkyv::rancor::Error>(&aligned);
    let earlier = earlier.map_err(|error| error.to_string())?;
    let message = from_earlier(earlier);
    message.ok_or_else(|| "this kind of message is not spoken with production's build".to_owned())
}

fn to_earlier(message: Message) -> Option<Earlier> {
    Some(match message {
        Message::Consensus { group, message } => Earlier::Consensus { group, message },
        Message::Forward {
            call,
            group,
            envelope,
        } => Earlier::Forward {
            call,
            group,
            envelope,
        },
        Message::ForwardReply { call, reply } => Earlier::ForwardReply { call, reply },
        Message::ReadIndex { call, group } => Earlier::ReadIndex { call, group },
        Message::ReadIndexReply { call, index } => Earlier::ReadIndexReply { call, index },
        Message::PeerAlive => Earlier::PeerAlive,
        Message::ChangeMembership {
            call,
            group,
            change,
        } => Earlier::ChangeMembership {
            call,
            group,
            change,
        },
        Message::ChangeMembershipReply { call, result } => {
            Earlier::ChangeMembershipReply { call, result }
        }
        Message::ServiceFeed(feed) => Earlier::ServiceFeed(to_earlier_feed(feed)?),
        Message::ServiceReport(report) => Earlier::ServiceReport(to_earlier_report(report)?),
        Message::Registrations(batch) => Earlier::Registrations(batch),
        Message::RegistrationsReply {
            leads,
            missing: lacked,
        } => Earlier::RegistrationsReply {
            leads,
            missing: lacked,
        },
        Message::Join {
            member,
            wire_address,
        } => Earlier::Join {
            member,
            wire_address,
        },
        Message::Joined { leads, members, .. } => Earlier::Joined { leads, members },
        _ => return None,
    })
}

fn from_earlier(message: Earlier) -> Option<Message> {
    Some(match message {
        Earlier::Consensus { group, message } => Message::Consensus { group, message },
        Earlier::Forward {
            call,
            group,
            envelope,
        } => Message::Forward {
            call,
            group,
            envelope,
        },
        Earlier::ForwardReply { call, reply } => Message::ForwardReply { call, reply },
        Earlier::ReadIndex { call, group } => Message::ReadIndex { call, group },
        Earlier::ReadIndexReply { call, index } => Message::ReadIndexReply { call, index },
        Earlier::PeerAlive => Message::PeerAlive,
        Earlier::ChangeMembership {
            call,
            group,
            change,
        } => Message::ChangeMembership {
            call,
            group,
            change,
        },
        Earlier::ChangeMembershipReply { call, result } => {
            Message::ChangeMembershipReply { call, result }
        }
        Earlier::ServiceFeed(feed) => Message::ServiceFeed(from_earlier_feed(feed)),
        Earlier::ServiceReport(report) => Message::ServiceReport(from_earlier_report(report)),
        Earlier::Registrations(batch) => Message::Registrations(batch),
        Earlier::RegistrationsReply {
            leads,
            missing: lacked,
        } => Message::RegistrationsReply {
            leads,
            missing: lacked,
        },
        Earlier::Join {
            member,
            wire_address,
        } => Message::Join {
            member,
            wire_address,
        },
        Earlier::Joined { leads, members } => Message::Joined {
            leads,
            leader: None,
            members,
        },
        _ => return None,
    })
}

/// What a router of that build is told. It knows no parts: of one it is told the instances,
/// and by the list of all of them which others are gone.
fn to_earlier_feed(message: FeedMessage) -> Option<feed::FeedMessage> {
    Some(match message {
        FeedMessage::NoFeed { leader } => feed::FeedMessage::NotLeader { leader },
        FeedMessage::Members(members) => {
            let addresses = members.into_iter().map(|one| one.address);
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
        FeedMessage::Instances { changed, gone } => feed::FeedMessage::Instances { changed, gone },
        FeedMessage::Part { instances, .. } => feed::FeedMessage::Instances {
            changed: instances,
            gone: Vec::new(),
        },
        FeedMessage::Live(live) => feed::FeedMessage::Live(live),
        FeedMessage::Usage {
            configuration,
            routers,
            instances,
        } => feed::FeedMessage::Usage {
            configuration,
            routers,
            instances,
        },
        FeedMessage::Awaiting
        | FeedMessage::Leadership { .. }
        | FeedMessage::Digests(_)
        | FeedMessage::Quotas { .. }
        | FeedMessage::QuotaAnswers(_)
        | FeedMessage::Limits(_)
        | FeedMessage::LimitAnswers(_)
        | FeedMessage::Quarantine { .. } => return None,
    })
}

fn from_earlier_feed(message: feed::FeedMessage) -> FeedMessage {
    match message {
        feed::FeedMessage::NotLeader { leader } => FeedMessage::NoFeed { leader },
        feed::FeedMessage::Members(addresses) => {
            let members = addresses.into_iter().map(|address| MemberPlace {
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
        feed::FeedMessage::Instances { changed, gone } => FeedMessage::Instances { changed, gone },
        feed::FeedMessage::Live(live) => FeedMessage::Live(live),
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

fn to_earlier_report(message: ReportMessage) -> Option<feed::ReportMessage> {
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
            instances,
            demand,
            unreachable,
        },
        ReportMessage::TenantUse { .. }
        | ReportMessage::AskQuotas(_)
        | ReportMessage::Limits { .. }
        | ReportMessage::Compare(_)
        | ReportMessage::Ends { .. } => return None,
    })
}

fn from_earlier_report(message: feed::ReportMessage) -> ReportMessage {
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
