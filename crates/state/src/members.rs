//! Addresses of the control group's members.
//!
//! Who votes is decided by the consensus log; this only tells where a member
//! that joined later is found.

use courseshunt_types::ControllerId;
use std::collections::BTreeMap;

/// Wire addresses (`ip:port`) of members that joined a running group.
pub type MemberAddresses = BTreeMap<ControllerId, String>;
