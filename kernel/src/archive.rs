//! Types in their form as bytes.

/// Gives a type its form as bytes: validated when read.
#[macro_export]
macro_rules! impl_archive_bytes {
    ($kind:ty) => {
        impl $kind {
            pub fn from_bytes(body: &[u8]) -> Option<Self> {
                let mut room = rkyv::util::AlignedVec::<16>::with_capacity(body.len());
                room.extend_from_slice(body);
                rkyv::from_bytes::<$kind, rkyv::rancor::Error>(&room).ok()
            }

            pub fn to_bytes(&self) -> Vec<u8> {
                rkyv::to_bytes::<rkyv::rancor::Error>(self).map(|body| body.to_vec()).unwrap_or_default()
            }
        }
    };
}
