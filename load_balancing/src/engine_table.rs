//! The engines a router knows, by dense index, with what sending to them has shown.

use std::collections::{HashMap, HashSet};

use kernel::clock;
use protocol::message::{self, EndpointList, Engine, EngineLoad, EngineWeights, VersionEntry};
use protocol::version_rollout;

use crate::place::Half;
use crate::sheet::Sheets;
use crate::subset::{Named, Seat, Subset};

pub use crate::engine_state::EngineState;

#[derive(Default)]
pub struct EngineTable {
    pub list: Vec<EngineState>,
    index: HashMap<String, usize>,
    /// By the hash of the id.
    names: HashMap<u64, usize>,
    services: HashMap<String, u32>,
    zones: HashMap<String, u32>,
    /// By zone: its region. A zone that is not named is a region of its own.
    regions: HashMap<u32, String>,
    sheets: Sheets,
    /// By service: the prompt tokens that a read takes on average, as sent from here.
    reads: HashMap<u32, f64>,
    /// By service, half and whether of a version that is brought in: what choices sample from. Invariant: made anew with
    /// each sheet.
    subsets: HashMap<(u32, Half, bool), Subset>,
    /// The same, by whether a reader: requests at an engine on average, from the reports that came lately.
    means: HashMap<(u32, bool, bool), f64>,
    seat: Seat,
}

/// How fast a report loses its worth: by then half of it is left, the rest is the average engine.
const HALF_LIFE_MS: f64 = 400.0;
/// What one report weighs in the average.
const REPORT: f64 = 0.1;

fn dense(map: &mut HashMap<String, u32>, name: &str) -> u32 {
    let next = map.len() as u32;
    *map.entry(name.to_string()).or_insert(next)
}

impl EngineTable {
    pub fn service(&mut self, name: &str) -> u32 {
        dense(&mut self.services, name)
    }

    pub fn zone(&mut self, name: &str) -> u32 {
        dense(&mut self.zones, name)
    }

    pub fn region(&mut self, zone: &str, region: &str) {
        let zone = self.zone(zone);
        self.regions.insert(zone, region.into());
    }

    /// 0: the same zone; 1: the same region; 2: another region.
    pub fn distance(&self, one: u32, two: u32) -> usize {
        if one == two {
            return 0;
        }
        let near = self.regions.get(&one).is_some_and(|region| self.regions.get(&two) == Some(region));
        2 - usize::from(near)
    }

    pub fn find(&self, id: &str) -> Option<usize> {
        self.index.get(id).copied()
    }

    pub fn rest(&mut self, ids: &[String], until: u64) {
        for id in ids {
            if let Some(at) = self.find(id) {
                self.list[at].rest_until = until;
            }
        }
    }

    pub fn note_read(&mut self, service: u32, tokens: u32) {
        let mean = self.reads.entry(service).or_insert(f64::from(tokens));
        *mean += (f64::from(tokens) - *mean) * 0.05;
    }

    pub fn mean_read(&self, service: u32) -> f64 {
        self.reads.get(&service).copied().unwrap_or(0.0)
    }

    pub fn versions(&self) -> Vec<VersionEntry> {
        self.sheets.versions()
    }

    /// How many zones' lists are known.
    pub fn zones_listed(&self) -> usize {
        self.sheets.all().filter(|sheet| !message::is_hidden_key(&sheet.zone)).count()
    }

    /// Who samples here. The number of routers counts by steps of a quarter: a subset should last.
    pub fn sit(&mut self, mark: u64, zone: u32, routers: u32) {
        let zones = self.regions.len().max(1) as u32;
        let held = self.seat;
        let near = routers.abs_diff(held.routers) * 4 <= held.routers;
        if held.mark == mark && held.zones == zones && near {
            return;
        }
        self.seat = Seat { mark, zone, routers, zones };
        self.sort();
    }

    fn sort(&mut self) {
        let mut lists: HashMap<(u32, Half, bool), Vec<Named>> = Default::default();
        for (at, engine) in self.list.iter().enumerate().filter(|(_, engine)| engine.up && engine.here) {
            let mut put = |half| {
                lists.entry((engine.service, half, engine.candidate)).or_default().push((at, engine.zone, engine.name))
            };
            if engine.prefill {
                put(Half::Prefill);
            }
            if engine.decode {
                put(Half::Decode);
            }
        }
        let seat = self.seat;
        self.subsets = lists.into_iter().map(|(key, list)| (key, Subset::make(seat, &list))).collect();
    }

