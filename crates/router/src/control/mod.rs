//! The link to the controllers: feed in, demand and ledger commands out.

mod ledger;
mod link;
mod pending;

pub use ledger::{
    COMMIT_TIMEOUT, Doubt, LedgerCall, LedgerCalls, LedgerClient, LedgerError, ledger_channel,
};
pub use link::{Endpoints, run};
pub use pending::PendingCalls;
