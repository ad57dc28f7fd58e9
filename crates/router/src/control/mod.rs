//! The link to the controllers: feed in, demand and ledger commands out.

mod ledger;
mod link;

pub use ledger::{LedgerCall, LedgerCalls, LedgerClient, LedgerError, ledger_channel};
pub use link::{Endpoints, run};
