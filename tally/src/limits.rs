//! Validation of entries, and how many of them fit on a machine.

use protocol::tally::TallyEntry;
use thiserror::Error;

/// Maximum length of a tally's name and of an idempotency key, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum amount of one addition: JSON numbers represent every whole number up to it exactly.
pub const MAX_AMOUNT: u64 = (1 << 53) - 1;

const BYTES_PER_MB: u64 = 1 << 20;
/// Tallies may use the memory limit divided by this.
const MEMORY_DIVISOR: u64 = 2;
/// The disk size divided by this is reserved for the log between two snapshots and for the register's store.
const DISK_RESERVE_DIVISOR: u64 = 4;
/// A snapshot and its replacement are on the disk at the same time.
const SNAPSHOTS_ON_DISK: u64 = 2;

/// The space that an entry or a tally takes in memory, including the key index and the copy of the state for snapshots,
/// and in a snapshot. Measured with names of 16 and keys of 24 bytes (`tests/log_size.rs`), and rounded up.
struct EntryCost {
    memory_bytes: u64,
    snapshot_bytes: u64,
}

const SEALED_ENTRY_COST: EntryCost = EntryCost { memory_bytes: 64, snapshot_bytes: 23 };
const UNSEALED_ENTRY_COST: EntryCost = EntryCost { memory_bytes: 256, snapshot_bytes: 100 };
/// A tally's name is stored in the table of totals and in each chunk with entries of the tally.
const TALLY_COST: EntryCost = EntryCost { memory_bytes: 256, snapshot_bytes: 32 };

/// How many entries a replica has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCounts {
    /// Sealed entries, without the text of their keys.
    pub sealed: usize,
    /// Entries that are not yet sealed.
    pub unsealed: usize,
    /// Distinct tallies.
    pub tallies: usize,
}

impl EntryCounts {
    fn total_cost(self, cost: impl Fn(&EntryCost) -> u64) -> u64 {
        let sealed = self.sealed as u64 * cost(&SEALED_ENTRY_COST);
        let unsealed = self.unsealed as u64 * cost(&UNSEALED_ENTRY_COST);
        sealed + unsealed + self.tallies as u64 * cost(&TALLY_COST)
    }
}

/// The memory and disk space that tallies may use on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    memory_bytes: u64,
    /// Space for one snapshot. `u64::MAX` if the disk size is not configured.
    snapshot_bytes: u64,
}

impl Capacity {
    /// Returns the capacity of a machine. A `disk_mb` of 0 means that the disk size is not configured.
    pub fn of_machine(memory_mb: u64, disk_mb: u64) -> Capacity {
        let snapshot_bytes = match disk_mb {
            0 => u64::MAX,
            size_mb => (size_mb - size_mb / DISK_RESERVE_DIVISOR) * BYTES_PER_MB / SNAPSHOTS_ON_DISK,
        };
        Capacity { memory_bytes: memory_mb * BYTES_PER_MB / MEMORY_DIVISOR, snapshot_bytes }
    }

    /// Returns the share of the capacity that entries use; at 1 or above there is no room for another entry.
    pub fn used_share(&self, counts: EntryCounts) -> f64 {
        let memory = counts.total_cost(|cost| cost.memory_bytes) as f64 / self.memory_bytes.max(1) as f64;
        let disk = counts.total_cost(|cost| cost.snapshot_bytes) as f64 / self.snapshot_bytes.max(1) as f64;
        memory.max(disk)
    }
}

/// Why an entry is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidEntry {
    /// The tally's name or the key is empty, too long, or contains a character that is not allowed.
    #[error("{field}: must have 1 to {MAX_NAME_BYTES} printable ASCII characters without spaces or slashes")]
    Name {
        /// The invalid field.
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

/// Validates an entry before it is accepted.
///
/// # Errors
///
/// The first field that is invalid.
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
