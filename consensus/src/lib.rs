//! Control state. Each key is a register of its own: one owner at a time under a rising ballot, a
//! change on a majority of the disks before any answer. No common log, no leader for all.

use kernel::hashing;

pub mod acceptor;
pub mod confirmation;
pub mod core_body;
mod folder;
mod listing;
pub mod proposal;
pub mod quorum;
pub mod reconfiguration;
pub mod record;
mod recovery;
pub mod round;
mod segment;
pub mod store;
mod store_error;

pub const MEMBERSHIP_KEY: &str = "core";
/// A round not over by then is abandoned; its outcome is unknown.
pub const ROUND_TIMEOUT_MS: u64 = 900;
/// A voter without memory waits this long before it reads the others, so that every round which
/// counted its lost votes is over. Invariant: above `ROUND_MS`.
pub const RECOVERY_DELAY_MS: u64 = 1300;

/// The seat of a controller in ballots: its address, so that it differs between live controllers, mixed
/// with its life, so that two lives never act under one ballot.
pub fn replica_id(ip: &str, life: u64) -> u64 {
    hashing::combine(hashing::hash(ip.as_bytes()), life)
}

#[cfg(test)]
mod model;
#[cfg(test)]
mod sim;
#[cfg(test)]
mod simulated_disk;
#[cfg(test)]
mod simulated_folder;
#[cfg(test)]
mod store_model;
