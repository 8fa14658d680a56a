//! What the ledger's key `config` holds: the configuration, and which changes led to it. As bytes it has three forms;
//! all are read, and a body is never written in an older form than the one before it.

use kernel::hashing;
use protocol::message::{DIGESTED_BODIES, PROTOCOL_VERSION};
use protocol::operator_request::ConfigChange;
use sha2::Sha256;

/// How many taken changes are remembered: more than are made while an operator may still resend one.
pub const TAKEN: usize = 1024;

/// A body of the first version that is packed. Invariant: no plain one begins so, since its first byte is the first of a
/// JSON text or of a number's low end.
const PACKED: [u8; 8] = *b"\0tdplz4\0";
/// A body of the second version, which is always packed.
const SECOND: [u8; 8] = *b"\0tdcfg2\0";
/// Shorter ones of the first version stay plain.
const PACK_FROM: usize = 16 * 1024;
const UNPACKED_MOST: usize = 64 * 1024 * 1024;

/// A change that is committed. Invariant: no other taken change has the same `base`, since each change builds on the one
/// before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct TakenChange {
    pub base: u64,
    pub digest: [u8; 16],
}

/// Invariants: `revision` rises with each change and is that of `text`; `taken` and `earlier` name changes that were
/// acknowledged or may have been, oldest first, all of `earlier` before all of `taken`, `TAKEN` at most together.
#[derive(Clone, Debug, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Held {
    pub revision: u64,
    pub text: String,
    pub taken: Vec<TakenChange>,
    /// Digests of the first version.
    pub earlier: Vec<u64>,
}

/// The layout of the first version, frozen.
#[derive(rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
struct FirstLayout {
    revision: u64,
    text: String,
    taken: Vec<u64>,
}

kernel::impl_archive_bytes!(Held);
kernel::impl_archive_bytes!(FirstLayout);

/// The forms of a body, oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BodyForm {
    Plain,
    /// Long ones are packed. Controllers of version 2 and later read it.
    Packed,
    /// Packed, and with digests that are safe to rest on. Controllers of version 4 and later read it.
    Digested,
}

/// What is remembered of a change that is not the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Memory {
    Taken,
    NotTaken,
    /// It builds on a version from before all that are remembered.
    Forgotten,
}

/// Controllers from this version of messages on read packed bodies.
const PACKED_SINCE: u64 = 2;

impl BodyForm {
    /// The form for these readers, told by the versions of messages that they read; 0 for one that was not heard. Such
    /// a one is taken to read packed bodies: right after the first start nobody was heard, and the long form of the
    /// first configuration would fill the links of all who fetch it.
    pub fn for_readers(versions: impl Iterator<Item = u64>) -> BodyForm {
        let known = versions.map(|version| if version == 0 { PACKED_SINCE } else { version });
        BodyForm::read_by_all(known.min().unwrap_or(PROTOCOL_VERSION))
    }

    /// The newest form that everyone reads, where `oldest` is the oldest version of messages that anyone reads.
    pub fn read_by_all(oldest: u64) -> BodyForm {
        match oldest {
            reads if reads < PACKED_SINCE => BodyForm::Plain,
            reads if reads < DIGESTED_BODIES => BodyForm::Packed,
            _ => BodyForm::Digested,
        }
    }

    /// The form that a body has at least: whoever holds it reads that form.
    pub fn of(body: &[u8]) -> BodyForm {
        if body.starts_with(&SECOND) {
            BodyForm::Digested
        } else if body.starts_with(&PACKED) {
            BodyForm::Packed
        } else {
            BodyForm::Plain
        }
    }

    /// Two bodies of the same layout differ by their digests of the same kind.
    pub fn same_layout(self, other: BodyForm) -> bool {
        (self == BodyForm::Digested) == (other == BodyForm::Digested)
    }
}

