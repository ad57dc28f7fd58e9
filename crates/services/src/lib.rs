//! Decisions about services and their back-end instances: the declared configuration, the
//! set of instances, the instance that serves a request and the models that each instance
//! loads. No I/O, no clock, no threads.
//!
//! Invariants: a configuration that [`validate`] rejects is never in
//! force; an instance that leaves is never selected again; orders never assign more to an
//! instance than its memory and adapter slots hold.

#![allow(
    missing_docs,
    reason = "rkyv derives archived types whose fields have no docs"
)]

pub mod configuration;
pub mod content;
mod decay;
pub mod digest;
pub mod feed;
pub mod fingerprints;
pub mod fleet_size;
pub mod forwarders;
pub mod instance;
pub mod instance_aliases;
pub mod instance_directory;
mod instance_index;
pub mod instance_paths;
pub mod limit;
pub mod load_rate_limiter;
pub mod model_sizes;
pub mod placement;
pub mod quarantine;
pub mod quota;
pub mod relay;
pub mod retry_budget;
pub mod routes;
pub mod selection;
pub mod store_limit;
pub mod stream_origins;
pub mod tenants;
pub mod token_bucket;
pub mod validation;

pub use configuration::{
    ClientLimits, Engine, ModelSpecification, RequestKind, Route, Service, ServiceConfiguration,
    Target,
};
pub use content::RequestContent;
pub use digest::InstanceDigests;
pub use feed::{
    FeedMessage, InstanceUsage, MemberLocation, ModelDemand, RelayedReport, ReportMessage,
    RouterUpdate,
};
pub use fingerprints::Fingerprints;
pub use fleet_size::FleetSize;
pub use forwarders::{Forwarder, ForwarderDirectory, ForwardingReport};
pub use instance::{CachedWeights, InstanceState, InstanceView, Registration, ResidentModel};
pub use instance_directory::InstanceDirectory;
pub use instance_paths::InstancePaths;
pub use limit::ledger::LimitLedger;
pub use limit::local::{LimitChange, LimitStep, RouterLimits};
pub use limit::{LimitAnswer, LimitQuery, LimitReport, LimitVerdict, ReportedLimit, RequestRate};
pub use load_rate_limiter::LoadRateLimiter;
pub use model_sizes::{ModelSize, ModelSizes, earlier_sizes};
pub use placement::{
    InstanceReport, InstanceReservation, LoadEnd, LoadSource, Order, OrderAction, OrderOutcome,
    OrderRationale, PlacementEngine, PlacementEvent, PlacementSettings, PlacementStep,
};
pub use quarantine::ledger::{QuarantineChange, QuarantineLedger};
pub use quarantine::local::RouterQuarantine;
pub use quarantine::{AnsweredFingerprint, InstanceEnd, QuarantinedContent};
pub use quota::ledger::QuotaLedger;
pub use quota::local::{QuotaStep, RouterQuotas};
pub use quota::{
    LimitedRequest, QuotaAnswer, QuotaQuery, QuotaSettings, QuotaVerdict, ReportedTotal,
    ReservationChange, ReservationEvent, ReservationTerms, TenantAccountStatus, TenantUse,
    UseReport,
};
pub use relay::{RegistrationOutbox, RelayedRegistration};
pub use retry_budget::{RetryBudget, RetryBudgetSettings, RetryBudgets, RetryDecision};
pub use routes::RouteTable;
pub use selection::{
    Candidate, PrefixPart, PromptShape, Pushback, Pushbacks, SelectionRequest, Selector,
};
pub use store_limit::StoreLimit;
pub use stream_origins::{
    InstanceVersion, OriginAnswer, OriginDirectory, OriginQuery, OriginVerdict, PublishedVersions,
    RouteServices, ServiceVersions, SoftwareVersions, StreamId, StreamOrigin, StreamWriter,
    VersionOutbox, VersionPublication, VersionSetChange,
};
pub use tenants::{Quota, QuotaUnit, Tenant, TenantTable};
pub use validation::{ConfigurationError, MAX_CONFIGURED_TIME, validate};
