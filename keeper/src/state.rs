//! What the keys of the control state hold, and how it is read from what was committed.

/// Invariants: `revision` rises with each change; `taken` are the digests of changes that were
/// acknowledged or may have been, oldest first.
#[derive(Clone, Debug, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Held {
    pub revision: u64,
    pub text: String,
    pub taken: Vec<u64>,
}

#[derive(Clone, Debug, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Closed {
    pub version: u64,
    pub on: bool,
}

#[derive(Clone, Debug, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Duty {
    pub epoch: u64,
    pub holder: String,
    /// The holder has waited out whoever held it before, and said so before its first act.
    pub clear: bool,
}

pub const CONFIG: &str = "config";
pub const CLOSED: &str = "evacuation/";
pub const DUTY: &str = "duty/";

kernel::bytes!(Held);
kernel::bytes!(Closed);

/// How a packed body begins. Invariant: no plain one begins so, since its first byte is the first of a
/// JSON text or of a number's low end.
const PACKED: [u8; 8] = *b"\0tdplz4\0";
/// Shorter ones stay plain.
const PACK_FROM: usize = 16 * 1024;
const UNPACKED_MOST: usize = 64 * 1024 * 1024;

impl Held {
    /// A long configuration is packed: the body goes to every voter in each round, and to its disk.
    pub fn seal(&self, pack: bool) -> Vec<u8> {
        let plain = self.write_bytes();
        if !pack || plain.len() < PACK_FROM {
            return plain;
        }
        [&PACKED[..], &lz4_flex::compress_prepend_size(&plain)].concat()
    }

    /// Is this body packed? Then every keeper that has to read it reads such ones.
    pub fn is_packed(body: &[u8]) -> bool {
        body.starts_with(&PACKED)
    }

    /// Reads either form. None: neither, which is never taken for an empty one.
    pub fn open(body: &[u8]) -> Option<Held> {
        if body.is_empty() {
            return Some(Held::default());
        }
        let Some(rest) = body.strip_prefix(&PACKED[..]) else { return Held::read_bytes(body) };
        let size = u32::from_le_bytes(*rest.first_chunk::<4>()?) as usize;
        if size > UNPACKED_MOST {
            return None;
        }
        Held::read_bytes(&lz4_flex::decompress_size_prepended(rest).ok()?)
    }
}
kernel::bytes!(Duty);

pub use ledger::core_body::{read as read_core, write as write_core};

impl crate::keeper::Keeper {
    /// A committed entry becomes known here; with `tell` also to the other keepers. Followers get
    /// what is new to them at once.
    pub fn learn(&self, key: &str, entry: &wire::msg::Entry, tell: bool) {
        {
            let mut committed_state = self.committed_state.lock().expect("committed_state");
            committed_state.turn = committed_state.turn.max(entry.ballot.turn);
            if committed_state.entries.get(key).is_some_and(|held| held.place() >= entry.place()) {
                return;
            }
            let same = committed_state.entries.get(key).is_some_and(|held| held.body == entry.body);
            committed_state.entries.insert(key.into(), entry.clone());
            if !same {
                fold(&mut committed_state, key, &entry.body);
                let revision = committed_state.config.as_ref().map_or(0, |config| config.0);
                kernel::say!(crate::event::LEARNED, "key" => key, "revision" => revision, "turn" => entry.ballot.turn, "step" => entry.step);
            }
        }
        if key == ledger::CORE {
            if let Some(core) = read_core(&entry.body) {
                self.adopt(&core);
            }
        }
        if tell {
            let note = wire::msg::Msg::Learn(Box::new((key.into(), entry.clone())));
            for ip in self.known() {
                self.peer(&ip).cast(note.clone());
            }
        }
        self.push();
    }
}

fn fold(committed_state: &mut crate::keeper::CommittedState, key: &str, body: &[u8]) {
    if key == CONFIG {
        let Some(held) = Held::open(body) else { return };
        // Checked before it was committed.
        if let Ok(config) = wire::config::read(&held.text) {
            committed_state.history.advance(config);
        }
        committed_state.config = Some((held.revision, held.text.into_bytes()));
    }
    if let Some(zone) = key.strip_prefix(CLOSED) {
        let closed = Closed::read_bytes(body).unwrap_or_default();
        committed_state.closed.insert(zone.into(), (closed.version, closed.on));
    }
    if key.starts_with(wire::msg::ROLLOUT) {
        if let Some(rule) = wire::msg::Rule::read_bytes(body) {
            committed_state.rules.insert(key.into(), rule);
        }
    }
    if key.starts_with(DUTY) {
        let duty = Duty::read_bytes(body).unwrap_or_default();
        committed_state.duties.insert(key.into(), (duty.epoch, duty.holder, duty.clear));
    }
}

#[cfg(test)]
#[path = "state_tests.rs"]
mod tests;
