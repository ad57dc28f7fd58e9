//! Which headers of a client an instance gets to see.
//!
//! Invariant: an instance sees no header that steers it, unless this router set
//! it. All others pass, whatever their names: services have headers of their own,
//! so a list of what passes would break them; what steers instances is told by
//! whole families of names, so that a new member of one doesn't pass either.

use crate::interface::ClientInterface;
use hyper::header::{
    AUTHORIZATION, CONNECTION, EXPECT, HeaderMap, HeaderName, PROXY_AUTHORIZATION,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers that belong to one connection.
const HOP_HEADERS: [HeaderName; 5] = [
    CONNECTION,
    TRANSFER_ENCODING,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    UPGRADE,
];
/// Headers that are meant for the router itself.
const OWN_HEADERS: [HeaderName; 3] = [EXPECT, AUTHORIZATION, PROXY_AUTHORIZATION];

/// The headers of a client's request that its instance sees.
#[must_use]
pub fn filter_request_headers(headers: &HeaderMap, interface: &dyn ClientInterface) -> HeaderMap {
    let mut passed = headers.clone();
    strip_hop_headers(&mut passed);
    for name in &OWN_HEADERS {
        passed.remove(name);
    }
    let names = passed
        .keys()
        .filter(|name| interface.is_instance_control_header(name));
    let steering: Vec<HeaderName> = names.cloned().collect();
    for name in steering {
        passed.remove(name);
    }
    passed
}

/// Removes headers that belong to one connection.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
}
