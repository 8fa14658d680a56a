//! LZ4 compression of archived values.

use rkyv::util::AlignedVec;

/// Maximum uncompressed length that is accepted, in bytes. The longest configuration takes a third of it.
const MAX_UNCOMPRESSED_BYTES: usize = 64 * 1024 * 1024;

/// Compresses bytes and prepends their uncompressed length.
pub(crate) fn compress(bytes: &[u8]) -> Vec<u8> {
    lz4_flex::compress_prepend_size(bytes)
}

/// Decompresses into memory that is aligned for archived values. Returns `None` if the bytes are not valid compressed
/// data, or declare more than [`MAX_UNCOMPRESSED_BYTES`].
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
