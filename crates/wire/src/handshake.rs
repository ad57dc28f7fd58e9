//! Mutual proof of the cluster key: HMAC-SHA-256 over both sides' nonces.

use crate::frame::{PREVIOUS_RELEASE_VERSION, PROTOCOL_VERSION};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Bytes of a nonce.
pub(crate) const NONCE_BYTES: usize = 32;
/// Bytes of a proof.
pub(crate) const PROOF_BYTES: usize = 32;
/// Shortest key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// The key that all processes of a cluster share.
#[derive(Clone)]
pub struct ClusterKey(Vec<u8>);

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey(..)")
    }
}

impl ClusterKey {
    /// A key from its bytes, at least [`MIN_KEY_BYTES`](crate::MIN_KEY_BYTES) long.
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

/// Who a process says it is; proved by the handshake to know the cluster key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum PeerIdentity {
    /// A member of the control group.
    Controller(courseshunt_types::ControllerId),
    /// A router, with its incarnation.
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

/// Stands before the identity of a process that tells which version it speaks. A build that
/// tells none reads an identity from the end of its bytes, and passes over what is before.
const TELLS_VERSION: [u8; 16] = *b"courseshunt wire";
/// Bytes before such an identity: the mark, the version, and room, so that the identity stays
/// aligned.
const PREFIX_BYTES: usize = 32;

/// An identity as it is sent, with the highest version that this build speaks.
pub(crate) fn told_identity(identity: &[u8]) -> Vec<u8> {
    let mut told = Vec::with_capacity(PREFIX_BYTES + identity.len());
    told.extend_from_slice(&TELLS_VERSION);
    told.push(PROTOCOL_VERSION);
    told.resize(PREFIX_BYTES, 0);
    told.extend_from_slice(identity);
    told
}

/// The version in which to speak with a peer that sent this identity.
pub(crate) fn common_version(told: &[u8]) -> u8 {
    let version = told.strip_prefix(TELLS_VERSION.as_slice());
    let version = version.and_then(|rest| rest.first().copied());
    version.map_or(PREVIOUS_RELEASE_VERSION, |version| {
        version.min(PROTOCOL_VERSION)
    })
}
