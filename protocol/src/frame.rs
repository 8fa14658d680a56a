//! Frames: a header of fixed length, followed by one validated message. A frame that is malformed or too new is an
//! error, and closes only the connection that it arrived on.
//!
//! A header holds, in little-endian order: the magic number (4 bytes), the framing version (2), the kind (2), the id
//! (8) and the length of the body (4).

use std::{error, fmt};

use rkyv::rancor;
use rkyv::util::AlignedVec;

use crate::message::{ArchivedMessage, Message, MessageKind};

/// The oldest framing version that is accepted.
pub const OLDEST_VERSION: u16 = 1;
/// The framing version that is written, and the newest that is accepted.
pub const NEWEST_VERSION: u16 = 1;
/// Maximum length of a body in bytes. A reader checks it before it allocates memory.
pub const MAX_BODY_BYTES: usize = 12 * 1024 * 1024;
/// The length of a header in bytes.
pub const HEADER_BYTES: usize = 20;
/// The magic number at the start of every frame.
const MAGIC: u32 = 0x7464_7031;

/// The decoded header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The framing version.
    pub version: u16,
    /// Whether the message is a request, a response or a notification.
    pub kind: Kind,
    /// Identifies a request on its connection; a response carries the id of its request.
    pub id: u64,
    /// The length of the body in bytes.
    pub len: usize,
}

/// The role of a message in an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Expects a response.
    Request,
    /// Responds to the request with the same id.
    Response,
    /// Expects no response.
    Notification,
}

/// Why bytes can't be decoded as a frame, or a message can't be encoded as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The header does not begin with the magic number.
    InvalidMagic,
    /// The header has this framing version, which is not supported.
    UnsupportedVersion(u16),
    /// The header has this number in place of a known kind.
    UnknownKind(u16),
    /// The body has this many bytes, more than [`MAX_BODY_BYTES`].
    TooLong(usize),
    /// The body is not a valid message.
    InvalidBody,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FrameError::InvalidMagic => write!(formatter, "the frame does not begin with the magic number {MAGIC:#x}"),
            FrameError::UnsupportedVersion(version) => {
                write!(formatter, "unsupported frame version {version}, expected {OLDEST_VERSION} to {NEWEST_VERSION}")
            }
            FrameError::UnknownKind(kind) => write!(formatter, "unknown frame kind {kind}"),
            FrameError::TooLong(bytes) => {
                write!(formatter, "the frame body has {bytes} bytes, at most {MAX_BODY_BYTES} are allowed")
            }
            FrameError::InvalidBody => formatter.write_str("the frame body is not a valid message"),
        }
    }
}

impl error::Error for FrameError {}

/// Encodes a message as a frame.
///
/// # Errors
///
/// If the encoded message is longer than [`MAX_BODY_BYTES`].
pub fn encode(kind: Kind, id: u64, message: &Message) -> Result<Vec<u8>, FrameError> {
    let body = rkyv::to_bytes::<rancor::Error>(message).map_err(|_| FrameError::InvalidBody)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    let kind: u16 = match kind {
        Kind::Request => 1,
        Kind::Response => 2,
        Kind::Notification => 3,
    };
    frame.extend_from_slice(&MAGIC.to_le_bytes());
    frame.extend_from_slice(&NEWEST_VERSION.to_le_bytes());
    frame.extend_from_slice(&kind.to_le_bytes());
    frame.extend_from_slice(&id.to_le_bytes());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Decodes a header.
///
/// # Errors
///
/// If the bytes are not a frame header, or its version, kind or length is not supported.
pub fn decode_header(bytes: &[u8; HEADER_BYTES]) -> Result<Header, FrameError> {
    if bytes[..4] != MAGIC.to_le_bytes() {
        return Err(FrameError::InvalidMagic);
    }
    let version = u16::from_le_bytes([bytes[4], bytes[5]]);
    if !(OLDEST_VERSION..=NEWEST_VERSION).contains(&version) {
        return Err(FrameError::UnsupportedVersion(version));
    }
    let kind = match u16::from_le_bytes([bytes[6], bytes[7]]) {
        1 => Kind::Request,
        2 => Kind::Response,
        3 => Kind::Notification,
        other => return Err(FrameError::UnknownKind(other)),
    };
    let mut id = [0; 8];
    id.copy_from_slice(&bytes[8..16]);
    let len = u32::from_le_bytes([bytes[16], bytes[17], bytes[18], bytes[19]]) as usize;
    if len > MAX_BODY_BYTES {
        return Err(FrameError::TooLong(len));
    }
    Ok(Header { version, kind, id: u64::from_le_bytes(id), len })
}

/// Validates and decodes a body.
///
/// # Errors
///
/// If the bytes are not a valid message.
pub fn decode_body(body: &[u8]) -> Result<Message, FrameError> {
    let mut aligned = AlignedVec::<16>::with_capacity(body.len());
    aligned.extend_from_slice(body);
    rkyv::from_bytes::<Message, rancor::Error>(&aligned).map_err(|_| FrameError::InvalidBody)
}

/// Returns the kind of the message in a frame that was encoded here or decoded without an error, or `None` if the frame
/// holds no message.
///
/// The archived message is at the end of the body and begins with its variant number.
pub fn message_kind(frame: &[u8]) -> Option<MessageKind> {
    let message_offset =
        frame.len().checked_sub(size_of::<ArchivedMessage>()).filter(|offset| *offset >= HEADER_BYTES)?;
    MessageKind::from_repr(frame[message_offset])
}

#[cfg(test)]
#[path = "frame_tests.rs"]
mod tests;
