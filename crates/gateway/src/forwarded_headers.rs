//! Which headers of a client's request are forwarded to the instance.
//!
//! Invariant: an instance receives no control header that this router did not set. All other
//! headers are forwarded, whatever their names: services define headers of their own, so an
//! allowlist would break them. Control headers are recognised by families of names, so that a
//! new member of a family is not forwarded either.

use crate::interface::ClientInterface;
use hyper::header::{
    AUTHORIZATION, CONNECTION, EXPECT, HeaderMap, HeaderName, PROXY_AUTHORIZATION,
    TRANSFER_ENCODING, UPGRADE,
};

/// Hop-by-hop headers.
const HOP_HEADERS: [HeaderName; 5] = [
    CONNECTION,
    TRANSFER_ENCODING,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    UPGRADE,
];
/// Headers that are addressed to the router itself.
const OWN_HEADERS: [HeaderName; 3] = [EXPECT, AUTHORIZATION, PROXY_AUTHORIZATION];

/// Selects the headers of a client's request that are forwarded to the instance.
#[must_use]
pub fn filter_request_headers(headers: &HeaderMap, interface: &dyn ClientInterface) -> HeaderMap {
    let mut forwarded = headers.clone();
    strip_hop_headers(&mut forwarded);
    for name in &OWN_HEADERS {
        forwarded.remove(name);
    }
    let names = forwarded
        .keys()
        .filter(|name| interface.is_instance_control_header(name));
    let control: Vec<HeaderName> = names.cloned().collect();
    for name in control {
        forwarded.remove(name);
    }
    forwarded
}

/// Removes hop-by-hop headers.
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
