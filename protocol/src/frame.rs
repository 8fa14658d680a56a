//! Frames: a fixed head, then one validated message. What is malformed or too new is an error that
//! costs its sender the connection and nothing else.

use rkyv::rancor;
use rkyv::util::AlignedVec;

use crate::message::Message;

pub const OLDEST: u16 = 1;
pub const NEWEST: u16 = 1;
/// Invariant: no frame's body is longer; the reader checks before it makes room.
pub const MOST: usize = 12 * 1024 * 1024;
pub const HEAD: usize = 20;
const MARK: u32 = 0x7464_7031;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub version: u16,
    pub kind: Kind,
    pub id: u64,
    pub len: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Ask,
    Reply,
    Cast,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    Mark,
    Stamp(u16),
    Kind(u16),
    Long(usize),
    Body,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(out, "{self:?}")
    }
}

pub fn seal(kind: Kind, id: u64, msg: &Message) -> Result<Vec<u8>, FrameError> {
    let body = rkyv::to_bytes::<rancor::Error>(msg).map_err(|_| FrameError::Body)?;
    if body.len() > MOST {
        return Err(FrameError::Long(body.len()));
    }
    let mut out = Vec::with_capacity(HEAD + body.len());
    let word: u16 = match kind {
        Kind::Ask => 1,
        Kind::Reply => 2,
        Kind::Cast => 3,
    };
    out.extend_from_slice(&MARK.to_le_bytes());
    out.extend_from_slice(&NEWEST.to_le_bytes());
    out.extend_from_slice(&word.to_le_bytes());
    out.extend_from_slice(&id.to_le_bytes());
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&body);
    Ok(out)
}

pub fn head(bytes: &[u8; HEAD]) -> Result<Head, FrameError> {
    if bytes[..4] != MARK.to_le_bytes() {
        return Err(FrameError::Mark);
    }
    let version = u16::from_le_bytes([bytes[4], bytes[5]]);
    if !(OLDEST..=NEWEST).contains(&version) {
        return Err(FrameError::Stamp(version));
    }
    let kind = match u16::from_le_bytes([bytes[6], bytes[7]]) {
        1 => Kind::Ask,
        2 => Kind::Reply,
        3 => Kind::Cast,
        other => return Err(FrameError::Kind(other)),
    };
    let mut id = [0; 8];
    id.copy_from_slice(&bytes[8..16]);
    let len = u32::from_le_bytes([bytes[16], bytes[17], bytes[18], bytes[19]]) as usize;
    if len > MOST {
        return Err(FrameError::Long(len));
    }
    Ok(Head { version, kind, id: u64::from_le_bytes(id), len })
}

/// Validates and reads a body.
pub fn open(body: &[u8]) -> Result<Message, FrameError> {
    let mut room = AlignedVec::<16>::with_capacity(body.len());
    room.extend_from_slice(body);
    rkyv::from_bytes::<Message, rancor::Error>(&room).map_err(|_| FrameError::Body)
}

#[cfg(test)]
#[path = "frame_tests.rs"]
mod tests;
