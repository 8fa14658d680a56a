//! The engines a router knows, by dense index, with what sending to them has shown.

use std::collections::{HashMap, HashSet};

use kernel::clock;
use protocol::message::{self, EndpointList, Engine, EngineLoad};
use protocol::version_rollout;

use crate::endpoint_lists::EndpointLists;
use crate::phase::Phase;
use crate::subset::{Subset, SubsetMember, SubsetParams};

use crate::engine_state::EngineState;

#[derive(Default)]
pub struct EngineTable {
    pub engines: Vec<EngineState>,
    index_by_id: HashMap<String, usize>,
    /// By the hash of the id.
    index_by_id_hash: HashMap<u64, usize>,
    services: HashMap<String, u32>,
    zones: HashMap<String, u32>,
    /// By zone: its region. A zone that is not named is a region of its own.
    regions: HashMap<u32, String>,
    lists: EndpointLists,
    /// By service: the prompt tokens that a read takes on average, as sent from here.
    mean_prefill_tokens: HashMap<u32, f64>,
    /// By service, half and whether of a version that is brought in: what choices sample from. Invariant: made anew with
    /// each list.
    subsets: HashMap<(u32, Phase, bool), Subset>,
    /// The same, by whether a reader: requests at an engine on average, from the reports that came lately.
    mean_loads: HashMap<(u32, bool, bool), f64>,
    subset_params: SubsetParams,
}

/// How fast a report loses its worth: by then half of it is left, the rest is the average engine.
const REPORT_HALF_LIFE_MS: f64 = 400.0;
/// What one report weighs in the average.
const REPORT_WEIGHT: f64 = 0.1;

fn index_of(map: &mut HashMap<String, u32>, name: &str) -> u32 {
    let next = map.len() as u32;
    *map.entry(name.to_string()).or_insert(next)
}

impl EngineTable {
    pub fn service_index(&mut self, name: &str) -> u32 {
        index_of(&mut self.services, name)
    }

    pub fn zone_index(&mut self, name: &str) -> u32 {
        index_of(&mut self.zones, name)
    }

    pub fn set_region(&mut self, zone: &str, region: &str) {
        let zone = self.zone_index(zone);
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
        self.index_by_id.get(id).copied()
    }

    pub fn mark_reassigning(&mut self, ids: &[String], until: u64) {
        for id in ids {
            if let Some(at) = self.find(id) {
                self.engines[at].reassigning_until = until;
            }
        }
    }

    pub fn record_prefill(&mut self, service: u32, tokens: u32) {
        let mean = self.mean_prefill_tokens.entry(service).or_insert(f64::from(tokens));
        *mean += (f64::from(tokens) - *mean) * 0.05;
    }

    pub fn mean_prefill_tokens(&self, service: u32) -> f64 {
        self.mean_prefill_tokens.get(&service).copied().unwrap_or(0.0)
    }

    pub fn list_versions(&self) -> Vec<(String, u64, u64)> {
        self.lists.versions()
    }

    /// How many zones' lists are known.
    pub fn listed_zone_count(&self) -> usize {
        self.lists.iter().filter(|list| !message::is_hidden_key(&list.zone)).count()
    }

    /// Who samples here. The number of routers counts by steps of a quarter: a subset should last.
    pub fn set_router(&mut self, router_hash: u64, zone: u32, router_count: u32) {
        let zone_count = self.regions.len().max(1) as u32;
        let held = self.subset_params;
        let near = router_count.abs_diff(held.router_count) * 4 <= held.router_count;
        if held.router_hash == router_hash && held.zone_count == zone_count && near {
            return;
        }
        self.subset_params = SubsetParams { router_hash, zone, router_count, zone_count };
        self.rebuild_subsets();
    }

    fn rebuild_subsets(&mut self) {
        let mut members: HashMap<(u32, Phase, bool), Vec<SubsetMember>> = Default::default();
        for (at, engine) in self.engines.iter().enumerate().filter(|(_, engine)| engine.up && engine.listed) {
            let mut put = |phase| {
                members.entry((engine.service, phase, engine.candidate)).or_default().push((
                    at,
                    engine.zone,
                    engine.id_hash,
                ))
            };
            if engine.prefill {
                put(Phase::Prefill);
            }
            if engine.decode {
                put(Phase::Decode);
            }
        }
        let params = self.subset_params;
        self.subsets = members.into_iter().map(|(key, list)| (key, Subset::build(params, &list))).collect();
    }

    /// The engines of one half of a service; `candidate`: those of a version that is brought in.
    pub fn subset(&self, service: u32, phase: Phase, candidate: bool) -> Option<&Subset> {
        self.subsets.get(&(service, phase, candidate))
    }

