//! The link to the controllers: feed in, demand and ledger commands out.

mod client;
mod freshness;
mod ledger;
mod link;
mod pending;
mod relay;

pub use client::{Endpoints, LinkClient, LinkSettings};
pub use freshness::{FeedFreshness, STALE_LIMIT};
pub use ledger::{
    COMMIT_TIMEOUT, Doubt, LedgerCall, LedgerCalls, LedgerClient, LedgerError, ledger_channel,
};
pub use link::run;
pub use pending::PendingCalls;
pub use relay::RelaySource;
