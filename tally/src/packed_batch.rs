//! Encoding and decoding of packed batches, which store entries as columns with digests in place of keys.

use protocol::tally::{KeyDigest, Origin, PackedAmounts, PackedBatch};

/// Size of a packed entry without the names of tallies, in bytes.
pub(crate) const PACKED_ENTRY_BYTES: usize = 22;

/// One entry of a packed batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PackedEntry<'a> {
    pub tally: &'a str,
    pub digest: KeyDigest,
    pub amount: u64,
}

/// Packs consecutive entries of a log, the first of which is at `start`.
///
/// # Panics
///
/// Panics with more than 65,536 distinct tallies; callers limit the size of batches.
pub(crate) fn pack<'a>(
    origin: Origin,
    start: u64,
    entries: impl ExactSizeIterator<Item = PackedEntry<'a>>,
) -> PackedBatch {
    let mut tallies: Vec<String> = Vec::new();
    let mut tally_of = Vec::with_capacity(entries.len());
    let mut digests = Vec::with_capacity(entries.len());
    let mut amounts = Vec::with_capacity(entries.len());
    for entry in entries {
        let index = tallies.iter().position(|name| name == entry.tally).unwrap_or_else(|| {
            tallies.push(entry.tally.into());
            tallies.len() - 1
        });
        tally_of.push(u16::try_from(index).expect("a batch has at most 65,536 distinct tallies"));
        digests.push(entry.digest);
        amounts.push(entry.amount);
    }
    PackedBatch { origin, start, tallies, tally_of, digests, amounts: pack_amounts(amounts) }
}

/// Stores the amounts in 32 bits each if all of them fit, else in 64 bits.
fn pack_amounts(amounts: Vec<u64>) -> PackedAmounts {
    let narrow: Result<Vec<u32>, _> = amounts.iter().map(|amount| u32::try_from(*amount)).collect();
    narrow.map_or(PackedAmounts::Wide(amounts), PackedAmounts::Narrow)
}

fn amount_at(amounts: &PackedAmounts, index: usize) -> Option<u64> {
    match amounts {
        PackedAmounts::Narrow(amounts) => amounts.get(index).map(|amount| u64::from(*amount)),
        PackedAmounts::Wide(amounts) => amounts.get(index).copied(),
    }
}

/// Returns an entry of a batch; `None` past its end, or if its columns are inconsistent.
pub(crate) fn entry(batch: &PackedBatch, index: usize) -> Option<PackedEntry<'_>> {
    let tally = batch.tallies.get(usize::from(*batch.tally_of.get(index)?))?;
    Some(PackedEntry { tally, digest: *batch.digests.get(index)?, amount: amount_at(&batch.amounts, index)? })
}

/// Returns whether the columns of a batch have the same length and refer only to tallies that it names.
pub(crate) fn is_consistent(batch: &PackedBatch) -> bool {
    let amounts = match &batch.amounts {
        PackedAmounts::Narrow(amounts) => amounts.len(),
        PackedAmounts::Wide(amounts) => amounts.len(),
    };
    let length = batch.digests.len();
    amounts == length
        && batch.tally_of.len() == length
        && batch.tally_of.iter().all(|index| usize::from(*index) < batch.tallies.len())
}

/// Returns a batch without its first `skipped` entries.
pub(crate) fn skip_entries(batch: &PackedBatch, skipped: usize) -> PackedBatch {
    let entries: Vec<PackedEntry<'_>> =
        (skipped..batch.digests.len()).filter_map(|index| entry(batch, index)).collect();
    pack(batch.origin, batch.start + skipped as u64, entries.into_iter())
}

#[cfg(test)]
#[path = "packed_batch_tests.rs"]
mod tests;
