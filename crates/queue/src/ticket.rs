//! Tickets, which wait in place of their requests, and grants.

use courseshunt_types::{
    AdapterName, DeploymentName, Millis, PriorityClass, Refusal, RequestId, RouterId, RunnerId,
    TenantName,
};

/// A small stand-in for a request; the request itself stays at its router.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// Router that holds the caller's connection.
    pub holder: RouterId,
    /// Deployment asked for.
    pub deployment: DeploymentName,
    /// Adapter asked for.
    pub adapter: Option<AdapterName>,
    /// Tenant that asks.
    pub tenant: TenantName,
    /// Priority class.
    pub class: PriorityClass,
    /// Time left until the deadline, at the sending of the ticket.
    pub deadline_in: Millis,
    /// Time waited already, at the sending of the ticket.
    pub waited: Millis,
    /// Hashes of the prompt's leading blocks, the first block first.
    pub prefix_hashes: Vec<u64>,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Tokens asked for at the most.
    pub max_tokens: u32,
    /// Runners not to use, because an attempt failed there.
    pub avoid: Vec<RunnerId>,
}

/// Number of a grant. Owners draw the number of their first grant at random,
/// so that grants of different owners do not meet.
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
pub struct GrantId(pub u64);

/// Leave to send one request to one runner.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Grant {
    /// Number at the owner, for the return of the slot.
    pub grant: GrantId,
    /// The request.
    pub request: RequestId,
    /// Router that holds the request.
    pub holder: RouterId,
    /// Runner to send it to.
    pub runner: RunnerId,
    /// Use within this time, or the slot goes to another.
    pub valid_for: Millis,
}

/// A grant that runs, as its holder tells a new owner.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RunningGrant {
    /// Number of the grant.
    pub grant: GrantId,
    /// The request.
    pub request: RequestId,
    /// Runner that works on it.
    pub runner: RunnerId,
}

/// A ticket's refusal.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct TicketRefusal {
    /// The request.
    pub request: RequestId,
    /// Router that holds it.
    pub holder: RouterId,
    /// Why.
    pub refusal: Refusal,
}