impl Held {
    /// A long configuration is packed: the body goes to every voter in each round, and to its disk.
    pub fn seal(&self, form: BodyForm) -> Vec<u8> {
        if form == BodyForm::Digested || !self.taken.is_empty() {
            return [&SECOND[..], &lz4_flex::compress_prepend_size(&self.to_bytes())].concat();
        }
        let first = FirstLayout { revision: self.revision, text: self.text.clone(), taken: self.earlier.clone() };
        let plain = first.to_bytes();
        if form == BodyForm::Plain || plain.len() < PACK_FROM {
            return plain;
        }
        [&PACKED[..], &lz4_flex::compress_prepend_size(&plain)].concat()
    }

    /// Reads any form. None: none of them, which is never taken for an empty one.
    pub fn open(body: &[u8]) -> Option<Held> {
        if body.is_empty() {
            return Some(Held::default());
        }
        if let Some(rest) = body.strip_prefix(&SECOND[..]) {
            return Held::from_bytes(&unpack(rest)?);
        }
        let first = match body.strip_prefix(&PACKED[..]) {
            Some(rest) => FirstLayout::from_bytes(&unpack(rest)?),
            None => FirstLayout::from_bytes(body),
        }?;
        Some(Held { revision: first.revision, text: first.text, taken: Vec::new(), earlier: first.taken })
    }

    /// Remembers a change under the kind of digest that a form holds.
    pub fn remember(&mut self, change: &ConfigChange, form: BodyForm) {
        match form {
            BodyForm::Digested => self.taken.push(TakenChange { base: change.base, digest: digest(change) }),
            BodyForm::Plain | BodyForm::Packed => self.earlier.push(first_digest(change)),
        }
        let extra = (self.earlier.len() + self.taken.len()).saturating_sub(TAKEN);
        let of_earlier = extra.min(self.earlier.len());
        self.earlier.drain(..of_earlier);
        self.taken.drain(..extra - of_earlier);
    }

    /// Was this change taken, as far as that is remembered?
    pub fn recall(&self, change: &ConfigChange) -> Memory {
        let taken = TakenChange { base: change.base, digest: digest(change) };
        if self.taken.contains(&taken) || self.earlier.contains(&first_digest(change)) {
            return Memory::Taken;
        }
        let is_full = self.earlier.len() + self.taken.len() >= TAKEN;
        match self.taken.first() {
            Some(oldest) if is_full && change.base < oldest.base => Memory::Forgotten,
            _ => Memory::NotTaken,
        }
    }
}

fn unpack(packed: &[u8]) -> Option<Vec<u8>> {
    let size = u32::from_le_bytes(*packed.first_chunk::<4>()?) as usize;
    if size > UNPACKED_MOST {
        return None;
    }
    lz4_flex::decompress_size_prepended(packed).ok()
}

/// The same for the same change sent again, and for no other: half of a SHA-256 over the change and what it is.
pub fn digest(change: &ConfigChange) -> [u8; 16] {
    use sha2::Digest;
    let mut hash = Sha256::new();
    hash.update(b"tidepoint configuration change 2");
    hash.update(change.base.to_le_bytes());
    hash.update([u8::from(change.partial)]);
    hash.update(change.text.as_bytes());
    let mut half = [0; 16];
    half.copy_from_slice(&hash.finalize()[..16]);
    half
}

/// The digest of the first version.
pub fn first_digest(change: &ConfigChange) -> u64 {
    let text = hashing::hash(change.text.as_bytes());
    hashing::combine(text, change.base.wrapping_mul(2).wrapping_add(u64::from(change.partial)))
}

/// Tells a body from others where a change of it is told. Invariant: a body of the second version has a part of its
/// SHA-256; all others have the digest that controllers of version 3 know.
pub fn body_digest(body: &[u8]) -> u64 {
    use sha2::Digest;
    if BodyForm::of(body) != BodyForm::Digested {
        return hashing::hash(body);
    }
    let hash = Sha256::digest(body);
    hash.iter().take(8).fold(0, |digest, byte| digest << 8 | u64::from(*byte))
}

#[cfg(test)]
#[path = "body_tests.rs"]
mod tests;
