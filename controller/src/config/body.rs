//! The value of the register `config`: the configuration with the changes that led to it.
//!
//! The value has three byte formats. All of them can be read, and a value is never written in an older format than the
//! one that it replaces, so that a controller never meets a format again that was given up.

use kernel::hashing;
use protocol::message::{DIGESTED_BODIES, PROTOCOL_VERSION};
use protocol::operator_request::ConfigChange;
use rkyv::{Archive, Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// How many committed changes are remembered: more than are made while an operator may still send one again.
pub const MAX_REMEMBERED_CHANGES: usize = 1024;

/// First bytes of a compressed value of the legacy layout. Invariant: no plain value begins so, since the first byte of
/// that one belongs to a JSON text or is the low end of a number.
const LEGACY_COMPRESSED_MAGIC: [u8; 8] = *b"\0tdplz4\0";
/// First bytes of a value of the current layout, which is always compressed.
const CURRENT_MAGIC: [u8; 8] = *b"\0tdcfg2\0";
/// Shorter values of the legacy layout stay uncompressed.
const MIN_COMPRESSED_BYTES: usize = 16 * 1024;
/// A value that claims to be longer than this is rejected before any memory is reserved for it.
const MAX_DECOMPRESSED_BYTES: usize = 64 * 1024 * 1024;
/// The length of the prefix that states the decompressed size.
const SIZE_PREFIX_BYTES: usize = 4;
/// Controllers from this protocol version on read compressed values.
const COMPRESSED_BODIES: u64 = 2;

/// A change that is committed. Invariant: no other committed change has the same `base`, since each change builds on
/// the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CommittedChange {
    /// The revision that the change was made on top of.
    pub base: u64,
    /// What [`change_digest`] gives for the change.
    pub digest: [u8; 16],
}

/// The configuration in the form in which it is committed.
///
/// Invariants: `revision` rises with each change and is that of `text`; `changes` and `legacy_changes` name changes that
/// were acknowledged or may have been, oldest first, all of `legacy_changes` before all of `changes`,
/// [`MAX_REMEMBERED_CHANGES`] at most together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StoredConfig {
    /// The revision of the configuration; 0 before the first one.
    pub revision: u64,
    /// The configuration as JSON.
    pub text: String,
    /// Changes that are remembered.
    pub changes: Vec<CommittedChange>,
    /// Digests of changes that were committed in the legacy layout.
    pub legacy_changes: Vec<u64>,
}

/// The legacy layout, frozen.
#[derive(Archive, Serialize, Deserialize)]
struct LegacyLayout {
    revision: u64,
    text: String,
    changes: Vec<u64>,
}

kernel::impl_archive_bytes!(StoredConfig);
kernel::impl_archive_bytes!(LegacyLayout);

/// The byte formats of a stored configuration, oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BodyFormat {
    /// The legacy layout, uncompressed.
    Plain,
    /// The legacy layout, long values compressed. Controllers of protocol version 2 and later read it.
    Compressed,
    /// The current layout: compressed, with digests that are safe to rely on. Controllers of protocol version 4 and
    /// later read it.
    Digested,
}

/// What is known of a change that is not the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStatus {
    /// The change was committed.
    Committed,
    /// The change was never committed.
    NotCommitted,
    /// The change builds on a revision from before all that are remembered: it may have been committed.
    Forgotten,
}

impl BodyFormat {
    /// Returns the format for readers of these protocol versions, 0 standing for a reader that was never heard.
    ///
    /// Such a reader is assumed to read compressed values: right after the first start nobody was heard, and the long
    /// form of the first configuration would fill the links of all controllers that fetch it.
    pub fn for_readers(versions: impl Iterator<Item = u64>) -> BodyFormat {
        let known = versions.map(|version| if version == 0 { COMPRESSED_BODIES } else { version });
        BodyFormat::read_by_all(known.min().unwrap_or(PROTOCOL_VERSION))
    }

    /// Returns the newest format that every reader reads, given the oldest protocol version among them.
    pub fn read_by_all(oldest: u64) -> BodyFormat {
        match oldest {
            version if version < COMPRESSED_BODIES => BodyFormat::Plain,
            version if version < DIGESTED_BODIES => BodyFormat::Compressed,
            _ => BodyFormat::Digested,
        }
    }

    /// Returns the oldest format that a stored value may have been written in: whoever stores it reads that format.
    pub fn of(body: &[u8]) -> BodyFormat {
        if body.starts_with(&CURRENT_MAGIC) {
            BodyFormat::Digested
        } else if body.starts_with(&LEGACY_COMPRESSED_MAGIC) {
            BodyFormat::Compressed
        } else {
            BodyFormat::Plain
        }
    }

    /// Returns whether both formats remember changes by the same kind of digest.
    pub fn has_same_layout(self, other: BodyFormat) -> bool {
        (self == BodyFormat::Digested) == (other == BodyFormat::Digested)
    }
}

