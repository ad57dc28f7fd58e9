//! Frames: protocol version (1 byte), length (4), CRC-32 (4), packed content (see
//! the compression), which is `rkyv`.

use crate::compression;
use crate::message::Message;
use crate::previous_release;
use rkyv::util::AlignedVec;
use std::sync::OnceLock;

/// Version of the protocol that this build speaks with its equals.
pub const PROTOCOL_VERSION: u8 = 6;
/// Version that production's build speaks, which knows no other one: see [`crate::previous_release`].
pub const PREVIOUS_RELEASE_VERSION: u8 = 2;
/// Longest content of a frame, in bytes, packed or not.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Longest command of the replicated log, in bytes: an entry that fits no message would be
/// appended by the leader and reach nobody. The rest is for what goes with it.
pub const MAX_COMMAND_BYTES: usize = MAX_FRAME_BYTES - 64 * 1024;
/// Bytes before the content.
pub(crate) const HEADER_BYTES: usize = 9;

/// Header of a frame.
pub(crate) struct Header {
    pub(crate) length: usize,
    pub(crate) checksum: u32,
}

/// A message that is encoded once and sent to many.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    bytes: Vec<u8>,
    kind: usize,
    /// The same for peers of the earlier version, once there was one; none: they have no word
    /// for it.
    earlier: OnceLock<Option<Vec<u8>>>,
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
            earlier: OnceLock::new(),
        })
    }

    /// The whole frame.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The whole frame for a peer of this version; none: it has no word for the message.
    pub(crate) fn bytes_for(&self, version: u8) -> Option<&[u8]> {
        match version {
            PREVIOUS_RELEASE_VERSION => self.earlier.get_or_init(|| self.to_earlier()).as_deref(),
            _ => Some(&self.bytes),
        }
    }

    fn to_earlier(&self) -> Option<Vec<u8>> {
        let (header, content) = self.bytes.split_first_chunk::<HEADER_BYTES>()?;
        let header = decode_header(header, PROTOCOL_VERSION).ok()?;
        let message = decode(content, header.checksum);
        match message.and_then(|message| previous_release::encode(&message)) {
            Ok(bytes) => bytes,
            Err(problem) => {
                log::error!("wire: a message can't be put for an earlier build: {problem}");
                None
            }
        }
    }

    /// Place of the message's kind in the traffic counters.
    pub(crate) fn kind(&self) -> usize {
        self.kind
    }
}

/// A message as a whole frame, or what is wrong with it.
///
/// # Errors
/// When the message is too long for a frame.
pub fn encode(message: &Message) -> Result<Vec<u8>, String> {
    let content = rkyv::to_bytes::<rkyv::rancor::Error>(message);
    let content = content.map_err(|error| error.to_string())?;
    wrap(&content, PROTOCOL_VERSION)
}

/// A content as a whole frame of this version.
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

/// Reads a header of a frame on a connection of this version.
pub(crate) fn decode_header(bytes: &[u8; HEADER_BYTES], version: u8) -> Result<Header, String> {
    if bytes[0] != version {
        return Err(format!(
            "protocol version {} is not spoken here: this build speaks {PROTOCOL_VERSION}, and \
             {PREVIOUS_RELEASE_VERSION} with production's",
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

/// Reads the content of a frame.
///
/// # Errors
/// When checksum or content are wrong.
pub fn decode(content: &[u8], checksum: u32) -> Result<Message, String> {
    let aligned = open(content, checksum)?;
    rkyv::from_bytes::<Message, rkyv::rancor::Error>(&aligned).map_err(|error| error.to_string())
}

/// The content of a frame, checked and unpacked.
pub(crate) fn open(content: &[u8], checksum: u32) -> Result<AlignedVec<16>, String> {
    if crc32fast::hash(content) != checksum {
        return Err("the checksum of a frame is wrong".to_owned());
    }
    compression::unpack(content)
}
