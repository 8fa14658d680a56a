//! The latest changes of a zone's endpoint list, encoded once for all that they are sent to.
//!
//! Whoever has a recent version gets the changes since, anyone else the whole list. What is kept follows the list that is in
//! force, whichever way that came to be known.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use protocol::frame::{self, Kind};
use protocol::message::{EndpointList, EndpointUpdate, Engine, ListVersion, Message};

/// How many changes are kept for those that are behind.
const MAX_CHANGES: usize = 32;
/// How many bytes of such changes are kept for one zone.
const MAX_CHANGES_BYTES: usize = 256 * 1024;
/// For how long an encoded whole list is sent while engines are cold, in ms: what is left of that runs down.
const COLD_FRAME_TTL_MS: u64 = 250;

/// A change of the version `from` to the next one that was in force here.
struct EncodedChange {
    from: ListVersion,
    frame: Bytes,
}

/// The whole list, encoded once for several that ask for it.
struct WholeFrame {
    frame: Bytes,
    /// Until when it may be sent, where it says what is left of slow starts.
    expires_at: Option<u64>,
}

/// One zone's list and the latest changes that led to it.
///
/// Invariants: `changes` is a chain, each from the version before it to the next, the last one ending at `current`;
/// `whole_frame` is of `current`. What is kept is bounded by count and by bytes.
pub struct ListHistory {
    current: Arc<EndpointList>,
    changes: VecDeque<EncodedChange>,
    changes_bytes: usize,
    whole_frame: Option<WholeFrame>,
    /// Until when each engine that is listed as cold stays so, in ms of the steady clock: lists say how much was left when
    /// they were made.
    cold_until: HashMap<String, u64>,
}

impl ListHistory {
    /// Returns the history of a list that has just become known.
    pub fn new(current: Arc<EndpointList>, now: u64) -> ListHistory {
        let cold_until = cold_until(&current.engines, now).collect();
        ListHistory { current, changes: VecDeque::new(), changes_bytes: 0, whole_frame: None, cold_until }
    }

    /// Follows the list that is in force.
    pub fn follow(&mut self, list: &Arc<EndpointList>, now: u64) {
        if list.version() == self.current.version() {
            return;
        }
        let update = EndpointUpdate::between(&self.current, list);
        for engine in update.unpack().map(|engines| engines.changed).unwrap_or_default() {
            self.cold_until.remove(&engine.id);
            self.cold_until.extend(cold_until(&[engine], now));
        }
        self.cold_until.retain(|_, until| *until > now);
        match encode(update) {
            Some(frame) => self.push(EncodedChange { from: self.current.version(), frame }),
            None => self.clear_changes(),
        }
        self.current = list.clone();
        self.whole_frame = None;
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

    /// Returns the version in force.
    pub fn version(&self) -> ListVersion {
        self.current.version()
    }

    /// Returns what brings one that has the version `known` up to date: the changes since, or the whole list where the
    /// changes are not known or not smaller.
    pub fn frames_since(&mut self, known: Option<ListVersion>, now: u64) -> Vec<Bytes> {
        if known >= Some(self.version()) {
            return Vec::new();
        }
        let changes = self.changes_since(known);
        // One change is almost always smaller: the whole list need not be encoded to see it.
        if changes.len() == 1 {
            return changes;
        }
        let size: usize = changes.iter().map(Bytes::len).sum();
        match self.whole_frame(now) {
            Some(whole) if changes.is_empty() || size >= whole.len() => vec![whole],
            _ => changes,
        }
    }

    fn changes_since(&self, known: Option<ListVersion>) -> Vec<Bytes> {
        let first = self.changes.iter().position(|change| Some(change.from) == known);
        first
            .map_or_else(Vec::new, |first| self.changes.iter().skip(first).map(|change| change.frame.clone()).collect())
    }

    /// Returns the latest change, or the whole list where none is known.
    pub fn latest_frame(&mut self, now: u64) -> Option<Bytes> {
        let change = self.changes.back().map(|change| change.frame.clone());
        change.or_else(|| self.whole_frame(now))
    }

    fn whole_frame(&mut self, now: u64) -> Option<Bytes> {
        let is_usable = |whole: &&WholeFrame| whole.expires_at.is_none_or(|until| now < until);
        if let Some(whole) = self.whole_frame.as_ref().filter(is_usable) {
            return Some(whole.frame.clone());
        }
        self.cold_until.retain(|_, until| *until > now);
        let frame = encode(EndpointUpdate::whole(&self.list_as_of(now)))?;
        let expires_at = (!self.cold_until.is_empty()).then_some(now + COLD_FRAME_TTL_MS);
        self.whole_frame = Some(WholeFrame { frame: frame.clone(), expires_at });
        Some(frame)
    }

    /// Returns the list with what is left of slow starts now. One that is listed as cold stays so until the list says
    /// otherwise.
    fn list_as_of(&self, now: u64) -> EndpointList {
        let mut list = EndpointList::clone(&self.current);
        for engine in list.engines.iter_mut().filter(|engine| engine.cold_ms > 0) {
            let left = self.cold_until.get(&engine.id).map_or(0, |until| until.saturating_sub(now));
            engine.cold_ms = (left as u32).max(1);
        }
        list
    }
}

fn cold_until(engines: &[Engine], now: u64) -> impl Iterator<Item = (String, u64)> + '_ {
    let cold = engines.iter().filter(|engine| engine.cold_ms > 0);
    cold.map(move |engine| (engine.id.clone(), now + u64::from(engine.cold_ms)))
}

fn encode(update: EndpointUpdate) -> Option<Bytes> {
    frame::encode(Kind::Notification, 0, &Message::EndpointUpdate(Box::new(update))).ok().map(Bytes::from)
}

#[cfg(test)]
#[path = "list_history_tests.rs"]
mod tests;
