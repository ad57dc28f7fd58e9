//! Addresses of the control group's members.
//!
//! The membership itself is part of the consensus log; this holds only the
//! addresses of members that joined later.

use courseshunt_types::ControllerId;
use std::collections::BTreeMap;

/// Wire addresses (`ip:port`) of members that joined a running group.
pub type MemberAddresses = BTreeMap<ControllerId, String>;
