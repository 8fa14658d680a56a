//! Archived values, compressed.

use rkyv::util::AlignedVec;

/// The longest uncompressed form that is read, in bytes: the longest configuration comes to a third of it.
const MAX_UNCOMPRESSED_BYTES: usize = 64 * 1024 * 1024;

/// Compresses bytes, with their length in front.
pub(crate) fn compress(bytes: &[u8]) -> Vec<u8> {
    lz4_flex::compress_prepend_size(bytes)
}

/// Decompresses into memory that is aligned for archived values. Returns `None` if the bytes are not compressed, or too
/// long.
pub(crate) fn decompress(compressed: &[u8]) -> Option<AlignedVec<16>> {
    let size = u32::from_le_bytes(*compressed.first_chunk::<4>()?) as usize;
    if size > MAX_UNCOMPRESSED_BYTES {
        return None;
    }
    let body = lz4_flex::decompress_size_prepended(compressed).ok()?;
    let mut aligned = AlignedVec::<16>::with_capacity(body.len());
    aligned.extend_from_slice(&body);
    Some(aligned)
}
