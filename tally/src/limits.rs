//! What is taken as an entry, and how many of them a machine bears.

use protocol::tally::TallyEntry;
use thiserror::Error;

/// The longest name of a tally and the longest idempotency key, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// The largest amount of one add: every whole number up to it is exact in JSON.
pub const MAX_AMOUNT: u64 = (1 << 53) - 1;

/// What an entry takes in memory, with its place in the index; measured with names of 16 and keys of 24 bytes.
const ENTRY_BYTES: u64 = 160;
const BYTES_PER_MB: u64 = 1 << 20;
/// The part of the memory limit that entries may take, as a divisor.
const MEMORY_DIVISOR: u64 = 8;
/// The part of the disk that entries may take, as a divisor: a snapshot, the one that replaces it, and the log between.
const DISK_DIVISOR: u64 = 6;

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

/// Returns how many entries a machine bears. A `disk_mb` of 0 is a disk of no stated size.
pub fn max_entries(memory_mb: u64, disk_mb: u64) -> usize {
    let memory_bytes = memory_mb * BYTES_PER_MB / MEMORY_DIVISOR;
    let disk_bytes = match disk_mb {
        0 => u64::MAX,
        stated => stated * BYTES_PER_MB / DISK_DIVISOR,
    };
    (memory_bytes.min(disk_bytes) / ENTRY_BYTES) as usize
}

#[cfg(test)]
#[path = "limits_tests.rs"]
mod tests;
