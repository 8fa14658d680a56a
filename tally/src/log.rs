//! The replicated state: logs of entries by origin, and the totals that follow from them.

use std::ops::Range;
use std::sync::Arc;

use indexmap::IndexMap;
use protocol::tally::{KeyDigest, Origin, PackedBatch, TallyBatch, TallyEntry};

use crate::digest;
use crate::key_index::{KeyIndex, Place};
use crate::limits::EntryCounts;
use crate::origin_log::{OriginLog, TailEntry};
use crate::packed_batch::{self, PackedEntry, PACKED_ENTRY_BYTES};
use crate::record::TallyRecord;
use crate::totals::Totals;
use crate::version_vector::VersionVector;

/// How many entries a record of a snapshot holds at most.
const SNAPSHOT_BATCH: u64 = 512;
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

/// The entries that a replica has. Merging two of them is a union: commutative, associative and idempotent.
///
/// Invariants: an entry never changes its place; a log has no gaps; each total is the sum over the distinct keys of a
/// tally, each with the smallest amount that came with it, whether its entries are sealed or not.
#[derive(Clone, Debug, Default)]
pub struct TallyLog {
    /// The origin of this replica's disk. None before the first record.
    own_origin: Option<Origin>,
    /// Whether this replica had caught up with the others once.
    had_caught_up: bool,
    /// Never shrinks: the index of a log is part of the places of its entries.
    logs: IndexMap<Origin, OriginLog>,
    keys: KeyIndex,
    totals: Totals,
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
        self.logs.values().map(|log| log.length() as usize).sum()
    }

    /// Returns how many entries there are, sealed and not, and how many tallies.
    pub fn counts(&self) -> EntryCounts {
        let sealed = self.logs.values().map(OriginLog::sealed_length).sum();
        EntryCounts { sealed, unsealed: self.entry_count() - sealed, tallies: self.totals.len() }
    }

    /// Returns the total of a tally, 0 for one that is not known.
    pub fn total(&self, tally: &str) -> u128 {
        self.totals.get(tally)
    }

    /// Returns all tallies with their totals, by name.
    pub fn totals(&self) -> impl Iterator<Item = (&str, u128)> {
        self.totals.sorted().into_iter()
    }

    /// Returns the place of a key if it is known in this tally.
    pub fn find(&self, tally: &str, instance_id: &str) -> Option<Dot> {
        let place = self.keys.find(digest::digest_key(tally, instance_id), |place| digest_at(&self.logs, place))?;
        let (origin, _) = self.logs.get_index(place.origin as usize)?;
        Some(Dot { origin: *origin, sequence: u64::from(place.sequence) })
    }

    /// Returns whether the entry at this place is sealed.
    pub fn is_sealed(&self, dot: Dot) -> bool {
        self.logs.get(&dot.origin).is_some_and(|log| dot.sequence < log.sealed_length() as u64)
    }

    /// Appends an entry whose key is not known to the log of the own origin, and returns its place.
    ///
    /// # Panics
    ///
    /// Panics without an own origin.
    pub fn append(&mut self, entry: TallyEntry) -> Dot {
        let origin = self.own_origin.expect("a replica has an origin before it takes entries");
        self.push_text(origin, entry)
    }

    fn push_text(&mut self, origin: Origin, entry: TallyEntry) -> Dot {
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
        self.count(Place { origin: index as u32, sequence: sequence as u32 }, &entry);
        self.logs[index].push(entry);
        Dot { origin, sequence }
    }

    fn count(&mut self, place: Place, entry: &TailEntry) {
        let Self { logs, keys, totals, .. } = self;
        let digest_at = |place| digest_at(logs, place);
        let Some(first) = keys.find(entry.digest, digest_at) else {
            keys.insert(entry.digest, place, digest_at);
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

    /// Returns how many entries of a batch are known; `None` where entries before the batch are missing, or none of it is new.
    fn count_known(&self, origin: Origin, start: u64, length: usize) -> Option<usize> {
        let known = self.logs.get(&origin).map_or(0, OriginLog::length);
        let skipped = known.checked_sub(start)? as usize;
        (skipped < length).then_some(skipped)
    }

    /// Takes the entries of a batch that follow on what is known, and returns the part of it that was new. `None`: nothing
    /// was new, or entries before the batch are missing.
    pub fn apply(&mut self, batch: &TallyBatch) -> Option<TallyBatch> {
        let skipped = self.count_known(batch.origin, batch.start, batch.entries.len())?;
        let entries = batch.entries[skipped..].to_vec();
        for entry in &entries {
            self.push_text(batch.origin, entry.clone());
        }
        Some(TallyBatch { origin: batch.origin, start: batch.start + skipped as u64, entries })
    }

    /// Takes the packed entries of a batch as [`apply`](Self::apply) does. A batch whose columns do not fit together changes
    /// nothing.
    pub fn apply_packed(&mut self, batch: &PackedBatch) -> Option<PackedBatch> {
        if !packed_batch::is_consistent(batch) {
            return None;
        }
        let skipped = self.count_known(batch.origin, batch.start, batch.digests.len())?;
        let new = packed_batch::rest(batch, skipped);
        for entry in (0..new.digests.len()).map_while(|index| packed_batch::entry(&new, index)) {
            self.push_packed(new.origin, entry);
        }
        Some(new)
    }

    /// Seals whole chunks of entries that `durable` has, `max_chunks` at most, and returns them. Texts of their keys are not
    /// kept any more.
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

    /// Returns how many entries of each log there are.
    pub fn versions(&self) -> VersionVector {
        let mut versions = VersionVector::default();
        for (origin, log) in &self.logs {
            versions.advance(*origin, log.length());
        }
        versions
    }

    /// Returns the ranges of logs that a replica lacks and that `durable` has, of the origins that `is_wanted` names.
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
        for (origin, log, range) in self.missing_ranges(known, durable, is_wanted) {
            let start = range.start;
            let texts = range.map_while(|sequence| log.text(sequence, &self.totals));
            let entries: Vec<TallyEntry> = texts.take_while(|entry| take(&mut left, text_bytes(entry))).collect();
            if !entries.is_empty() {
                batches.push(TallyBatch { origin, start, entries });
            }
        }
        batches
    }

    /// Returns the same entries as [`missing_at`](Self::missing_at), packed.
    pub fn missing_packed_at(
        &self,
        known: &VersionVector,
        durable: &VersionVector,
        is_wanted: impl Fn(Origin) -> bool,
        max_bytes: usize,
    ) -> Vec<PackedBatch> {
        let mut batches = Vec::new();
        let mut left = max_bytes;
        for (origin, log, range) in self.missing_ranges(known, durable, is_wanted) {
            let fitting = range.clone().take_while(|_| take(&mut left, PACKED_ENTRY_BYTES)).count() as u64;
            if fitting > 0 {
                batches.push(log.pack(origin, range.start..range.start + fitting, &self.totals));
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
            TallyRecord::Packed(batch) => {
                self.apply_packed(&batch);
            }
            TallyRecord::Sealed(chunk) => {
                self.apply_packed(&chunk);
                if let Some(log) = self.logs.get_mut(&chunk.origin) {
                    log.adopt(chunk);
                }
            }
        }
    }

    /// Returns records that restore this state.
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

    /// Returns a record of entries that are all with keys or all without.
    fn unsealed_record(&self, origin: Origin, log: &OriginLog, range: Range<u64>) -> TallyRecord {
        if !log.has_key(range.start) {
            return TallyRecord::Packed(Box::new(log.pack(origin, range, &self.totals)));
        }
        let start = range.start;
        let entries = range.filter_map(|sequence| log.text(sequence, &self.totals)).collect();
        TallyRecord::Batch(TallyBatch { origin, start, entries })
    }
}

fn digest_at(logs: &IndexMap<Origin, OriginLog>, place: Place) -> Option<KeyDigest> {
    let (_, log) = logs.get_index(place.origin as usize)?;
    log.digest(u64::from(place.sequence))
}

/// Returns where the entries that follow `start` and are like it, with or without the text of the key, end.
fn end_of_run(log: &OriginLog, start: u64) -> u64 {
    let has_key = log.has_key(start);
    let last = log.length().min(start + SNAPSHOT_BATCH);
    (start..last).find(|sequence| log.has_key(*sequence) != has_key).unwrap_or(last)
}

fn text_bytes(entry: &TallyEntry) -> usize {
    ENTRY_OVERHEAD_BYTES + entry.tally.len() + entry.instance_id.len()
}

/// Takes the bytes of an entry from what is left. Returns false once nothing was left before it.
fn take(left: &mut usize, bytes: usize) -> bool {
    let is_room = *left > 0;
    *left = left.saturating_sub(bytes);
    is_room
}

#[cfg(test)]
#[path = "log_tests.rs"]
mod tests;
