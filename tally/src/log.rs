//! The replicated state: logs of entries by origin, and the totals computed from them.

use std::ops::Range;
use std::sync::Arc;

use indexmap::IndexMap;
use protocol::tally::{KeyDigest, Origin, PackedBatch, TallyBatch, TallyEntry};

use crate::digest;
use crate::key_index::{KeyIndex, Position};
use crate::limits::EntryCounts;
use crate::origin_log::{OriginLog, TailEntry};
use crate::packed_batch::{self, PackedEntry, PACKED_ENTRY_BYTES};
use crate::record::TallyRecord;
use crate::totals::Totals;
use crate::version_vector::VersionVector;

/// Maximum number of unsealed entries in one record of a snapshot.
const SNAPSHOT_BATCH_ENTRIES: u64 = 512;
/// Size of an entry in a message without its name and key, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// The position of an entry: its origin, and how many entries come before it in the origin's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Dot {
    /// The origin whose log has the entry.
    pub origin: Origin,
    /// How many entries come before it in that log.
    pub sequence: u64,
}

/// The entries that a replica has. Merging two logs is a set union: commutative, associative and idempotent.
///
/// Invariants: an entry never changes its position; a log has no gaps; a tally's total is the sum over its distinct
/// keys of the smallest amount received with each, whether the entries are sealed or not.
#[derive(Clone, Debug, Default)]
pub struct TallyLog {
    /// The origin assigned to this replica's disk; `None` before the first record.
    own_origin: Option<Origin>,
    /// Whether this replica has ever caught up with the others.
    had_caught_up: bool,
    /// Never shrinks: [`KeyIndex`] refers to logs by their index.
    logs: IndexMap<Origin, OriginLog>,
    keys: KeyIndex,
    totals: Totals,
}

impl TallyLog {
    /// Returns the origin assigned to this replica's disk.
    pub fn own_origin(&self) -> Option<Origin> {
        self.own_origin
    }

    /// Returns whether this replica has ever caught up with the others, according to its disk.
    pub fn had_caught_up(&self) -> bool {
        self.had_caught_up
    }

    /// Returns the number of entries in all logs.
    pub fn entry_count(&self) -> usize {
        self.logs.values().map(|log| log.length() as usize).sum()
    }

    /// Returns the numbers of sealed entries, unsealed entries and tallies.
    pub fn counts(&self) -> EntryCounts {
        let sealed = self.logs.values().map(OriginLog::sealed_length).sum();
        EntryCounts { sealed, unsealed: self.entry_count() - sealed, tallies: self.totals.len() }
    }

    /// Returns the total of a tally, 0 if it is unknown.
    pub fn total(&self, tally: &str) -> u128 {
        self.totals.get(tally)
    }

    /// Returns all tallies with their totals, sorted by name.
    pub fn totals(&self) -> impl Iterator<Item = (&str, u128)> {
        self.totals.sorted().into_iter()
    }

    /// Returns the position of the first entry with this key in the tally, if there is one.
    pub fn find(&self, tally: &str, instance_id: &str) -> Option<Dot> {
        let position =
            self.keys.find(digest::digest_key(tally, instance_id), |position| digest_at(&self.logs, position))?;
        let (origin, _) = self.logs.get_index(position.origin as usize)?;
        Some(Dot { origin: *origin, sequence: u64::from(position.sequence) })
    }

    /// Returns whether the entry at this position is sealed.
    pub fn is_sealed(&self, dot: Dot) -> bool {
        self.logs.get(&dot.origin).is_some_and(|log| dot.sequence < log.sealed_length() as u64)
    }

    /// Appends an entry whose key is new to the log of the own origin, and returns its position.
    ///
    /// # Panics
    ///
    /// Panics if this replica has no origin yet.
    pub fn append(&mut self, entry: TallyEntry) -> Dot {
        let origin = self.own_origin.expect("a replica has an origin before it accepts entries");
        self.push_entry(origin, entry)
    }

    fn push_entry(&mut self, origin: Origin, entry: TallyEntry) -> Dot {
        let TallyEntry { tally, instance_id, amount } = entry;
        let tally_id = self.totals.id(&tally);
        let tail = match digest::parse_key(&instance_id) {
            Some(digest) => TailEntry { tally: tally_id, digest, amount, key: None },
            None => {
                let digest = digest::digest_key(&tally, &instance_id);
                TailEntry { tally: tally_id, digest, amount, key: Some(instance_id.into()) }
            }
        };
        self.push(origin, tail)
    }

