//! What a request asks, apart from its identity and its headers: requests of one caller
//! that ask the same have the same digest at every router.

use courseshunt_types::Digest;

/// See the module.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Whose it is; none where no key is needed. In the digest, so that no tenant's
    /// requests tell anything about another's.
    pub tenant: Option<&'a str>,
    /// Method.
    pub method: &'a str,
    /// Host that it is sent to, in any case.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// The digest. Each part goes in with its length, so that parts can't run together.
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
