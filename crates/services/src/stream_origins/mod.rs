//! Which instance began a stream that its client may resume: what routers report of the streams that
//! they relay, and what they ask when a client resumes one.
//!
//! Events of instances of different services or software versions do not fit together. A stream that
//! is resumed goes on only at an instance of the service and the software version that began it.

mod directory;
pub mod log;
mod publication;
mod route_services;
mod version_outbox;
mod versions;

pub use directory::OriginDirectory;
pub use publication::{PublishedVersions, VersionPublication, VersionSetChange};
pub use route_services::RouteServices;
pub use version_outbox::VersionOutbox;
pub use versions::SoftwareVersions;

use courseshunt_types::{Millis, RunnerId, SoftwareVersion};
use xxhash_rust::xxh3::xxh3_64;

/// Longest time for which a client may resume a stream.
pub const ORIGIN_RETENTION: Millis = Millis(120_000);

/// Identifies a stream by the id of the request that brought its first event.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct StreamId(pub u64);

impl StreamId {
    /// The stream that the request with this id began.
    #[must_use]
    pub fn of_request(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }
}

/// The software version of an instance.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct InstanceVersion {
    /// The instance.
    pub instance: RunnerId,
    /// Its software version.
    pub version: SoftwareVersion,
}

/// The software versions of the instances of a service.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ServiceVersions {
    /// Name of the service.
    pub service: String,
    /// One entry for each instance whose version is known.
    pub instances: Vec<InstanceVersion>,
}

/// A stream that an instance began.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// Name of the service of the instance.
    pub service: String,
    /// The instance that began it.
    pub instance: RunnerId,
}

/// What an instance must have in common with the one that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct StreamWriter {
    /// Name of the service.
    pub service: String,
    /// Software version.
    pub version: SoftwareVersion,
}

/// Asks the leader which kind of instance began a stream.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct OriginQuery {
    /// Echoed in the answer.
    pub number: u64,
    /// The stream.
    pub stream: StreamId,
}

/// The leader's verdict on an [`OriginQuery`].
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum OriginVerdict {
    /// Instances of this kind may continue the stream. An empty service, which no instance
    /// registers, states a conflict; see [`OriginVerdict::conflict`].
    Known(StreamWriter),
    /// No router has reported the stream, or the version of its only instance is not known.
    Unknown,
}

impl OriginVerdict {
    /// Several instances began streams under this id and are not known to run one version of one
    /// service, so that no instance may continue it. The archived form is that of a writer that no instance is: a router of the
    /// previous release refuses the stream, too.
    #[must_use]
    pub fn conflict() -> Self {
        Self::Known(StreamWriter {
            service: String::new(),
            version: SoftwareVersion::from(""),
        })
    }

    /// Whether this is [`OriginVerdict::conflict`].
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Known(writer) if writer.service.is_empty())
    }
}

/// Answer to an [`OriginQuery`].
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct OriginAnswer {
    /// Number of the query.
    pub number: u64,
    /// The verdict.
    pub verdict: OriginVerdict,
}
