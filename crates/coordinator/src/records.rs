//! What a controller records: one line for each decision, and for each change
//! of what it believes.

use courseshunt_records::Record;
use serde::Serialize;

/// See the module.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum ControllerRecord<'a> {
    /// It starts.
    Started {
        name: &'a str,
        zone: &'a str,
        member: u64,
        founds: bool,
    },
    /// It has stopped as planned.
    Stopped,
    /// Settings were read again.
    Reloaded { seeds: usize },
    /// It leads from now on.
    Leads { term: u64 },
    /// It leads no more.
    LeadsNoMore { leader: Option<&'a str> },
    /// It hands the leadership over to the member that gave orders last.
    HandsOver { to: u64 },
    /// It was to be recorded as the member that gives orders.
    HoldsOrders { problem: Option<&'a str> },
    /// The membership of the group was to be changed.
    Membership {
        change: &'a str,
        /// Log index of the committed change.
        index: Option<u64>,
        problem: Option<&'a str>,
    },
    /// A router follows the feed.
    RouterFollows { router: &'a str, configuration: u64 },
    /// A router's feed has ended.
    RouterLost { router: &'a str },
    /// Registrations taken here reach the leader from now on.
    RelayBegan { leader: &'a str },
    /// They reach it no more.
    RelayEnded {
        leader: &'a str,
        problem: Option<&'a str>,
    },
    /// An operator's configuration was judged and, if valid, proposed.
    Configuration {
        number: Option<u64>,
        outcome: &'a str,
        problem: Option<&'a str>,
    },
    /// An instance says that it takes no more work.
    Leaves {
        instance: &'a str,
        ends: bool,
        committed: bool,
        problem: Option<&'a str>,
    },
    /// Instances were taken for gone.
    InstancesGone { instances: &'a [String] },
    /// An order was given.
    Order {
        action: &'a str,
        model: &'a str,
        adapter: Option<&'a str>,
        instance: &'a str,
        expected: u64,
        term: u64,
        outcome: &'a str,
        copies: usize,
        desired: usize,
        rate_per_1000_s: u64,
        waited_for: bool,
        from_store: bool,
        after_ms: u64,
    },
}

impl Record for ControllerRecord<'_> {
    fn is_kept(&self) -> bool {
        !matches!(self, Self::Order { .. })
    }
}
