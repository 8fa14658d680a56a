//! The value of the register `config`: the configuration with the changes that led to it.
//!
//! The value has three byte formats, all of which can be decoded. A value is never written in an older format than the
//! one that it replaces, so a format that was phased out does not come back.

use kernel::hashing;
use protocol::message::{DIGESTED_BODIES, PROTOCOL_VERSION};
use protocol::operator_request::ConfigChange;
use rkyv::{Archive, Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The capacity of the record of committed changes: more than are committed while an operator may still retry one.
pub const MAX_REMEMBERED_CHANGES: usize = 1024;

/// The first bytes of a compressed value of the legacy layout. Invariant: no uncompressed value starts with them, since
/// its first byte belongs to a JSON text or is the low byte of a number.
const LEGACY_COMPRESSED_MAGIC: [u8; 8] = *b"\0tdplz4\0";
/// The first bytes of a value of the current layout, which is always compressed.
const CURRENT_MAGIC: [u8; 8] = *b"\0tdcfg2\0";
/// The threshold in bytes below which values of the legacy layout stay uncompressed.
const MIN_COMPRESSED_BYTES: usize = 16 * 1024;
/// The largest accepted decompressed size, in bytes. A value that states a larger one is rejected before memory is
/// allocated for it.
const MAX_DECOMPRESSED_BYTES: usize = 64 * 1024 * 1024;
/// The length of the prefix that states the decompressed size, in bytes.
const SIZE_PREFIX_BYTES: usize = 4;
/// The first protocol version whose controllers read compressed values.
const COMPRESSED_BODIES: u64 = 2;

/// A committed change. Invariant: no other committed change has the same `base`, since each change builds on
/// the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CommittedChange {
    /// The revision that the change was made on top of.
    pub base: u64,
    /// The [`change_digest`] of the change.
    pub digest: [u8; 16],
}

/// The configuration as it is committed.
///
/// Invariants: `revision` increases with each change and is that of `text`; `changes` and `legacy_changes` list changes
/// that were or may have been acknowledged, oldest first; all of `legacy_changes` are older than all of `changes`;
/// together they hold at most [`MAX_REMEMBERED_CHANGES`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StoredConfig {
    /// The revision of the configuration; 0 before the first one.
    pub revision: u64,
    /// The configuration as JSON.
    pub text: String,
    /// The most recent committed changes.
    pub changes: Vec<CommittedChange>,
    /// The digests of changes that were committed in the legacy layout.
    pub legacy_changes: Vec<u64>,
}

/// The legacy layout. It must not change, since stored values use it.
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
    /// The legacy layout with long values compressed. Controllers of protocol version 2 and later read it.
    Compressed,
    /// The current layout: compressed, with cryptographic digests of changes. Controllers of protocol version 4 and
    /// later read it.
    Digested,
}

/// Whether a change was committed, as far as the remembered changes show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStatus {
    /// The change was committed.
    Committed,
    /// The change was never committed.
    NotCommitted,
    /// The change builds on an older revision than all remembered changes: it may have been committed.
    Forgotten,
}

impl BodyFormat {
    /// Returns the format for readers of these protocol versions; 0 stands for a reader whose version is unknown.
    ///
    /// Such a reader is assumed to read compressed values: right after the first start no version is known, and the
    /// uncompressed first configuration would saturate the links of all controllers that fetch it.
    pub fn for_readers(versions: impl Iterator<Item = u64>) -> BodyFormat {
        let assumed = versions.map(|version| if version == 0 { COMPRESSED_BODIES } else { version });
        BodyFormat::read_by_all(assumed.min().unwrap_or(PROTOCOL_VERSION))
    }

    /// Returns the newest format that every reader can decode, given the oldest protocol version among them.
    pub fn read_by_all(oldest: u64) -> BodyFormat {
        match oldest {
            version if version < COMPRESSED_BODIES => BodyFormat::Plain,
            version if version < DIGESTED_BODIES => BodyFormat::Compressed,
            _ => BodyFormat::Digested,
        }
    }

    /// Returns the oldest format that a stored value may have been written in. Every controller that stores the value
    /// can decode that format.
    pub fn of(body: &[u8]) -> BodyFormat {
        if body.starts_with(&CURRENT_MAGIC) {
            BodyFormat::Digested
        } else if body.starts_with(&LEGACY_COMPRESSED_MAGIC) {
            BodyFormat::Compressed
        } else {
            BodyFormat::Plain
        }
    }

    /// Returns whether both formats identify changes by the same kind of digest.
    pub fn has_same_layout(self, other: BodyFormat) -> bool {
        (self == BodyFormat::Digested) == (other == BodyFormat::Digested)
    }
}

impl StoredConfig {
    /// Encodes this value. Long values are compressed, since each consensus round sends the value to every voting
    /// member, which writes it to disk.
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

    /// Decodes a value of any format. Returns `None` for bytes of an unknown format, never an empty value.
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

    /// Records a committed change by the kind of digest that `format` stores, and drops the oldest records above the
    /// capacity.
    pub fn remember(&mut self, change: &ConfigChange, format: BodyFormat) {
        match format {
            BodyFormat::Digested => {
                self.changes.push(CommittedChange { base: change.base, digest: change_digest(change) });
            }
            BodyFormat::Plain | BodyFormat::Compressed => self.legacy_changes.push(legacy_change_digest(change)),
        }
        let excess = self.remembered_count().saturating_sub(MAX_REMEMBERED_CHANGES);
        let legacy_excess = excess.min(self.legacy_changes.len());
        self.legacy_changes.drain(..legacy_excess);
        self.changes.drain(..excess - legacy_excess);
    }

    /// Returns whether a change was committed, as far as the remembered changes show.
    pub fn status_of(&self, change: &ConfigChange) -> ChangeStatus {
        let committed = CommittedChange { base: change.base, digest: change_digest(change) };
        if self.changes.contains(&committed) || self.legacy_changes.contains(&legacy_change_digest(change)) {
            return ChangeStatus::Committed;
        }
        let is_full = self.remembered_count() >= MAX_REMEMBERED_CHANGES;
        match self.changes.first() {
            Some(oldest) if is_full && change.base < oldest.base => ChangeStatus::Forgotten,
            _ => ChangeStatus::NotCommitted,
        }
    }

    fn remembered_count(&self) -> usize {
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

/// Returns the digest of a change, the first half of its SHA-256: a retried change has the same digest, any other
/// change a different one.
pub fn change_digest(change: &ConfigChange) -> [u8; 16] {
    let mut hash = Sha256::new();
    hash.update(b"tidepoint configuration change 2");
    hash.update(change.base.to_le_bytes());
    hash.update([u8::from(change.partial)]);
    hash.update(change.text.as_bytes());
    let mut digest = [0; 16];
    digest.copy_from_slice(&hash.finalize()[..16]);
    digest
}

/// Returns the digest by which the legacy layout identifies a change.
pub fn legacy_change_digest(change: &ConfigChange) -> u64 {
    let text = hashing::hash(change.text.as_bytes());
    hashing::combine(text, change.base.wrapping_mul(2).wrapping_add(u64::from(change.partial)))
}

/// Returns the digest by which a committed delta identifies the value before and after it.
///
/// Invariant: for a value of the current layout these are the first bytes of its SHA-256, for all others the digest
/// that controllers of protocol version 3 compute.
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
