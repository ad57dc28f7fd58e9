//! The content of a request without its identity and its headers.
//!
//! Invariant: requests of one tenant with equal content have the same digest at every router.

use courseshunt_types::Digest;

/// The parts of a request that its content digest covers.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Name of the tenant; `None` where no key is needed. Part of the digest, so that the
    /// requests of one tenant reveal nothing about those of another.
    pub tenant: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Requested host, in upper or lower case.
    pub host: &'a str,
    /// Path and query string.
    pub target: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Digest of the content. Each part is hashed with its length, so that different divisions
    /// of the same bytes give different digests.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let host = self.host.to_ascii_lowercase();
        let parts = [
            self.tenant.map(str::as_bytes),
            Some(self.method.as_bytes()),
            Some(host.as_bytes()),
            Some(self.target.as_bytes()),
            Some(self.body),
        ];
        Digest::of_parts(parts)
    }
}
