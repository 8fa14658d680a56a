//! What is taken as an entry, and how many of them a machine bears.

use protocol::tally::TallyEntry;
use thiserror::Error;

/// The longest name of a tally and the longest idempotency key, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// The largest amount of one add: every whole number up to it is exact in JSON.
pub const MAX_AMOUNT: u64 = (1 << 53) - 1;

const BYTES_PER_MB: u64 = 1 << 20;
/// The part of the memory limit that tallies may take, as a divisor.
const MEMORY_DIVISOR: u64 = 2;
/// The part of the disk that tallies leave to others, as a divisor: the log between two snapshots, and the register's store.
const DISK_RESERVE_DIVISOR: u64 = 4;
/// A snapshot and the one that replaces it are on the disk at once.
const SNAPSHOTS: u64 = 2;

/// What an entry takes: in memory with its place in the index and in the state that snapshots are made of, and in a snapshot.
/// Measured with names of 16 and keys of 24 bytes (`tests/log_size.rs`), and rounded up.
struct EntryCost {
    memory_bytes: u64,
    snapshot_bytes: u64,
}

const SEALED_ENTRY: EntryCost = EntryCost { memory_bytes: 64, snapshot_bytes: 23 };
const UNSEALED_ENTRY: EntryCost = EntryCost { memory_bytes: 256, snapshot_bytes: 100 };
/// A tally's name stands in the table of totals, and once more in each chunk that has entries of it.
const TALLY: EntryCost = EntryCost { memory_bytes: 256, snapshot_bytes: 32 };

/// How many entries a replica has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCounts {
    /// Without texts of their keys.
    pub sealed: usize,
    /// With them, or not yet sealed.
    pub unsealed: usize,
    /// Different tallies.
    pub tallies: usize,
}

impl EntryCounts {
    fn sum(self, cost: impl Fn(&EntryCost) -> u64) -> u64 {
        let sealed = self.sealed as u64 * cost(&SEALED_ENTRY);
        let unsealed = self.unsealed as u64 * cost(&UNSEALED_ENTRY);
        sealed + unsealed + self.tallies as u64 * cost(&TALLY)
    }
}

/// How much of a machine tallies may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    memory_bytes: u64,
    /// For one snapshot. `u64::MAX` on a disk of no stated size.
    snapshot_bytes: u64,
}

impl Capacity {
    /// Returns what a machine bears. A `disk_mb` of 0 is a disk of no stated size.
    pub fn of_machine(memory_mb: u64, disk_mb: u64) -> Capacity {
        let snapshot_bytes = match disk_mb {
            0 => u64::MAX,
            stated => (stated - stated / DISK_RESERVE_DIVISOR) * BYTES_PER_MB / SNAPSHOTS,
        };
        Capacity { memory_bytes: memory_mb * BYTES_PER_MB / MEMORY_DIVISOR, snapshot_bytes }
    }

    /// Returns the part of the capacity that entries take: 1 where there is room for no further one.
    pub fn used_share(&self, counts: EntryCounts) -> f64 {
        let memory = counts.sum(|cost| cost.memory_bytes) as f64 / self.memory_bytes.max(1) as f64;
        let disk = counts.sum(|cost| cost.snapshot_bytes) as f64 / self.snapshot_bytes.max(1) as f64;
        memory.max(disk)
    }
}

/// Why an entry is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidEntry {
    /// The name of the tally or the key is empty, too long, or has a character that is not allowed.
    #[error("{field}: must have 1 to {MAX_NAME_BYTES} printable ASCII characters without spaces or slashes")]
    Name {
        /// Which of them.
        field: &'static str,
    },
    /// The amount is too large.
    #[error("actor: found {0}, must be a whole number from 0 to {MAX_AMOUNT}")]
    Amount(u64),
}

fn check_name(name: &str, field: &'static str) -> Result<(), InvalidEntry> {
    let is_valid =
        (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/');
    if is_valid {
        Ok(())
    } else {
        Err(InvalidEntry::Name { field })
    }
}

/// Checks an entry before it is taken.
///
/// # Errors
///
/// Which part of it is not allowed.
pub fn check_entry(entry: &TallyEntry) -> Result<(), InvalidEntry> {
    check_name(&entry.tally, "tally")?;
    check_name(&entry.instance_id, "instance_id")?;
    if entry.amount > MAX_AMOUNT {
        return Err(InvalidEntry::Amount(entry.amount));
    }
    Ok(())
}

#[cfg(test)]
#[path = "limits_tests.rs"]
mod tests;
