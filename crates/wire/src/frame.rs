//! Frames: protocol version (1 byte), length of the content (4 bytes, little-endian), CRC-32 of the
//! content (4 bytes, little-endian), content. The content is the `rkyv` bytes of a message, packed
//! by [`compression`].
//!
//! Invariant: a frame is decoded only if its version is the one agreed for the connection and its
//! checksum matches.

use crate::compression;
use crate::message::Message;
use crate::previous_release;
use rkyv::util::AlignedVec;
use std::sync::OnceLock;

/// Protocol version that processes of this build use with each other.
pub const PROTOCOL_VERSION: u8 = 10;
/// Protocol version of the previous release, the only one that it supports: see
/// [`crate::previous_release`].
pub const PREVIOUS_RELEASE_VERSION: u8 = 2;
/// Maximum length of the content of a frame, in bytes, before and after packing.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Maximum length of a command of the replicated log, in bytes. An entry that fits no message would
/// be appended by the leader and could never be replicated. The difference to [`MAX_FRAME_BYTES`]
/// is reserved for the other fields of the message.
pub const MAX_COMMAND_BYTES: usize = MAX_FRAME_BYTES - 64 * 1024;
/// Length of the header, in bytes.
pub(crate) const HEADER_BYTES: usize = 9;

/// Decoded header of a frame.
pub(crate) struct Header {
    pub(crate) length: usize,
    pub(crate) checksum: u32,
}

/// A message that is encoded once and can be sent to several peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    bytes: Vec<u8>,
    kind: usize,
    /// The frame for peers of the previous release, encoded when it is first needed; `None` when
    /// their version can't express the message.
    previous_release: OnceLock<Option<Vec<u8>>>,
}

impl Frame {
    /// Encodes a message.
    ///
    /// # Errors
    /// When the message is too long for a frame.
    pub fn of(message: &Message) -> Result<Self, String> {
        let kind = crate::traffic::kind_index(message);
        let bytes = encode(message)?;
        Ok(Self {
            bytes,
            kind,
            previous_release: OnceLock::new(),
        })
    }

    /// The whole frame, header included, in the current version.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The whole frame for a peer of this version; `None` when that version can't express the
    /// message.
    pub(crate) fn bytes_for(&self, version: u8) -> Option<&[u8]> {
        match version {
            PREVIOUS_RELEASE_VERSION => self
                .previous_release
                .get_or_init(|| self.to_previous_release())
                .as_deref(),
            _ => Some(&self.bytes),
        }
    }

    fn to_previous_release(&self) -> Option<Vec<u8>> {
        let (header, content) = self.bytes.split_first_chunk::<HEADER_BYTES>()?;
        let header = decode_header(header, PROTOCOL_VERSION).ok()?;
        let message = decode(content, header.checksum);
        match message.and_then(|message| previous_release::encode(&message)) {
            Ok(bytes) => bytes,
            Err(problem) => {
                log::error!(
                    "wire: encoding a message for peers of the previous release failed: {problem}"
                );
                None
            }
        }
    }

    /// Index of the message's kind in the traffic counters.
    pub(crate) fn kind(&self) -> usize {
        self.kind
    }
}

/// Encodes a message as a whole frame of the current version.
///
/// # Errors
/// When the message is too long for a frame.
pub fn encode(message: &Message) -> Result<Vec<u8>, String> {
    let content = rkyv::to_bytes::<rkyv::rancor::Error>(message);
    let content = content.map_err(|error| error.to_string())?;
    wrap(&content, PROTOCOL_VERSION)
}

/// Packs a content and puts the header of this version in front of it.
pub(crate) fn wrap(content: &[u8], version: u8) -> Result<Vec<u8>, String> {
    if content.len() > MAX_FRAME_BYTES {
        return Err(format!("a message of {} bytes is too long", content.len()));
    }
    let content = compression::pack(content);
    let mut frame = Vec::with_capacity(HEADER_BYTES + content.len());
    frame.push(version);
    frame.extend_from_slice(&(content.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    frame.extend_from_slice(&content);
    Ok(frame)
}

/// Decodes the header of a frame on a connection that uses `version`.
pub(crate) fn decode_header(bytes: &[u8; HEADER_BYTES], version: u8) -> Result<Header, String> {
    if bytes[0] != version {
        return Err(format!(
            "protocol version {} is not spoken here: this build speaks {PROTOCOL_VERSION}, and \
             {PREVIOUS_RELEASE_VERSION} with peers of the previous release",
            bytes[0]
        ));
    }
    let length = u32::from_le_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]) as usize;
    if length > MAX_FRAME_BYTES + 1 {
        return Err(format!("a frame of {length} bytes is too long"));
    }
    let checksum = u32::from_le_bytes([bytes[5], bytes[6], bytes[7], bytes[8]]);
    Ok(Header { length, checksum })
}

/// Decodes the content of a frame of the current version.
///
/// # Errors
/// When the checksum or the content is invalid.
pub fn decode(content: &[u8], checksum: u32) -> Result<Message, String> {
    let aligned = open(content, checksum)?;
    rkyv::from_bytes::<Message, rkyv::rancor::Error>(&aligned).map_err(|error| error.to_string())
}

/// Verifies the checksum of a frame's content and unpacks it.
pub(crate) fn open(content: &[u8], checksum: u32) -> Result<AlignedVec<16>, String> {
    if crc32fast::hash(content) != checksum {
        return Err("frame checksum mismatch".to_owned());
    }
    compression::unpack(content)
}
