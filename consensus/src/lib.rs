//! Replicated registers for the control state: one Paxos instance per key.
//!
//! Each key is an independent register. One owner at a time writes it, under an increasing proposal number, and a
//! change is on the disks of a quorum before it is acknowledged. There is neither a shared log nor a leader of all
//! keys. The terms (acceptor, proposal number, prepare, accept, chosen) are those of Lamport's "Paxos Made Simple".
//!
//! The protocol is pure: [`Acceptor`], [`Round`], [`Proposal`], [`Confirmation`], [`MembershipTransition`] and
//! [`quorum`] take messages and the time as arguments and return what to send and what to write. The controller
//! drives them over the network, the tests in virtual time. Only [`Store`] accesses a disk.

#![deny(missing_docs)]

mod acceptor;
mod confirmation;
mod membership_codec;
mod proposal;
pub mod quorum;
mod reconfiguration;
mod round;
mod storage;
#[cfg(test)]
mod testing;

use kernel::hashing;

pub use acceptor::{Acceptor, LogRecord};
pub use confirmation::{newest_committed, Confirmation, StaleKey};
pub use membership_codec::{decode_membership, encode_membership};
pub use proposal::{Decision, Progress, Proposal};
pub use reconfiguration::{next_membership, stabilized, ClusterView, Health, MembershipTransition, MEMBER_TIMEOUT_MS};
pub use round::{next_term, Ownership, Round, RoundProgress};
pub use storage::{Store, StoreError, StoredRecord};

/// The key of the register that holds the core membership.
pub const MEMBERSHIP_KEY: &str = "core";
/// The timeout of a round, in milliseconds. A round that exceeds it is abandoned, and its outcome is unknown.
pub const ROUND_TIMEOUT_MS: u64 = 900;
/// The delay before an acceptor that lost its disk reads the others, in milliseconds.
///
/// Invariant: longer than [`ROUND_TIMEOUT_MS`], so that every round that counted a response lost with the disk is over
/// by then.
pub const RECOVERY_DELAY_MS: u64 = 1300;

/// Returns the replica id that a controller uses in its proposal numbers.
///
/// It combines the address, which differs between live controllers, with the incarnation, so that two incarnations of
/// one controller never use the same proposal number.
pub fn replica_id(ip: &str, incarnation: u64) -> u64 {
    hashing::combine(hashing::hash(ip.as_bytes()), incarnation)
}
