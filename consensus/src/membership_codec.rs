//! The body of the register of the membership membership, as it is committed.

use protocol::message::CoreMembership;
use rkyv::rancor;
use rkyv::util::AlignedVec;

/// Reads a membership membership from the body of its register, or returns `None` if the body is not one.
pub fn decode_membership(body: &[u8]) -> Option<CoreMembership> {
    let mut aligned = AlignedVec::<16>::with_capacity(body.len());
    aligned.extend_from_slice(body);
    rkyv::from_bytes::<CoreMembership, rancor::Error>(&aligned).ok()
}

/// Returns the body under which a membership membership is committed.
///
/// # Panics
///
/// Never for a membership that fits into memory. Empty bytes would be committed as a core without members.
pub fn encode_membership(membership: &CoreMembership) -> Vec<u8> {
    rkyv::to_bytes::<rancor::Error>(membership).expect("a membership can always be archived").to_vec()
}
