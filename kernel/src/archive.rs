//! Serialization of types that daemons store or send as `rkyv` archives.

/// Implements `from_bytes` and `to_bytes` for a type that derives the `rkyv` traits.
///
/// The bytes are validated when read. They depend on the order of fields and variants, which must never change.
#[macro_export]
macro_rules! impl_archive_bytes {
    ($type:ty) => {
        impl $type {
            /// Deserializes the archived form; `None` if the bytes are not valid.
            pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
                // `rkyv` requires aligned bytes; those read from a connection or a file may not be.
                let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
                aligned.extend_from_slice(bytes);
                rkyv::from_bytes::<$type, rkyv::rancor::Error>(&aligned).ok()
            }

            /// Serializes the value to its archived form.
            ///
            /// # Panics
            ///
            /// Panics if serialization fails, which only a value that does not fit into memory can cause. Returning
            /// empty bytes instead would commit the value as absent.
            pub fn to_bytes(&self) -> Vec<u8> {
                rkyv::to_bytes::<rkyv::rancor::Error>(self).expect("serialization of an archive failed").to_vec()
            }
        }
    };
}
