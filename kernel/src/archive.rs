//! Types that daemons store or send as `rkyv` archives.

/// Implements `from_bytes` and `to_bytes` for a type that derives the `rkyv` traits.
///
/// The bytes are validated when read. They depend on the order of fields and variants, so that order must never change.
#[macro_export]
macro_rules! impl_archive_bytes {
    ($type:ty) => {
        impl $type {
            /// Reads the archived form; none if the bytes are not valid.
            pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
                // An archive must be aligned; bytes from a connection or a file need not be.
                let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
                aligned.extend_from_slice(bytes);
                rkyv::from_bytes::<$type, rkyv::rancor::Error>(&aligned).ok()
            }

            /// Writes the archived form.
            ///
            /// # Panics
            ///
            /// Never for a value that fits into memory. Empty bytes would be committed as a value that is absent.
            pub fn to_bytes(&self) -> Vec<u8> {
                rkyv::to_bytes::<rkyv::rancor::Error>(self).expect("a value can always be archived").to_vec()
            }
        }
    };
}
