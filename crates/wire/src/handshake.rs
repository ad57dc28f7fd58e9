//! Mutual proof of the cluster key: HMAC-SHA-256 over role, both nonces and identity.
//!
//! Invariant: an identity and a version are accepted only together with a proof that covers them.

use crate::frame::{PREVIOUS_RELEASE_VERSION, PROTOCOL_VERSION};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of a nonce, in bytes.
pub(crate) const NONCE_BYTES: usize = 32;
/// Length of a proof, in bytes.
pub(crate) const PROOF_BYTES: usize = 32;
/// Minimum length of a cluster key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// The secret key that all processes of a cluster share. `Debug` does not show it.
#[derive(Clone)]
pub struct ClusterKey(Vec<u8>);

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey(..)")
    }
}

impl ClusterKey {
    /// Creates a key; `None` when `bytes` is shorter than
    /// [`MIN_KEY_BYTES`](crate::MIN_KEY_BYTES).
    #[must_use]
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= MIN_KEY_BYTES).then(|| Self(bytes.to_vec()))
    }

    fn mac(&self, role: &[u8], nonces: [&[u8]; 2], identity: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("any key length is allowed");
        mac.update(role);
        mac.update(nonces[0]);
        mac.update(nonces[1]);
        mac.update(identity);
        mac
    }

    pub(crate) fn prove(&self, role: &[u8], nonces: [&[u8]; 2], identity: &[u8]) -> Vec<u8> {
        let mac = self.mac(role, nonces, identity);
        mac.finalize().into_bytes().to_vec()
    }

    pub(crate) fn verify(
        &self,
        role: &[u8],
        nonces: [&[u8]; 2],
        identity: &[u8],
        proof: &[u8],
    ) -> bool {
        let mac = self.mac(role, nonces, identity);
        mac.verify_slice(proof).is_ok()
    }
}

/// Identity that a process claims in the handshake. The proof shows that the process holds the
/// cluster key, not that it is the only one with this identity.
#[derive(Debug, Clone, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum PeerIdentity {
    /// A member of the control group.
    Controller(courseshunt_types::ControllerId),
    /// A router and its incarnation.
    Router(courseshunt_types::RouterId, courseshunt_types::Incarnation),
}

impl std::fmt::Display for PeerIdentity {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Controller(id) => write!(formatter, "controller {id}"),
            Self::Router(id, _) => write!(formatter, "router {id}"),
        }
    }
}

/// Marks an identity that is preceded by the sender's protocol version. The previous release sends
/// no version; it reads an identity from the end of the bytes and ignores what precedes it.
const VERSION_MARK: [u8; 16] = *b"courseshunt wire";
/// Length of the prefix of such an identity, in bytes: the mark, the version, and padding that
/// keeps the identity aligned.
const PREFIX_BYTES: usize = 32;

/// Puts the highest protocol version that this build supports in front of an identity.
pub(crate) fn versioned_identity(identity: &[u8]) -> Vec<u8> {
    let mut prefixed = Vec::with_capacity(PREFIX_BYTES + identity.len());
    prefixed.extend_from_slice(&VERSION_MARK);
    prefixed.push(PROTOCOL_VERSION);
    prefixed.resize(PREFIX_BYTES, 0);
    prefixed.extend_from_slice(identity);
    prefixed
}

/// The protocol version to use with a peer that sent this identity: the lower of the two highest
/// ones, or that of the previous release when the peer sent no version.
pub(crate) fn common_version(identity: &[u8]) -> u8 {
    let version = identity.strip_prefix(VERSION_MARK.as_slice());
    let version = version.and_then(|rest| rest.first().copied());
    version.map_or(PREVIOUS_RELEASE_VERSION, |version| {
        version.min(PROTOCOL_VERSION)
    })
}
