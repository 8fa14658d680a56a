//! Messages between tally replicas: entries of their logs, and how much of each log they hold.

use rkyv::{Archive, Deserialize, Serialize};

/// Identifies the log of one disk; generated at random when the disk is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct Origin(pub u64);

/// One addition to a tally.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct TallyEntry {
    /// The name of the tally.
    pub tally: String,
    /// The idempotency key, which counts once in its tally.
    pub instance_id: String,
    /// The amount that is added.
    pub amount: u64,
}

/// Consecutive entries of the log of one origin.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TallyBatch {
    /// The origin of the log.
    pub origin: Origin,
    /// Number of entries in the log before these.
    pub start: u64,
    /// The entries in log order.
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
    /// At least one does not.
    Wide(Vec<u64>),
}

/// Consecutive entries of the log of one origin, in columns and with digests in place of keys: 22 bytes per entry.
/// Invariant: the columns have the same length, and each value of `tally_of` is an index into `tallies`.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PackedBatch {
    /// The origin of the log.
    pub origin: Origin,
    /// Number of entries in the log before these.
    pub start: u64,
    /// The names of the tallies in this batch.
    pub tallies: Vec<String>,
    /// For each entry, the index of its tally in `tallies`.
    pub tally_of: Vec<u16>,
    /// For each entry, the digest of its key.
    pub digests: Vec<KeyDigest>,
    /// For each entry, the amount that is added.
    pub amounts: PackedAmounts,
}

/// The length of the prefix of an origin's log that a replica has on its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct OriginVersion {
    /// The origin of the log.
    pub origin: Origin,
    /// Number of entries.
    pub length: u64,
}

/// A request from one replica to another: the log prefixes that the caller has, and entries that the receiver lacks.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TallySync {
    /// The caller's address.
    pub ip: String,
    /// The log prefixes on the caller's disk.
    pub durable: Vec<OriginVersion>,
    /// Whether the caller has caught up since its start.
    pub caught_up: bool,
    /// Entries that the receiver lacked as of its last response.
    pub batches: Vec<TallyBatch>,
}

/// A [`TallySync`] with packed entries, for replicas that support them.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PackedTallySync {
    /// The request; its batches hold the entries whose keys the caller still has as text.
    pub sync: TallySync,
    /// Entries that the receiver lacked as of its last response.
    pub packed: Vec<PackedBatch>,
}

/// The response to [`TallySync`] and [`PackedTallySync`], sent once the received entries are on disk.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TallySynced {
    /// False for a controller without a disk, which keeps no tallies.
    pub is_replica: bool,
    /// Whether the responder has caught up since its start, or its disk already held entries.
    pub caught_up: bool,
    /// The log prefixes on the responder's disk.
    pub durable: Vec<OriginVersion>,
}

impl TallySynced {
    /// Returns the response of a controller without a disk.
    pub fn without_disk() -> TallySynced {
        TallySynced { is_replica: false, caught_up: false, durable: Vec::new() }
    }
}
