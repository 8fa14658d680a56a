//! The encoding of the core membership in the body of its register.

use protocol::message::CoreMembership;
use rkyv::rancor;
use rkyv::util::AlignedVec;

/// Decodes a core membership from the body of its register, or returns `None` if the body is not one.
pub fn decode_membership(body: &[u8]) -> Option<CoreMembership> {
    let mut aligned = AlignedVec::<16>::with_capacity(body.len());
    aligned.extend_from_slice(body);
    rkyv::from_bytes::<CoreMembership, rancor::Error>(&aligned).ok()
}

/// Encodes a core membership as the body of its register.
///
/// # Panics
///
/// Never for a membership that fits into memory. Returning an empty body instead would commit a core without members.
pub fn encode_membership(membership: &CoreMembership) -> Vec<u8> {
    rkyv::to_bytes::<rancor::Error>(membership).expect("a membership can always be archived").to_vec()
}
