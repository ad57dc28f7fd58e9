//! Services in front of back-end instances: what operators declare, which
//! instances there are, which of them a request goes to and which models they
//! are told to hold. No I/O, no clock, no threads.
//!
//! Invariants: a configuration that [`judge`](judge::judge) refuses is never in
//! force; an instance that leaves is never selected again; orders never put
//! more on an instance than its memory and adapter places hold.

#![allow(
    missing_docs,
    reason = "the fields of the archived types that rkyv derives carry no docs"
)]

pub mod budget;
pub mod ceiling;
pub mod configuration;
pub mod content;
mod decay;
pub mod digest;
pub mod fed_instances;
pub mod feed;
pub mod instance;
mod instance_index;
pub mod judge;
pub mod limit;
pub mod placement;
pub mod quarantine;
pub mod quota;
pub mod relay;
pub mod routes;
pub mod selection;
pub mod store_limit;
pub mod tenants;
pub mod token_bucket;

pub use budget::RetryBudget;
pub use ceiling::LoadCeiling;
pub use configuration::{
    ClientLimits, Engine, ModelSpecification, RequestKind, Route, Service, ServiceConfiguration,
    Target,
};
pub use content::RequestContent;
pub use digest::InstanceDigests;
pub use fed_instances::FedInstances;
pub use feed::{
    FeedMessage, InstanceUsage, MemberPlace, ModelDemand, RelayedReport, ReportMessage, RouterNews,
};
pub use instance::{InstanceState, InstanceView, Registration, ResidentModel, WeightCopies};
pub use judge::{ConfigurationError, judge};
pub use limit::ledger::LimitLedger;
pub use limit::local::{LimitChange, LimitStep, RouterLimits};
pub use limit::{LimitAnswer, LimitQuery, LimitReport, LimitVerdict, ReportedLimit, RequestRate};
pub use placement::{
    InstanceReport, LoadEnd, LoadSource, Order, OrderAction, OrderEvidence, OrderOutcome,
    PlacementEngine, PlacementEvent, PlacementSettings, PlacementStep, SetAside,
};
pub use quarantine::ledger::{QuarantineChange, QuarantineLedger};
pub use quarantine::local::RouterQuarantine;
pub use quarantine::{InstanceEnd, QuarantinedContent};
pub use quota::ledger::QuotaLedger;
pub use quota::local::{QuotaStep, RouterQuotas};
pub use quota::{
    LimitedRequest, QuotaAnswer, QuotaQuery, QuotaSettings, QuotaVerdict, TenantAccountStatus,
    TenantUse,
};
pub use relay::{RegistrationOutbox, RelayedRegistration};
pub use routes::RouteTable;
pub use selection::{Candidate, PrefixPart, PromptShape, Pushback, Pushbacks, Selector};
pub use store_limit::StoreLimit;
pub use tenants::{Quota, QuotaUnit, Tenant, TenantTable};