    fn push_packed(&mut self, origin: Origin, entry: PackedEntry<'_>) {
        let tally = self.totals.id(entry.tally);
        self.push(origin, TailEntry { tally, digest: entry.digest, amount: entry.amount, key: None });
    }

    fn push(&mut self, origin: Origin, entry: TailEntry) -> Dot {
        let slot = self.logs.entry(origin);
        let index = slot.index();
        let sequence = slot.or_default().length();
        self.add_to_totals(Position { origin: index as u32, sequence: sequence as u32 }, &entry);
        self.logs[index].push(entry);
        Dot { origin, sequence }
    }

    fn add_to_totals(&mut self, position: Position, entry: &TailEntry) {
        let Self { logs, keys, totals, .. } = self;
        let digest_at = |position| digest_at(logs, position);
        let Some(first) = keys.find(entry.digest, digest_at) else {
            keys.insert(entry.digest, position, digest_at);
            totals.add(entry.tally, entry.amount);
            return;
        };
        let first_log = &logs[first.origin as usize];
        let first_amount = first_log.packed(u64::from(first.sequence), totals).map_or(0, |first| first.amount);
        let counted = keys.smallest_amount(entry.digest, first_amount);
        if entry.amount < counted {
            totals.subtract(entry.tally, counted - entry.amount);
            keys.record_smaller_amount(entry.digest, entry.amount);
        }
    }

    /// Returns how many entries at the start of a batch are already known; `None` if entries before the batch are
    /// missing, or if the whole batch is known.
    fn known_prefix_length(&self, origin: Origin, start: u64, length: usize) -> Option<usize> {
        let known = self.logs.get(&origin).map_or(0, OriginLog::length);
        let overlap = known.checked_sub(start)? as usize;
        (overlap < length).then_some(overlap)
    }

    /// Appends the entries of a batch that are not yet known, and returns them. Returns `None` if none are new, or if
    /// entries before the batch are missing.
    pub fn apply(&mut self, batch: &TallyBatch) -> Option<TallyBatch> {
        let skipped = self.known_prefix_length(batch.origin, batch.start, batch.entries.len())?;
        let entries = batch.entries[skipped..].to_vec();
        for entry in &entries {
            self.push_entry(batch.origin, entry.clone());
        }
        Some(TallyBatch { origin: batch.origin, start: batch.start + skipped as u64, entries })
    }

    /// Does the same as [`apply`](Self::apply) for a packed batch. An inconsistent batch is ignored.
    pub fn apply_packed(&mut self, batch: &PackedBatch) -> Option<PackedBatch> {
        if !packed_batch::is_consistent(batch) {
            return None;
        }
        let skipped = self.known_prefix_length(batch.origin, batch.start, batch.digests.len())?;
        let new = packed_batch::skip_entries(batch, skipped);
        for entry in (0..new.digests.len()).map_while(|index| packed_batch::entry(&new, index)) {
            self.push_packed(new.origin, entry);
        }
        Some(new)
    }

    /// Seals up to `max_chunks` chunks whose entries are all within `durable`, and returns them. The text of their keys
    /// is dropped.
    pub fn seal(&mut self, durable: &VersionVector, max_chunks: usize) -> Vec<Arc<PackedBatch>> {
        let mut sealed = Vec::new();
        for (origin, log) in &mut self.logs {
            while sealed.len() < max_chunks {
                let Some(chunk) = log.seal_next(*origin, durable.length(*origin), &self.totals) else { break };
                sealed.push(chunk);
            }
        }
        sealed
    }

    /// Returns the length of each origin's log.
    pub fn versions(&self) -> VersionVector {
        let mut versions = VersionVector::default();
        for (origin, log) in &self.logs {
            versions.advance(*origin, log.length());
        }
        versions
    }

