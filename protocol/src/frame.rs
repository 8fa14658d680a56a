//! Frames: a fixed head, then one validated message. What is malformed or too new is an error that
//! costs its sender the connection and nothing else.

use rkyv::rancor;
use rkyv::util::AlignedVec;

use crate::message::Message;

pub const OLDEST_VERSION: u16 = 1;
pub const NEWEST_VERSION: u16 = 1;
/// Invariant: no frame's body is longer; the reader checks before it makes room.
pub const MAX_BODY_BYTES: usize = 12 * 1024 * 1024;
pub const HEADER_BYTES: usize = 20;
const MAGIC: u32 = 0x7464_7031;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub version: u16,
    pub kind: Kind,
    pub id: u64,
    pub len: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Request,
    Response,
    Notification,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    BadMagic,
    UnsupportedVersion(u16),
    UnknownKind(u16),
    TooLong(usize),
    InvalidBody,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(out, "{self:?}")
    }
}

pub fn encode(kind: Kind, id: u64, msg: &Message) -> Result<Vec<u8>, FrameError> {
    let body = rkyv::to_bytes::<rancor::Error>(msg).map_err(|_| FrameError::InvalidBody)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut out = Vec::with_capacity(HEADER_BYTES + body.len());
    let word: u16 = match kind {
        Kind::Request => 1,
        Kind::Response => 2,
        Kind::Notification => 3,
    };
    out.extend_from_slice(&MAGIC.to_le_bytes());
    out.extend_from_slice(&NEWEST_VERSION.to_le_bytes());
    out.extend_from_slice(&word.to_le_bytes());
    out.extend_from_slice(&id.to_le_bytes());
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&body);
    Ok(out)
}

pub fn decode_header(bytes: &[u8; HEADER_BYTES]) -> Result<Header, FrameError> {
    if bytes[..4] != MAGIC.to_le_bytes() {
        return Err(FrameError::BadMagic);
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

/// Validates and reads a body.
pub fn decode_body(body: &[u8]) -> Result<Message, FrameError> {
    let mut room = AlignedVec::<16>::with_capacity(body.len());
    room.extend_from_slice(body);
    rkyv::from_bytes::<Message, rancor::Error>(&room).map_err(|_| FrameError::InvalidBody)
}

#[cfg(test)]
#[path = "frame_tests.rs"]
mod tests;
