//! The latest changes of a zone's endpoint list, each encoded once for all receivers.
//!
//! A receiver with a recent version gets the changes since that version, any other receiver the full list. The history
//! follows the current list, whether it came from a local poll or from a peer.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use load_balancing::ColdSpells;
use protocol::frame::{self, Kind};
use protocol::message::{EndpointList, EndpointUpdate, ListVersion, Message};

/// The maximum number of changes kept for receivers that are behind.
const MAX_CHANGES: usize = 32;
/// The maximum size of the changes kept for one zone, in bytes.
const MAX_CHANGES_BYTES: usize = 256 * 1024;
/// Lifetime of an encoded full list while engines are cold, in ms: the remaining warm-up times in it go out of date.
const COLD_FRAME_TTL_MS: u64 = 250;

/// An encoded change from the version `from` to the version that followed it on this controller.
struct EncodedChange {
    from: ListVersion,
    frame: Bytes,
}

/// The full list, encoded once for several receivers.
struct FullFrame {
    frame: Bytes,
    /// The time at which the frame expires, in ms. Set only if the list contains remaining warm-up times.
    expires_at: Option<u64>,
}

/// One zone's current list and the latest changes that led to it.
///
/// Invariants: each entry of `changes` starts at the version that the previous entry leads to, and the last one leads
/// to `current`; `full_frame` encodes `current`. The changes are bounded by count and by bytes.
pub struct ListHistory {
    current: Arc<EndpointList>,
    changes: VecDeque<EncodedChange>,
    changes_bytes: usize,
    full_frame: Option<FullFrame>,
    /// The cold spells of `current`. A list only gives the time that remained when it was published.
    cold_spells: ColdSpells,
}

impl ListHistory {
    /// Creates a history that starts with the list `current` and its cold spells.
    pub fn new(current: Arc<EndpointList>, cold_spells: ColdSpells) -> ListHistory {
        ListHistory { current, changes: VecDeque::new(), changes_bytes: 0, full_frame: None, cold_spells }
    }

    /// Records the change from the previous list to `list`, which is now current and has these cold spells.
    pub fn follow(&mut self, list: &Arc<EndpointList>, cold_spells: &ColdSpells) {
        if list.version() == self.current.version() {
            return;
        }
        let held = self.current.version();
        let update =
            EndpointUpdate::between_with(&self.current, list, |engine| cold_spells.is_announced_after(engine, held));
        self.cold_spells = cold_spells.clone();
        match encode(update) {
            Some(frame) => self.push(EncodedChange { from: self.current.version(), frame }),
            None => self.clear_changes(),
        }
        self.current = list.clone();
        self.full_frame = None;
    }

    fn push(&mut self, change: EncodedChange) {
        self.changes_bytes += change.frame.len();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.changes_bytes > MAX_CHANGES_BYTES {
            let Some(oldest) = self.changes.pop_front() else { return };
            self.changes_bytes -= oldest.frame.len();
        }
    }

    fn clear_changes(&mut self) {
        self.changes.clear();
        self.changes_bytes = 0;
    }

    /// Returns the version of the current list.
    pub fn version(&self) -> ListVersion {
        self.current.version()
    }

    /// Returns the frames that bring a receiver with version `known` up to date: the changes since then, or the full
    /// list if the changes are no longer kept or not smaller.
    pub fn frames_since(&mut self, known: Option<ListVersion>, now: u64) -> Vec<Bytes> {
        if known >= Some(self.version()) {
            return Vec::new();
        }
        let changes = self.changes_since(known);
        // A single change is almost always smaller than the full list, so the list is not encoded for the comparison.
        if changes.len() == 1 {
            return changes;
        }
        let size: usize = changes.iter().map(Bytes::len).sum();
        match self.full_frame(now) {
            Some(full) if changes.is_empty() || size >= full.len() => vec![full],
            _ => changes,
        }
    }

    fn changes_since(&self, known: Option<ListVersion>) -> Vec<Bytes> {
        let first = self.changes.iter().position(|change| Some(change.from) == known);
        first
            .map_or_else(Vec::new, |first| self.changes.iter().skip(first).map(|change| change.frame.clone()).collect())
    }

    /// Returns the latest change, or the full list if no change is kept.
    pub fn latest_frame(&mut self, now: u64) -> Option<Bytes> {
        let change = self.changes.back().map(|change| change.frame.clone());
        change.or_else(|| self.full_frame(now))
    }

    fn full_frame(&mut self, now: u64) -> Option<Bytes> {
        let is_usable = |full: &&FullFrame| full.expires_at.is_none_or(|until| now < until);
        if let Some(full) = self.full_frame.as_ref().filter(is_usable) {
            return Some(full.frame.clone());
        }
        let frame = encode(EndpointUpdate::whole(&self.list_as_of(now)))?;
        let expires_at = self.cold_spells.is_any_active(now).then_some(now + COLD_FRAME_TTL_MS);
        self.full_frame = Some(FullFrame { frame: frame.clone(), expires_at });
        Some(frame)
    }

    /// Returns the list with the warm-up times that remain at `now`.
    fn list_as_of(&self, now: u64) -> EndpointList {
        let mut list = EndpointList::clone(&self.current);
        self.cold_spells.update_remaining(&mut list.engines, now);
        list
    }
}

fn encode(update: EndpointUpdate) -> Option<Bytes> {
    frame::encode(Kind::Notification, 0, &Message::EndpointUpdate(Box::new(update))).ok().map(Bytes::from)
}

#[cfg(test)]
#[path = "list_history_tests.rs"]
mod tests;