    /// Returns the ranges of entries within `durable` that a replica lacks, for the origins that `is_wanted` selects.
    /// `known` are the entries that the replica has.
    fn missing_ranges<'a>(
        &'a self,
        known: &'a VersionVector,
        durable: &'a VersionVector,
        is_wanted: impl Fn(Origin) -> bool + 'a,
    ) -> impl Iterator<Item = (Origin, &'a OriginLog, Range<u64>)> {
        let wanted = self.logs.iter().filter(move |(origin, _)| is_wanted(**origin));
        wanted.filter_map(|(origin, log)| {
            let range = known.length(*origin)..durable.length(*origin).min(log.length());
            (!range.is_empty()).then_some((*origin, log, range))
        })
    }

    /// Returns entries within `durable` that a replica lacks, for the origins that `is_wanted` selects, limited to
    /// about `max_bytes`. `known` are the entries that the replica has.
    pub fn missing_at(
        &self,
        known: &VersionVector,
        durable: &VersionVector,
        is_wanted: impl Fn(Origin) -> bool,
        max_bytes: usize,
    ) -> Vec<TallyBatch> {
        let mut batches = Vec::new();
        let mut remaining = max_bytes;
        for (origin, log, range) in self.missing_ranges(known, durable, is_wanted) {
            let start = range.start;
            let texts = range.map_while(|sequence| log.text(sequence, &self.totals));
            let entries: Vec<TallyEntry> =
                texts.take_while(|entry| consume_budget(&mut remaining, estimate_bytes(entry))).collect();
            if !entries.is_empty() {
                batches.push(TallyBatch { origin, start, entries });
            }
        }
        batches
    }

    /// Does the same as [`missing_at`](Self::missing_at) with packed entries.
    pub fn missing_packed_at(
        &self,
        known: &VersionVector,
        durable: &VersionVector,
        is_wanted: impl Fn(Origin) -> bool,
        max_bytes: usize,
    ) -> Vec<PackedBatch> {
        let mut batches = Vec::new();
        let mut remaining = max_bytes;
        for (origin, log, range) in self.missing_ranges(known, durable, is_wanted) {
            let fitting =
                range.clone().take_while(|_| consume_budget(&mut remaining, PACKED_ENTRY_BYTES)).count() as u64;
            if fitting > 0 {
                batches.push(log.pack(origin, range.start..range.start + fitting, &self.totals));
            }
        }
        batches
    }

    /// Applies a record read from disk. Records must be replayed in the order in which they were written.
    pub fn replay(&mut self, record: TallyRecord) {
        match record {
            TallyRecord::Origin(origin) => self.own_origin = Some(origin),
            TallyRecord::CaughtUp => self.had_caught_up = true,
            TallyRecord::Batch(batch) => {
                self.apply(&batch);
            }
            TallyRecord::Packed(batch) => {
                self.apply_packed(&batch);
            }
            TallyRecord::Sealed(chunk) => {
                self.apply_packed(&chunk);
                if let Some(log) = self.logs.get_mut(&chunk.origin) {
                    log.install_chunk(chunk);
                }
            }
        }
    }

    /// Returns the records that restore this state when they are replayed.
    pub fn snapshot(&self) -> Vec<TallyRecord> {
        let mut records: Vec<TallyRecord> = self.own_origin.map(TallyRecord::Origin).into_iter().collect();
        records.extend(self.had_caught_up.then_some(TallyRecord::CaughtUp));
        for (origin, log) in &self.logs {
            records.extend(log.sealed().iter().cloned().map(TallyRecord::Sealed));
            let mut start = log.sealed_length() as u64;
            while start < log.length() {
                let end = end_of_run(log, start);
                records.push(self.unsealed_record(*origin, log, start..end));
                start = end;
            }
        }
        records
    }

    /// Returns a record of unsealed entries, all of which have the text of their key or none of which do.
    fn unsealed_record(&self, origin: Origin, log: &OriginLog, range: Range<u64>) -> TallyRecord {
        if !log.has_key(range.start) {
            return TallyRecord::Packed(Box::new(log.pack(origin, range, &self.totals)));
        }
        let start = range.start;
        let entries = range.filter_map(|sequence| log.text(sequence, &self.totals)).collect();
        TallyRecord::Batch(TallyBatch { origin, start, entries })
    }
}

fn digest_at(logs: &IndexMap<Origin, OriginLog>, position: Position) -> Option<KeyDigest> {
    let (_, log) = logs.get_index(position.origin as usize)?;
    log.digest(u64::from(position.sequence))
}

/// Returns the end of the run of entries from `start` that all have the text of their key, or all lack it. A run has
/// [`SNAPSHOT_BATCH_ENTRIES`] entries at most.
fn end_of_run(log: &OriginLog, start: u64) -> u64 {
    let has_key = log.has_key(start);
    let limit = log.length().min(start + SNAPSHOT_BATCH_ENTRIES);
    (start..limit).find(|sequence| log.has_key(*sequence) != has_key).unwrap_or(limit)
}

fn estimate_bytes(entry: &TallyEntry) -> usize {
    ENTRY_OVERHEAD_BYTES + entry.tally.len() + entry.instance_id.len()
}

/// Deducts the size of an entry from the remaining byte budget. Returns `false` if the budget was already used up, so
/// that the first entry always fits.
fn consume_budget(remaining: &mut usize, bytes: usize) -> bool {
    let has_budget = *remaining > 0;
    *remaining = remaining.saturating_sub(bytes);
    has_budget
}

#[cfg(test)]
#[path = "log_tests.rs"]
mod tests;
