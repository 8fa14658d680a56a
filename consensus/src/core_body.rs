//! The body of the key `core`: the members, as they are committed.

use protocol::message::CoreMembership;
use rkyv::rancor;
use rkyv::util::AlignedVec;

/// None: not the body of a core.
pub fn read(body: &[u8]) -> Option<CoreMembership> {
    let mut aligned = AlignedVec::<16>::with_capacity(body.len());
    aligned.extend_from_slice(body);
    rkyv::from_bytes::<CoreMembership, rancor::Error>(&aligned).ok()
}

pub fn write(core: &CoreMembership) -> Vec<u8> {
    rkyv::to_bytes::<rancor::Error>(core).map(|body| body.to_vec()).unwrap_or_default()
}