    /// This router's draw for an engine.
    pub fn router_engine_hash(&self, name: u64) -> u64 {
        clock::combine_hashes(self.subset_params.router_hash, name)
    }

    /// An engine told what runs and waits there.
    pub fn record_reported_load(&mut self, at: usize, text: &str, now: u64) {
        let engine = &mut self.engines[at];
        if !engine.set_reported_load(text, now) {
            return;
        }
        let load = engine.reported_load.0 + engine.reported_load.1;
        self.update_mean_load(at, load);
    }

    /// Versions as a poller saw them.
    pub fn set_weight_versions(&mut self, list: &[(String, String, u64)]) {
        for (id, model, version) in list {
            if let Some(at) = self.find(id) {
                self.engines[at].set_weight_version(clock::hash(model.as_bytes()), Some(*version));
            }
        }
    }

    /// What an engine told another router lately.
    pub fn record_relayed_load(&mut self, told: &EngineLoad, now: u64) {
        let Some(at) = self.index_by_id_hash.get(&told.engine_hash).copied() else { return };
        let time = now.saturating_sub(u64::from(told.age_ms));
        let engine = &mut self.engines[at];
        if time > engine.reported_at {
            engine.set_relayed_load(told.load, time);
            self.update_mean_load(at, told.load);
        }
    }

    fn update_mean_load(&mut self, at: usize, load: u32) {
        let engine = &self.engines[at];
        let mean = self.mean_loads.entry((engine.service, engine.prefill, engine.candidate)).or_insert(f64::from(load));
        *mean += (f64::from(load) - *mean) * REPORT_WEIGHT;
    }

    /// Requests at an engine, as far as can be known here: what it last told, fading into what engines of
    /// its phase tell on average, and the own sends since.
    pub fn estimated_load(&self, at: usize, now: u64) -> f64 {
        let engine = &self.engines[at];
        let own = f64::from(engine.in_flight);
        let mean = self.mean_loads.get(&(engine.service, engine.prefill, engine.candidate)).copied().unwrap_or(0.0);
        if engine.reported_at == 0 {
            return mean + own;
        }
        let worth = (-(now.saturating_sub(engine.reported_at) as f64) / REPORT_HALF_LIFE_MS).exp2();
        let told = f64::from(engine.reported_load.0 + engine.reported_load.1);
        (told * worth + mean * (1.0 - worth) + own - f64::from(engine.in_flight_at_report) * worth).max(own)
    }

    /// Takes a list; gives the ids of engines that just left or began to drain.
    pub fn update(&mut self, list: &EndpointList, now: u64) -> Vec<String> {
        if !self.lists.update(list) {
            return Vec::new();
        }
        let candidate_zone = version_rollout::candidate_zone(&list.zone);
        let candidate = candidate_zone.is_some();
        let zone = self.zone_index(candidate_zone.unwrap_or(&list.zone));
        let mut left = Vec::new();
        let named: HashSet<&str> = list.engines.iter().map(|engine| engine.id.as_str()).collect();
        let listed = |engine: &&mut EngineState| engine.zone == zone && engine.candidate == candidate && engine.listed;
        for engine in self.engines.iter_mut().filter(listed) {
            if !named.contains(engine.id.as_str()) {
                engine.listed = false;
                left.push(engine.id.clone());
            }
        }
        for reported in &list.engines {
            let service = self.service_index(&reported.service);
            let at = match self.index_by_id.get(&reported.id) {
                Some(at) => *at,
                None => self.insert(reported, service, zone),
            };
            let engine = &mut self.engines[at];
            if engine.up && !reported.up {
                left.push(engine.id.clone());
            }
            engine.listed = !engine.retired;
            engine.candidate = candidate;
            engine.up = reported.up;
            engine.address.clone_from(&reported.addr);
            engine.prefill = reported.phase != "decode";
            engine.decode = reported.phase != "prefill";
            engine.slots = reported.slots.max(1);
            if reported.cold_ms > 0 {
                engine.cold_until = engine.cold_until.max(now + u64::from(reported.cold_ms));
            }
        }
        self.rebuild_subsets();
        left
    }

    /// The engines of a zone may be cold without the list saying so yet: taken for cold until then.
    pub fn presume_zone_cold(&mut self, zone: u32, until: u64) {
        for engine in self.engines.iter_mut().filter(|engine| engine.zone == zone) {
            engine.presume_cold(until);
        }
    }

    fn insert(&mut self, engine: &Engine, service: u32, zone: u32) -> usize {
        let at = self.engines.len();
        self.engines.push(EngineState::new(engine, service, zone));
        self.index_by_id_hash.insert(self.engines[at].id_hash, at);
        self.index_by_id.insert(engine.id.clone(), at);
        at
    }
}

#[cfg(test)]
#[path = "engine_table_tests.rs"]
mod tests;
