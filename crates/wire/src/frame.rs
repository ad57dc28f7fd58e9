//! Frames: protocol version (1 byte), length (4), CRC-32 (4), packed content (see
//! the compression), which is `rkyv`.

use crate::compression;
use crate::message::Message;

/// Version of the protocol; another version closes the connection.
pub const PROTOCOL_VERSION: u8 = 6;
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
}

impl Frame {
    /// Encodes a message.
    ///
    /// # Errors
    /// When the message is too long for a frame.
    pub fn of(message: &Message) -> Result<Self, String> {
        let kind = crate::traffic::kind_index(message);
        let bytes = encode(message)?;
        Ok(Self { bytes, kind })
    }

    /// The whole frame.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
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
    if content.len() > MAX_FRAME_BYTES {
        return Err(format!("a message of {} bytes is too long", content.len()));
    }
    let content = compression::pack(&content);
    let mut frame = Vec::with_capacity(HEADER_BYTES + content.len());
    frame.push(PROTOCOL_VERSION);
    frame.extend_from_slice(&(content.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    frame.extend_from_slice(&content);
    Ok(frame)
}

/// Reads a header.
pub(crate) fn decode_header(bytes: &[u8; HEADER_BYTES]) -> Result<Header, String> {
    if bytes[0] != PROTOCOL_VERSION {
        return Err(format!("protocol version {} is not spoken here", bytes[0]));
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
    if crc32fast::hash(content) != checksum {
        return Err("the checksum of a frame is wrong".to_owned());
    }
    let aligned = compression::unpack(content)?;
    rkyv::from_bytes::<Message, rkyv::rancor::Error>(&aligned).map_err(|error| error.to_string())
}