impl StoredConfig {
    /// Returns the bytes of this value. Long ones are compressed, since they go to every voting member in each round and
    /// to its disk.
    pub fn encode(&self, format: BodyFormat) -> Vec<u8> {
        if format == BodyFormat::Digested || !self.changes.is_empty() {
            return compress(CURRENT_MAGIC, &self.to_bytes());
        }
        let legacy =
            LegacyLayout { revision: self.revision, text: self.text.clone(), changes: self.legacy_changes.clone() };
        let plain = legacy.to_bytes();
        if format == BodyFormat::Plain || plain.len() < MIN_COMPRESSED_BYTES {
            return plain;
        }
        compress(LEGACY_COMPRESSED_MAGIC, &plain)
    }

    /// Reads a value of any format. Returns `None` for bytes of no known format, which are never taken for an empty
    /// value.
    pub fn decode(body: &[u8]) -> Option<StoredConfig> {
        if body.is_empty() {
            return Some(StoredConfig::default());
        }
        if let Some(rest) = body.strip_prefix(&CURRENT_MAGIC[..]) {
            return StoredConfig::from_bytes(&decompress(rest)?);
        }
        let legacy = match body.strip_prefix(&LEGACY_COMPRESSED_MAGIC[..]) {
            Some(rest) => LegacyLayout::from_bytes(&decompress(rest)?),
            None => LegacyLayout::from_bytes(body),
        }?;
        Some(StoredConfig {
            revision: legacy.revision,
            text: legacy.text,
            changes: Vec::new(),
            legacy_changes: legacy.changes,
        })
    }

    /// Remembers a change by the kind of digest that a format stores, and forgets the oldest ones beyond the bound.
    pub fn remember(&mut self, change: &ConfigChange, format: BodyFormat) {
        match format {
            BodyFormat::Digested => {
                self.changes.push(CommittedChange { base: change.base, digest: change_digest(change) });
            }
            BodyFormat::Plain | BodyFormat::Compressed => self.legacy_changes.push(legacy_change_digest(change)),
        }
        let excess = self.remembered().saturating_sub(MAX_REMEMBERED_CHANGES);
        let legacy_excess = excess.min(self.legacy_changes.len());
        self.legacy_changes.drain(..legacy_excess);
        self.changes.drain(..excess - legacy_excess);
    }

    /// Returns whether a change was committed, as far as that is remembered.
    pub fn status_of(&self, change: &ConfigChange) -> ChangeStatus {
        let committed = CommittedChange { base: change.base, digest: change_digest(change) };
        if self.changes.contains(&committed) || self.legacy_changes.contains(&legacy_change_digest(change)) {
            return ChangeStatus::Committed;
        }
        let is_full = self.remembered() >= MAX_REMEMBERED_CHANGES;
        match self.changes.first() {
            Some(oldest) if is_full && change.base < oldest.base => ChangeStatus::Forgotten,
            _ => ChangeStatus::NotCommitted,
        }
    }

    fn remembered(&self) -> usize {
        self.legacy_changes.len() + self.changes.len()
    }
}

fn compress(magic: [u8; 8], plain: &[u8]) -> Vec<u8> {
    [&magic[..], &lz4_flex::compress_prepend_size(plain)].concat()
}

fn decompress(compressed: &[u8]) -> Option<Vec<u8>> {
    let size = u32::from_le_bytes(*compressed.first_chunk::<SIZE_PREFIX_BYTES>()?) as usize;
    if size > MAX_DECOMPRESSED_BYTES {
        return None;
    }
    lz4_flex::decompress_size_prepended(compressed).ok()
}

/// Returns the digest of a change: the same for the same change sent again, and for no other. It is the first half of a
/// SHA-256 of the change.
pub fn change_digest(change: &ConfigChange) -> [u8; 16] {
    let mut hash = Sha256::new();
    hash.update(b"tidepoint configuration change 2");
    hash.update(change.base.to_le_bytes());
    hash.update([u8::from(change.partial)]);
    hash.update(change.text.as_bytes());
    let mut half = [0; 16];
    half.copy_from_slice(&hash.finalize()[..16]);
    half
}

/// Returns the digest by which the legacy layout remembers a change.
pub fn legacy_change_digest(change: &ConfigChange) -> u64 {
    let text = hashing::hash(change.text.as_bytes());
    hashing::combine(text, change.base.wrapping_mul(2).wrapping_add(u64::from(change.partial)))
}

/// Returns the digest by which a committed delta names the value before and after it.
///
/// Invariant: a value of the current layout has the first bytes of its SHA-256; all others have the digest that
/// controllers of protocol version 3 compute.
pub fn body_digest(body: &[u8]) -> u64 {
    if BodyFormat::of(body) != BodyFormat::Digested {
        return hashing::hash(body);
    }
    let hash = Sha256::digest(body);
    hash.iter().take(8).fold(0, |digest, byte| digest << 8 | u64::from(*byte))
}

#[cfg(test)]
#[path = "body_tests.rs"]
mod tests;
