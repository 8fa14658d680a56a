//! Control state. Each key is a register of its own: one owner at a time under a rising proposal number, a
//! change on a majority of the disks before any answer. No common log, no leader for all.

use kernel::clock;

mod acceptor;
mod confirmation;
mod membership_codec;
mod proposal;
pub mod quorum;
mod reconfiguration;
mod round;
mod storage;

pub use acceptor::{Acceptor, LogRecord};
pub use confirmation::{newest_committed, Confirmation, StaleKey};
pub use membership_codec::{decode_membership, encode_membership};
pub use proposal::{Decision, Progress, Proposal};
pub use reconfiguration::{next_membership, stabilized, ClusterView, Health, MembershipTransition, MEMBER_TIMEOUT_MS};
pub use round::{next_term, Ownership, Round, RoundProgress};
pub use storage::{Store, StoreError};

pub const MEMBERSHIP_KEY: &str = "core";
/// A round not over by then is abandoned; its outcome is unknown.
pub const ROUND_TIMEOUT_MS: u64 = 900;
/// An acceptor that lost its disk waits this long before it reads the others, so that every round which
/// counted its lost votes is over. Invariant: above `ROUND_MS`.
pub const RECOVERY_DELAY_MS: u64 = 1300;

/// The seat of a controller in proposal numbers: its address, so that it differs between live controllers, mixed
/// with its incarnation, so that two lives never act under one proposal number.
pub fn replica_id(ip: &str, incarnation: u64) -> u64 {
    clock::combine_hashes(clock::hash(ip.as_bytes()), incarnation)
}

#[cfg(test)]
mod testing;
