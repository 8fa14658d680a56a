//! The list of engines as the pollers saw it, a sheet a zone.

use std::collections::BTreeMap;

use protocol::message::{self, EndpointList, Engine, VersionEntry};
use protocol::version_rollout;

/// The low bits of a turn that tell pollers apart: enough that no two of a large fleet share them.
const SEAT_BITS: u32 = 28;

/// Did the poller with this seat make a list of this turn?
pub fn is_turn_of(turn: u64, seat: u64) -> bool {
    let mask = (1 << SEAT_BITS) - 1;
    turn & mask == seat & mask
}

/// What was known of a zone's list at one moment: taken when a poll begins and compared when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    version: Option<(u64, u64)>,
    newest_turn: u64,
}

/// Invariant: the version (turn, count) of a zone's sheet never goes back.
#[derive(Default)]
pub struct Sheets {
    list: BTreeMap<String, EndpointList>,
    /// Turns that others were told of: the next own poll goes above them.
    floor: BTreeMap<String, u64>,
}

impl Sheets {
    /// True when the sheet is newer than what was held.
    pub fn take(&mut self, sheet: &EndpointList) -> bool {
        let held = self.list.get(&sheet.zone).map(|held| (held.term, held.sequence));
        if held >= Some((sheet.term, sheet.sequence)) {
            return false;
        }
        self.list.insert(sheet.zone.clone(), sheet.clone());
        true
    }

    /// To be asked before the first call of a poll.
    pub fn known(&self, zone: &str) -> Known {
        let version = self.list.get(zone).map(|held| (held.term, held.sequence));
        let floor = self.floor.get(zone).copied().unwrap_or(0);
        Known { version, newest_turn: version.map_or(0, |held| held.0).max(floor) }
    }

    /// What a poller saw that began when `known` was asked for. `turn` is its own while nobody else
    /// polled this zone since; else it goes above what is held. The low bits are the poller's seat, so
    /// that no two share a turn. Gives the new sheet when something changed.
    ///
    /// Another poller's list that became known meanwhile may be newer than what was seen, so what was
    /// seen is dropped: it would else be put above that list (a poller that froze in mid-poll).
    pub fn poll(
        &mut self,
        zone: &str,
        turn: &mut u64,
        seat: u64,
        list: Vec<Engine>,
        known: Known,
    ) -> Option<EndpointList> {
        if self.known(zone) != known {
            return None;
        }
        let held = self.list.get(zone);
        let top = known.newest_turn;
        if *turn == 0 || *turn != top {
            *turn = ((top >> SEAT_BITS) + 1) << SEAT_BITS | (seat & ((1 << SEAT_BITS) - 1));
        }
        let same = held.is_some_and(|held| held.term == *turn && alike(&held.engines, &list));
        if same {
            return None;
        }
        let count = held.filter(|held| held.term == *turn).map_or(1, |held| held.sequence + 1);
        let sheet = EndpointList { zone: zone.into(), term: *turn, sequence: count, engines: list };
        self.list.insert(zone.into(), sheet.clone());
        Some(sheet)
    }

    pub fn all(&self) -> impl Iterator<Item = &EndpointList> {
        self.list.values()
    }

    /// Those that are newer than the versions told.
    pub fn newer(&self, told: &[VersionEntry]) -> Vec<EndpointList> {
        let version =
            |zone: &str| told.iter().find(|entry| entry.name == zone).map(|entry| (entry.term, entry.sequence));
        self.list.values().filter(|held| Some((held.term, held.sequence)) > version(&held.zone)).cloned().collect()
    }

    pub fn versions(&self) -> Vec<VersionEntry> {
        self.list.values().map(|sheet| VersionEntry::new(&sheet.zone, sheet.term, sheet.sequence)).collect()
    }

    /// Someone holds lists of these turns: routers outlive the controllers that made them.
    pub fn raise(&mut self, told: &[VersionEntry]) {
        let is_list = |name: &str| !message::is_hidden_key(name) || version_rollout::candidate_zone(name).is_some();
        for entry in told.iter().filter(|entry| is_list(&entry.name)) {
            let floor = self.floor.entry(entry.name.clone()).or_default();
            *floor = (*floor).max(entry.term);
        }
    }

    pub fn floors(&self) -> Vec<VersionEntry> {
        self.floor.iter().map(|(zone, turn)| VersionEntry::new(zone, *turn, 0)).collect()
    }
}

/// The same but for the running down of what is left of a cold time.
fn alike(left: &[Engine], right: &[Engine]) -> bool {
    let plain = |engine: &Engine| Engine { cold_ms: u32::from(engine.cold_ms > 0), ..engine.clone() };
    left.len() == right.len() && left.iter().zip(right).all(|(one, two)| plain(one) == plain(two))
}

#[cfg(test)]
#[path = "sheet_tests.rs"]
mod tests;
