//! The binary form of a log record: a header with a checksum, followed by the body as serialized by the record's type.
//!
//! Header: magic (4 bytes), body length (4), the length of the segment known to be synced when the record was written
//! (8), checksum of these three fields and the body (4), zero (4). Numbers are little-endian.

use crc32fast::Hasher;

/// A record that a store can hold.
pub trait StoredRecord: Sized {
    /// Returns the binary form.
    fn to_bytes(&self) -> Vec<u8>;
    /// Parses the binary form, or returns `None` if the bytes are not a valid record.
    fn from_bytes(bytes: &[u8]) -> Option<Self>;
}

/// The first bytes of every record.
pub const MAGIC: [u8; 4] = *b"tdp1";
/// The length of a header, in bytes.
pub const HEADER_BYTES: usize = 24;
/// The length of the part of the header that the checksum covers, in bytes.
const CHECKED_HEADER_BYTES: usize = 16;

/// A record header with the right magic. Neither the checksum nor the body has been checked yet.
pub struct Header {
    /// The length of the body, in bytes.
    pub body_bytes: usize,
    /// The offset in the segment up to which everything was synced before the record was written.
    pub synced_before: u64,
    checksum: u32,
}

impl Header {
    /// Parses a header, or returns `None` if the bytes do not begin with the magic of a record.
    pub fn parse(bytes: &[u8; HEADER_BYTES]) -> Option<Header> {
        let rest = bytes.strip_prefix(&MAGIC)?;
        let (length, rest) = rest.split_first_chunk::<4>()?;
        let (synced, rest) = rest.split_first_chunk::<8>()?;
        let (sum, _) = rest.split_first_chunk::<4>()?;
        Some(Header {
            body_bytes: u32::from_le_bytes(*length) as usize,
            synced_before: u64::from_le_bytes(*synced),
            checksum: u32::from_le_bytes(*sum),
        })
    }
}

fn checksum(header: &[u8], body: &[u8]) -> u32 {
    let mut sum = Hasher::new();
    sum.update(&header[..CHECKED_HEADER_BYTES]);
    sum.update(body);
    sum.finalize()
}

/// Appends the binary form of a record to `out`.
///
/// # Panics
///
/// Never in practice: a record in memory can always be serialized.
pub fn encode(record: &impl StoredRecord, synced_before: u64, out: &mut Vec<u8>) {
    let body = record.to_bytes();
    let start = out.len();
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&synced_before.to_le_bytes());
    let sum = checksum(&out[start..], &body);
    out.extend_from_slice(&sum.to_le_bytes());
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&body);
}

/// Decodes a record from its header and body, or returns `None` if the checksum does not match or the body is invalid.
pub fn decode<R: StoredRecord>(header_bytes: &[u8; HEADER_BYTES], header: &Header, body: &[u8]) -> Option<R> {
    if checksum(header_bytes, body) != header.checksum {
        return None;
    }
    R::from_bytes(body)
}
