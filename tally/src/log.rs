//! The replicated state: logs of entries by origin, and the totals that follow from them.

use std::collections::hash_map::Entry as Slot;
use std::collections::{BTreeMap, HashMap};

use protocol::tally::{Origin, TallyBatch, TallyEntry};

use crate::record::TallyRecord;
use crate::version_vector::VersionVector;

/// How many entries a record of a snapshot holds at most.
const SNAPSHOT_BATCH: usize = 512;
/// What an entry takes in a message beside its texts, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// The place of an entry: the log of an origin, and how many entries come before it there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Dot {
    /// Whose log.
    pub origin: Origin,
    /// How many entries come before it.
    pub sequence: u64,
}

/// What is known of an idempotency key.
#[derive(Clone, Copy, Debug)]
struct Counted {
    /// The amount that counts: the smallest that came with the key.
    amount: u64,
    /// The first place at which the key came here.
    dot: Dot,
}

/// The entries that a replica has. Merging two of them is a union: commutative, associative and idempotent.
///
/// Invariants: an entry never changes its place; a log has no gaps; each total is the sum over the distinct keys of a
/// tally, each with the smallest amount that came with it.
#[derive(Clone, Debug, Default)]
pub struct TallyLog {
    /// The origin of this replica's disk. None before the first record.
    own_origin: Option<Origin>,
    /// Whether this replica had caught up with the others once.
    had_caught_up: bool,
    logs: BTreeMap<Origin, Vec<TallyEntry>>,
    counted: HashMap<String, HashMap<String, Counted>>,
    totals: BTreeMap<String, u128>,
    entry_count: usize,
}

impl TallyLog {
    /// Returns the origin of this replica's disk.
    pub fn own_origin(&self) -> Option<Origin> {
        self.own_origin
    }

    /// Returns whether the disk says that this replica had caught up with the others once.
    pub fn had_caught_up(&self) -> bool {
        self.had_caught_up
    }

    /// Returns how many entries there are in all logs.
    pub fn entry_count(&self) -> usize {
        self.entry_count
    }

    /// Returns the total of a tally, 0 for one that is not known.
    pub fn total(&self, tally: &str) -> u128 {
        self.totals.get(tally).copied().unwrap_or(0)
    }

    /// Returns all tallies with their totals, by name.
    pub fn totals(&self) -> impl Iterator<Item = (&str, u128)> {
        self.totals.iter().map(|(name, total)| (name.as_str(), *total))
    }

    /// Returns the place of a key if it is known in this tally.
    pub fn find(&self, tally: &str, instance_id: &str) -> Option<Dot> {
        self.counted.get(tally)?.get(instance_id).map(|counted| counted.dot)
    }

    /// Appends an entry whose key is not known to the log of the own origin, and returns its place.
    ///
    /// # Panics
    ///
    /// Panics without an own origin.
    pub fn append(&mut self, entry: TallyEntry) -> Dot {
        let origin = self.own_origin.expect("a replica has an origin before it takes entries");
        self.push(origin, entry)
    }

    fn push(&mut self, origin: Origin, entry: TallyEntry) -> Dot {
        let log = self.logs.entry(origin).or_default();
        let dot = Dot { origin, sequence: log.len() as u64 };
        log.push(entry.clone());
        self.entry_count += 1;
        self.count(dot, entry);
        dot
    }

    fn count(&mut self, dot: Dot, entry: TallyEntry) {
        let TallyEntry { tally, instance_id, amount } = entry;
        let total = self.totals.entry(tally.clone()).or_default();
        match self.counted.entry(tally).or_default().entry(instance_id) {
            Slot::Vacant(vacant) => {
                vacant.insert(Counted { amount, dot });
                *total += u128::from(amount);
            }
            Slot::Occupied(mut known) => {
                let known = known.get_mut();
                if amount < known.amount {
                    *total -= u128::from(known.amount - amount);
                    known.amount = amount;
                }
            }
        }
    }

    /// Takes the entries of a batch that follow on what is known, and returns the part of it that was new. `None`: nothing
    /// was new, or entries before the batch are missing.
    pub fn apply(&mut self, batch: &TallyBatch) -> Option<TallyBatch> {
        let known = self.logs.get(&batch.origin).map_or(0, Vec::len) as u64;
        let skipped = known.checked_sub(batch.start)? as usize;
        let entries: Vec<TallyEntry> = batch.entries.get(skipped..).filter(|rest| !rest.is_empty())?.to_vec();
        for entry in &entries {
            self.push(batch.origin, entry.clone());
        }
        Some(TallyBatch { origin: batch.origin, start: known, entries })
    }

    /// Returns how many entries of each log there are.
    pub fn versions(&self) -> VersionVector {
        let mut versions = VersionVector::default();
        for (origin, log) in &self.logs {
            versions.advance(*origin, log.len() as u64);
        }
        versions
    }

    /// Returns entries that a replica lacks and that `durable` has, of the origins that `is_wanted` names, in about
    /// `max_bytes` at most.
    pub fn missing_at(
        &self,
        known: &VersionVector,
        durable: &VersionVector,
        is_wanted: impl Fn(Origin) -> bool,
        max_bytes: usize,
    ) -> Vec<TallyBatch> {
        let mut batches = Vec::new();
        let mut left = max_bytes;
        for (origin, log) in self.logs.iter().filter(|(origin, _)| is_wanted(**origin)) {
            let (start, end) = (known.length(*origin), durable.length(*origin));
            let missing = log.get(start as usize..end as usize).unwrap_or_default();
            let entries: Vec<TallyEntry> = missing.iter().take_while(|entry| take(&mut left, entry)).cloned().collect();
            if !entries.is_empty() {
                batches.push(TallyBatch { origin: *origin, start, entries });
            }
        }
        batches
    }

    /// Applies a record that was found on disk. Records have to come in the order in which they were written.
    pub fn replay(&mut self, record: TallyRecord) {
        match record {
            TallyRecord::Origin(origin) => self.own_origin = Some(origin),
            TallyRecord::CaughtUp => self.had_caught_up = true,
            TallyRecord::Batch(batch) => {
                self.apply(&batch);
            }
        }
    }

    /// Returns records that restore this state.
    pub fn snapshot(&self) -> Vec<TallyRecord> {
        let mut records: Vec<TallyRecord> = self.own_origin.map(TallyRecord::Origin).into_iter().collect();
        records.extend(self.had_caught_up.then_some(TallyRecord::CaughtUp));
        for (origin, log) in &self.logs {
            for (index, entries) in log.chunks(SNAPSHOT_BATCH).enumerate() {
                let start = (index * SNAPSHOT_BATCH) as u64;
                let batch = TallyBatch { origin: *origin, start, entries: entries.to_vec() };
                records.push(TallyRecord::Batch(batch));
            }
        }
        records
    }
}

/// Takes the bytes of an entry from what is left. Returns false once nothing was left before it.
fn take(left: &mut usize, entry: &TallyEntry) -> bool {
    let is_room = *left > 0;
    *left = left.saturating_sub(ENTRY_OVERHEAD_BYTES + entry.tally.len() + entry.instance_id.len());
    is_room
}

#[cfg(test)]
#[path = "log_tests.rs"]
mod tests;
