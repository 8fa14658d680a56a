//! What replicas of tallies send one another: entries of their logs, and how far each log is known.

use rkyv::{Archive, Deserialize, Serialize};

/// Identifies the log of one disk; drawn at random when the disk is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct Origin(pub u64);

/// One add to a tally.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct TallyEntry {
    /// The name of the tally.
    pub tally: String,
    /// The idempotency key: it counts once in its tally.
    pub instance_id: String,
    /// What is added.
    pub amount: u64,
}

/// Consecutive entries of the log of one origin.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TallyBatch {
    /// Whose log.
    pub origin: Origin,
    /// How many entries of the log come before these.
    pub start: u64,
    /// The entries in the order of the log.
    pub entries: Vec<TallyEntry>,
}

/// Identifies an idempotency key in its tally: the first half of a SHA-256 digest of both names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct KeyDigest(pub [u8; 16]);

/// The amounts of packed entries, in the narrowest form that holds all of them.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum PackedAmounts {
    /// All of them fit into 32 bits.
    Narrow(Vec<u32>),
    /// One of them does not.
    Wide(Vec<u64>),
}

/// Consecutive entries of the log of one origin, by columns and with digests in place of keys: 22 bytes an entry.
/// Invariant: the columns are of one length, and each index in `tally_of` names a tally.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PackedBatch {
    /// Whose log.
    pub origin: Origin,
    /// How many entries of the log come before these.
    pub start: u64,
    /// The names of the tallies that occur.
    pub tallies: Vec<String>,
    /// For each entry the index of its tally in `tallies`.
    pub tally_of: Vec<u16>,
    /// For each entry the digest of its key.
    pub digests: Vec<KeyDigest>,
    /// For each entry what is added.
    pub amounts: PackedAmounts,
}

/// How many entries of an origin's log, from its beginning, a replica has on its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct OriginVersion {
    /// Whose log.
    pub origin: Origin,
    /// How many entries.
    pub length: u64,
}

/// A call of one replica to another: what the caller has, and what the other one lacks.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TallySync {
    /// The caller's address.
    pub ip: String,
    /// What the caller has on its disk.
    pub durable: Vec<OriginVersion>,
    /// Whether the caller has caught up since its start.
    pub caught_up: bool,
    /// Entries that the other one lacked when it answered last.
    pub batches: Vec<TallyBatch>,
}

/// A [`TallySync`] whose entries are packed, for replicas that read them.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PackedTallySync {
    /// What the caller has; its batches are entries whose keys the caller still has as text.
    pub sync: TallySync,
    /// Entries that the other one lacked when it answered last.
    pub packed: Vec<PackedBatch>,
}

/// The response to [`TallySync`] and [`PackedTallySync`], given once what was sent is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TallySynced {
    /// False for a controller without a disk, which keeps no tallies.
    pub is_replica: bool,
    /// Whether the responder has caught up since its start, or has had a disk with entries.
    pub caught_up: bool,
    /// What the responder has on its disk.
    pub durable: Vec<OriginVersion>,
}

impl TallySynced {
    /// Returns the response of a controller without a disk.
    pub fn without_disk() -> TallySynced {
        TallySynced { is_replica: false, caught_up: false, durable: Vec::new() }
    }
}
