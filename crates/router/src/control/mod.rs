//! The connection to the controllers: receives the feed, sends demand reports and
//! ledger commands.

mod client;
mod freshness;
mod ledger;
mod link;
mod pending;
mod relay;

pub use client::{Endpoints, LinkClient, LinkSettings};
pub use freshness::{FeedFreshness, STALE_LIMIT};
pub use ledger::{
    COMMIT_TIMEOUT, InDoubtFlag, LedgerCall, LedgerCalls, LedgerClient, LedgerError, ledger_channel,
};
pub use link::run;
pub use pending::PendingCalls;
pub use relay::RelaySource;
