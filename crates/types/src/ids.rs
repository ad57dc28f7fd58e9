//! Typed identifiers.
//!
//! Numeric identifiers (terms, indexes, revisions) are ordered; names are opaque strings that
//! operators or clients choose.

use std::fmt;

/// Defines an ordered numeric identifier.
macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            serde::Serialize, serde::Deserialize,
            rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
        )]
        #[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The identifier that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

/// Defines an opaque name.
macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            serde::Serialize, serde::Deserialize,
            rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
        )]
        #[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

numeric_id!(
    /// Identity of a member of the control group. A member whose disk was lost
    /// rejoins with a new one.
    ControllerId
);
numeric_id!(
    /// Election term of the replicated log.
    Term
);
numeric_id!(
    /// Position in the replicated log; the first entry has index 1.
    LogIndex
);
numeric_id!(
    /// Global revision of the configuration; grows by one with each accepted batch.
    Revision
);
numeric_id!(
    /// Random number that a process draws at each start, so that restarts are detected.
    Incarnation
);
numeric_id!(
    /// Replicated-log group; group 0 holds configuration and placement.
    GroupId
);
numeric_id!(
    /// Operator-chosen version of one document.
    Version
);
numeric_id!(
    /// Sequence number of a command of one client, for duplicate detection.
    ClientSequence
);
numeric_id!(
    /// Number of one attempt to run a request on a runner; the first is 1.
    Attempt
);
numeric_id!(
    /// Generation of a queue's ownership; it increases with each change of the owner.
    Epoch
);

name_id!(
    /// Name of a router process.
    RouterId
);
name_id!(
    /// Name of a runner (a model engine with its accelerators).
    RunnerId
);
name_id!(
    /// Version of the software that an instance runs. Versions have no order: two of them are equal
    /// or different.
    SoftwareVersion
);
name_id!(
    /// Name of a deployment: one base model with its adapters and limits.
    DeploymentName
);
name_id!(
    /// Name of an adapter over a base model.
    AdapterName
);
name_id!(
    /// Name of a base model in the weight store.
    ModelName
);
name_id!(
    /// Name of a tenant.
    TenantName
);
name_id!(
    /// Name of an availability zone.
    Zone
);
name_id!(
    /// Name of a region, which is a set of zones.
    Region
);
name_id!(
    /// Name of a client of the replicated log, for duplicate detection.
    ClientId
);
name_id!(
    /// Operator-chosen identity of one change, by which a resend is recognised.
    ChangeId
);
name_id!(
    /// Identity of a client's request, unique across all routers.
    RequestId
);
name_id!(
    /// Client-chosen key of a request that must run at most once.
    IdempotencyKey
);
name_id!(
    /// Identity of a deferred job.
    JobId
);

/// Identity of one replica: a deployment loaded on a runner by one decision.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
pub struct ReplicaKey {
    /// Deployment that is loaded.
    pub deployment: DeploymentName,
    /// Runner on which it is loaded.
    pub runner: RunnerId,
}

impl fmt::Display for ReplicaKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.deployment, self.runner)
    }
}

/// Separates the name of an instance from its start time. A name that arrived in an HTTP path
/// can't contain a space. An alias of an instance has nothing but spaces behind the name.
const INCARNATION_SEPARATOR: char = ' ';

impl RunnerId {
    /// Identity of one incarnation of an instance that restarts under the same name; `started`
    /// is its start time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn of_incarnation(name: &str, started: u64) -> Self {
        Self(format!("{name}{INCARNATION_SEPARATOR}{started}"))
    }

    /// Name of the instance, without the start time.
    #[must_use]
    pub fn name(&self) -> &str {
        let parts = self.0.split_once(INCARNATION_SEPARATOR);
        parts.map_or(&self.0, |(name, _)| name)
    }

    /// Start time of the incarnation in milliseconds since the Unix epoch, if the identity holds
    /// one; a higher value means a later incarnation.
    #[must_use]
    pub fn started(&self) -> Option<u64> {
        let (_, started) = self.0.split_once(INCARNATION_SEPARATOR)?;
        started.parse().ok()
    }
}
