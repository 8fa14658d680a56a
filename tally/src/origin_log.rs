//! The log of one origin: sealed chunks without the text of keys, then a tail of unsealed entries.

use std::ops::Range;
use std::sync::Arc;

use protocol::tally::{KeyDigest, Origin, PackedBatch, TallyEntry};

use crate::digest;
use crate::packed_batch::{self, PackedEntry};
use crate::totals::{TallyId, Totals};

/// Number of entries in a sealed chunk. Small in this crate's tests, so that short runs seal chunks.
pub(crate) const CHUNK_ENTRIES: usize = if cfg!(test) { 8 } else { 512 };

/// An unsealed entry.
#[derive(Clone, Debug)]
pub(crate) struct TailEntry {
    pub tally: TallyId,
    pub digest: KeyDigest,
    pub amount: u64,
    /// The text of the key; `None` if only its digest was received.
    pub key: Option<Box<str>>,
}

/// The entries of one origin, in order. Invariants: an entry never changes its position; each sealed chunk has
/// [`CHUNK_ENTRIES`] entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct OriginLog {
    /// Shared with the copy of the state from which snapshots are written.
    sealed: Vec<Arc<PackedBatch>>,
    tail: Vec<TailEntry>,
}

impl OriginLog {
    /// Returns the number of entries.
    pub fn length(&self) -> u64 {
        (self.sealed_length() + self.tail.len()) as u64
    }

    /// Returns the number of sealed entries.
    pub fn sealed_length(&self) -> usize {
        self.sealed.len() * CHUNK_ENTRIES
    }

    /// Returns the sealed chunks, oldest first.
    pub fn sealed(&self) -> &[Arc<PackedBatch>] {
        &self.sealed
    }

    /// Returns the chunk of a sealed entry and its index in the chunk; `None` for an unsealed entry.
    fn find_sealed(&self, sequence: u64) -> Option<(&PackedBatch, usize)> {
        let sequence = sequence as usize;
        let chunk = self.sealed.get(sequence / CHUNK_ENTRIES)?;
        Some((chunk, sequence % CHUNK_ENTRIES))
    }

    fn tail_entry(&self, sequence: u64) -> Option<&TailEntry> {
        self.tail.get((sequence as usize).checked_sub(self.sealed_length())?)
    }

    /// Returns the digest of an entry's key.
    pub fn digest(&self, sequence: u64) -> Option<KeyDigest> {
        match self.find_sealed(sequence) {
            Some((chunk, index)) => chunk.digests.get(index).copied(),
            None => self.tail_entry(sequence).map(|entry| entry.digest),
        }
    }

    /// Returns an entry without the text of its key.
    pub fn packed<'a>(&'a self, sequence: u64, totals: &'a Totals) -> Option<PackedEntry<'a>> {
        if let Some((chunk, index)) = self.find_sealed(sequence) {
            return packed_batch::entry(chunk, index);
        }
        let entry = self.tail_entry(sequence)?;
        Some(PackedEntry { tally: totals.name(entry.tally), digest: entry.digest, amount: entry.amount })
    }

    /// Returns an entry with its key, or with the digest as its key if the text was dropped.
    pub fn text(&self, sequence: u64, totals: &Totals) -> Option<TallyEntry> {
        let packed = self.packed(sequence, totals)?;
        let key_text = self.tail_entry(sequence).and_then(|entry| entry.key.as_deref());
        let instance_id = key_text.map_or_else(|| digest::to_key(packed.digest), String::from);
        Some(TallyEntry { tally: packed.tally.into(), instance_id, amount: packed.amount })
    }

    /// Returns whether the log still has the text of an entry's key.
    pub fn has_key(&self, sequence: u64) -> bool {
        self.tail_entry(sequence).is_some_and(|entry| entry.key.is_some())
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: TailEntry) {
        self.tail.push(entry);
    }

    /// Packs a range of entries.
    pub fn pack(&self, origin: Origin, range: Range<u64>, totals: &Totals) -> PackedBatch {
        let entries: Vec<PackedEntry<'_>> = range.clone().map_while(|sequence| self.packed(sequence, totals)).collect();
        packed_batch::pack(origin, range.start, entries.into_iter())
    }

    /// Seals the next chunk if all its entries come before `end`, and returns it.
    pub fn seal_next(&mut self, origin: Origin, end: u64, totals: &Totals) -> Option<Arc<PackedBatch>> {
        let start = self.sealed_length() as u64;
        let chunk_end = start + CHUNK_ENTRIES as u64;
        if chunk_end > end.min(self.length()) {
            return None;
        }
        let chunk = Arc::new(self.pack(origin, start..chunk_end, totals));
        self.install_chunk(chunk.clone());
        Some(chunk)
    }

    /// Replaces the first entries of the tail by the sealed chunk that holds them. Returns `false` and changes nothing
    /// if the chunk is not the next one.
    pub fn install_chunk(&mut self, chunk: Arc<PackedBatch>) -> bool {
        let is_next = chunk.start == self.sealed_length() as u64 && chunk.digests.len() == CHUNK_ENTRIES;
        if !is_next || self.tail.len() < CHUNK_ENTRIES {
            return false;
        }
        self.tail.drain(..CHUNK_ENTRIES);
        if self.tail.is_empty() {
            self.tail = Vec::new();
        }
        self.sealed.push(chunk);
        true
    }
}