    /// The engines of one half of a service; `candidate`: those of a version that is brought in.
    pub fn subset(&self, service: u32, half: Half, candidate: bool) -> Option<&Subset> {
        self.subsets.get(&(service, half, candidate))
    }

    /// This router's draw for an engine.
    pub fn ticket(&self, name: u64) -> u64 {
        clock::combine_hashes(self.seat.mark, name)
    }

    /// An engine told what runs and waits there.
    pub fn report(&mut self, at: usize, text: &str, now: u64) {
        let engine = &mut self.list[at];
        if !engine.report(text, now) {
            return;
        }
        let load = engine.load.0 + engine.load.1;
        self.average(at, load);
    }

    /// Versions as a poller saw them.
    pub fn weigh(&mut self, list: &[EngineWeights]) {
        for weights in list {
            if let Some(at) = self.find(&weights.engine) {
                self.list[at].weigh(clock::hash(weights.model.as_bytes()), Some(weights.version));
            }
        }
    }

    /// What an engine told another router lately.
    pub fn hear(&mut self, told: &EngineLoad, now: u64) {
        let Some(at) = self.names.get(&told.engine_hash).copied() else { return };
        let time = now.saturating_sub(u64::from(told.age_ms));
        let engine = &mut self.list[at];
        if time > engine.load_at {
            engine.hear(told.load, time);
            self.average(at, told.load);
        }
    }

    fn average(&mut self, at: usize, load: u32) {
        let engine = &self.list[at];
        let mean = self.means.entry((engine.service, engine.prefill, engine.candidate)).or_insert(f64::from(load));
        *mean += (f64::from(load) - *mean) * REPORT;
    }

    /// Requests at an engine, as far as can be known here: what it last told, fading into what engines of
    /// its half tell on average, and the own sends since.
    pub fn pressure(&self, at: usize, now: u64) -> f64 {
        let engine = &self.list[at];
        let own = f64::from(engine.busy);
        let mean = self.means.get(&(engine.service, engine.prefill, engine.candidate)).copied().unwrap_or(0.0);
        if engine.load_at == 0 {
            return mean + own;
        }
        let worth = (-(now.saturating_sub(engine.load_at) as f64) / HALF_LIFE_MS).exp2();
        let told = f64::from(engine.load.0 + engine.load.1);
        (told * worth + mean * (1.0 - worth) + own - f64::from(engine.load_busy) * worth).max(own)
    }

    /// Takes a sheet; gives the ids of engines that just left or began to drain.
    pub fn take(&mut self, sheet: &EndpointList, now: u64) -> Vec<String> {
        if !self.sheets.take(sheet) {
            return Vec::new();
        }
        let candidate_zone = version_rollout::candidate_zone(&sheet.zone);
        let candidate = candidate_zone.is_some();
        let zone = self.zone(candidate_zone.unwrap_or(&sheet.zone));
        let mut left = Vec::new();
        let named: HashSet<&str> = sheet.engines.iter().map(|engine| engine.id.as_str()).collect();
        let listed = |engine: &&mut EngineState| engine.zone == zone && engine.candidate == candidate && engine.here;
        for engine in self.list.iter_mut().filter(listed) {
            if !named.contains(engine.id.as_str()) {
                engine.here = false;
                left.push(engine.id.clone());
            }
        }
        for told in &sheet.engines {
            let service = self.service(&told.service);
            let at = match self.index.get(&told.id) {
                Some(at) => *at,
                None => self.add(told, service, zone),
            };
            let engine = &mut self.list[at];
            if engine.up && !told.up {
                left.push(engine.id.clone());
            }
            engine.here = !engine.dead;
            engine.candidate = candidate;
            engine.up = told.up;
            engine.addr.clone_from(&told.addr);
            engine.prefill = told.phase != "decode";
            engine.decode = told.phase != "prefill";
            engine.slots = told.slots.max(1);
            if told.cold_ms > 0 {
                engine.cold_until = engine.cold_until.max(now + u64::from(told.cold_ms));
            }
        }
        self.sort();
        left
    }

    /// The engines of a zone may be cold without the list saying so yet: taken for cold until then.
    pub fn presume_zone_cold(&mut self, zone: u32, until: u64) {
        for engine in self.list.iter_mut().filter(|engine| engine.zone == zone) {
            engine.presume_cold(until);
        }
    }

    fn add(&mut self, engine: &Engine, service: u32, zone: u32) -> usize {
        let at = self.list.len();
        self.list.push(EngineState::new(engine, service, zone));
        self.names.insert(self.list[at].name, at);
        self.index.insert(engine.id.clone(), at);
        at
    }
}

#[cfg(test)]
#[path = "engine_table_tests.rs"]
mod tests;
