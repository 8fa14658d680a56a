//! The engines that a router knows, by index, with their estimated load and the subsets that it samples.

use std::collections::{HashMap, HashSet};

use kernel::hashing;
use protocol::message::{self, EndpointList, EndpointUpdate, Engine, EngineLoad, EngineWeights, VersionEntry};
use protocol::version_rollout;

use crate::endpoint_lists::EndpointLists;
use crate::engine_state::EngineState;
use crate::phase::Phase;
use crate::subset::{Subset, SubsetMember, SubsetParams};
use crate::topology::{Distance, NameIndex, Topology};

/// How fast a report loses its worth, in milliseconds: by then half of it is left, the rest is the average engine.
const REPORT_HALF_LIFE_MS: f64 = 400.0;
/// The weight of one report in the moving average of load.
const REPORT_WEIGHT: f64 = 0.1;
/// The weight of one prefill in the moving average of prompt tokens.
const PREFILL_WEIGHT: f64 = 0.05;

/// The engines among which one selection chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SubsetKey {
    service: u32,
    phase: Phase,
    /// Of a version that is being rolled out.
    is_candidate: bool,
}

/// The engines whose load is averaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct MeanLoadKey {
    service: u32,
    prefill: bool,
    is_candidate: bool,
}

impl MeanLoadKey {
    fn of(engine: &EngineState) -> MeanLoadKey {
        MeanLoadKey { service: engine.service, prefill: engine.prefill, is_candidate: engine.candidate }
    }
}

/// The engines of all zones. Times are in milliseconds.
///
/// Invariants: an engine keeps its index for good; `subsets` are built anew with each list and each change of
/// `subset_params`.
#[derive(Default)]
pub struct EngineTable {
    /// All engines that were ever listed, by index.
    pub engines: Vec<EngineState>,
    index_by_id: HashMap<String, usize>,
    index_by_id_hash: HashMap<u64, usize>,
    services: NameIndex,
    topology: Topology,
    lists: EndpointLists,
    /// By service: the prompt tokens that a prefill reads on average, as sent from here.
    mean_prefill_tokens: HashMap<u32, f64>,
    subsets: HashMap<SubsetKey, Subset>,
    /// Requests at an engine on average, from the reports that came lately.
    mean_loads: HashMap<MeanLoadKey, f64>,
    subset_params: SubsetParams,
}

/// Names, zones and lists.
impl EngineTable {
    /// Returns the index of a service, a new one for a new name.
    pub fn service_index(&mut self, name: &str) -> u32 {
        self.services.index_of(name)
    }

    /// Returns the index of a zone, a new one for a new name.
    pub fn zone_index(&mut self, name: &str) -> u32 {
        self.topology.zone_index(name)
    }

    /// Returns the name of a zone.
    pub fn zone_name(&self, zone: u32) -> Option<&str> {
        self.topology.zone_name(zone)
    }

    /// Sets the region of a zone.
    pub fn set_region(&mut self, zone: &str, region: &str) {
        self.topology.set_region(zone, region);
    }

    /// Returns how far one zone is from another, by their indices.
    pub(crate) fn distance(&self, one: u32, two: u32) -> Distance {
        self.topology.distance(one, two)
    }

    /// Returns the index of an engine.
    pub fn find(&self, id: &str) -> Option<usize> {
        self.index_by_id.get(id).copied()
    }

    /// Returns the versions of the lists held.
    pub fn list_versions(&self) -> Vec<VersionEntry> {
        self.lists.versions()
    }

    /// Returns how many zones' lists are known.
    pub fn listed_zone_count(&self) -> usize {
        self.lists.iter().filter(|list| !message::is_hidden_key(&list.zone)).count()
    }

    /// Takes over a list if it is newer than the current one. Returns the ids of engines that just left or began to drain.
    pub fn update(&mut self, list: &EndpointList, now: u64) -> Vec<String> {
        if !self.lists.update(list) {
            return Vec::new();
        }
        let (zone, is_candidate) = self.zone_of_list(&list.zone);
        let mut left = self.unlist_missing(&list.engines, zone, is_candidate);
        left.extend(self.apply_listings(&list.engines, zone, is_candidate, now));
        self.rebuild_subsets();
        left
    }

    /// Takes over an update that applies to the list held. Returns the ids of engines that just left or began to drain; none
    /// where the update does not apply.
    pub fn apply_update(&mut self, update: &EndpointUpdate, now: u64) -> Vec<String> {
        let Some(engines) = self.lists.apply(update) else { return Vec::new() };
        let (zone, is_candidate) = self.zone_of_list(&update.zone);
        let mut left = match update.base {
            Some(_) => self.unlist(&engines.removed, is_candidate),
            None => self.unlist_missing(&engines.changed, zone, is_candidate),
        };
        left.extend(self.apply_listings(&engines.changed, zone, is_candidate, now));
        self.rebuild_subsets();
        left
    }

    /// Returns the index of the zone of a list, and whether the list is that of its candidates.
    fn zone_of_list(&mut self, name: &str) -> (u32, bool) {
        let candidate_zone = version_rollout::candidate_zone(name);
        (self.zone_index(candidate_zone.unwrap_or(name)), candidate_zone.is_some())
    }

    /// Takes over what a list says of engines. Returns the ids of those that began to drain.
    fn apply_listings(&mut self, engines: &[Engine], zone: u32, is_candidate: bool, now: u64) -> Vec<String> {
        let mut draining = Vec::new();
        for listed in engines {
            let at = self.find_or_insert(listed, zone);
            if self.engines[at].apply_listing(listed, is_candidate, now) {
                draining.push(self.engines[at].id.clone());
            }
        }
        draining
    }

    /// Marks engines that a list does not name any more. Returns the ids of those that it named. An engine that moved to the
    /// other list of its zone stays.
    fn unlist(&mut self, ids: &[String], is_candidate: bool) -> Vec<String> {
        let mut left = Vec::new();
        for id in ids {
            let Some(at) = self.find(id) else { continue };
            let engine = &mut self.engines[at];
            if engine.listed && engine.candidate == is_candidate {
                engine.listed = false;
                left.push(engine.id.clone());
            }
        }
        left
    }

    /// Marks the engines of a zone that its list does not name any more. Returns their ids.
    fn unlist_missing(&mut self, engines: &[Engine], zone: u32, is_candidate: bool) -> Vec<String> {
        let named: HashSet<&str> = engines.iter().map(|engine| engine.id.as_str()).collect();
        let is_missing = |engine: &&mut EngineState| {
            engine.zone == zone
                && engine.candidate == is_candidate
                && engine.listed
                && !named.contains(engine.id.as_str())
        };
        let unlist = |engine: &mut EngineState| {
            engine.listed = false;
            engine.id.clone()
        };
        self.engines.iter_mut().filter(is_missing).map(unlist).collect()
    }

    fn find_or_insert(&mut self, listed: &Engine, zone: u32) -> usize {
        let service = self.service_index(&listed.service);
        if let Some(at) = self.find(&listed.id) {
            return at;
        }
        let at = self.engines.len();
        self.engines.push(EngineState::new(listed, service, zone));
        self.index_by_id_hash.insert(self.engines[at].id_hash, at);
        self.index_by_id.insert(listed.id.clone(), at);
        at
    }

    /// Marks engines that are about to change their phase: they get nothing new until then.
    pub fn mark_reassigning(&mut self, ids: &[String], until: u64) {
        for id in ids {
            if let Some(at) = self.find(id) {
                self.engines[at].reassigning_until = until;
            }
        }
    }

    /// Presumes that the engines of a zone are cold until a time, since they may be without the list saying so yet.
    pub fn presume_zone_cold(&mut self, zone: u32, until: u64) {
        for engine in self.engines.iter_mut().filter(|engine| engine.zone == zone) {
            engine.presume_cold(until);
        }
    }

    /// Records weight versions as a poller saw them.
    pub fn set_weight_versions(&mut self, versions: &[EngineWeights]) {
        for weights in versions {
            if let Some(at) = self.find(&weights.engine) {
                self.engines[at].set_weight_version(hashing::hash(weights.model.as_bytes()), Some(weights.version));
            }
        }
    }
}

/// Subsets.
impl EngineTable {
    /// Sets the router that samples here: the hash of its name, its zone, and how many routers there are. A count that
    /// changed by a quarter or less is left as it is, so that a subset lasts.
    pub fn set_router(&mut self, router_hash: u64, zone: u32, router_count: u32) {
        let zone_count = self.topology.configured_zone_count().max(1) as u32;
        let current = self.subset_params;
        let is_near = router_count.abs_diff(current.router_count) * 4 <= current.router_count;
        if current.router_hash == router_hash && current.zone_count == zone_count && is_near {
            return;
        }
        self.subset_params = SubsetParams { router_hash, zone, router_count, zone_count };
        self.rebuild_subsets();
    }

    fn rebuild_subsets(&mut self) {
        let mut members: HashMap<SubsetKey, Vec<SubsetMember>> = HashMap::new();
        for (at, engine) in self.engines.iter().enumerate().filter(|(_, engine)| engine.up && engine.listed) {
            let member = SubsetMember { engine: at, zone: engine.zone, id_hash: engine.id_hash };
            let phases = [(Phase::Prefill, engine.prefill), (Phase::Decode, engine.decode)];
            for (phase, _) in phases.into_iter().filter(|(_, serves)| *serves) {
                let key = SubsetKey { service: engine.service, phase, is_candidate: engine.candidate };
                members.entry(key).or_default().push(member);
            }
        }
        let params = self.subset_params;
        self.subsets = members.into_iter().map(|(key, members)| (key, Subset::build(params, &members))).collect();
    }

    /// Returns the subset of one phase of a service. `is_candidate`: of the version that is being rolled out.
    pub fn subset(&self, service: u32, phase: Phase, is_candidate: bool) -> Option<&Subset> {
        self.subsets.get(&SubsetKey { service, phase, is_candidate })
    }

    /// Returns the hash of this router and an engine, by which few routers are drawn for a cold engine.
    pub(crate) fn router_engine_hash(&self, id_hash: u64) -> u64 {
        hashing::combine(self.subset_params.router_hash, id_hash)
    }
}

/// Load.
impl EngineTable {
    /// Records the length of a prefill that is about to be sent, in tokens to be read.
    pub fn record_prefill(&mut self, service: u32, tokens: u32) {
        let mean = self.mean_prefill_tokens.entry(service).or_insert(f64::from(tokens));
        *mean += (f64::from(tokens) - *mean) * PREFILL_WEIGHT;
    }

    /// Returns the average length of a service's prefills, in tokens.
    pub(crate) fn mean_prefill_tokens(&self, service: u32) -> f64 {
        self.mean_prefill_tokens.get(&service).copied().unwrap_or(0.0)
    }

    /// Records the value of a `Server-Load` header that an engine sent to this router.
    pub fn record_reported_load(&mut self, at: usize, text: &str, now: u64) {
        let engine = &mut self.engines[at];
        if !engine.set_reported_load(text, now) {
            return;
        }
        let load = engine.reported_load.total();
        self.update_mean_load(at, load);
    }

    /// Records what an engine reported to another router, if that is newer than what is known.
    pub fn record_relayed_load(&mut self, report: &EngineLoad, now: u64) {
        let Some(at) = self.index_by_id_hash.get(&report.engine_hash).copied() else { return };
        let time = now.saturating_sub(u64::from(report.age_ms));
        let engine = &mut self.engines[at];
        if time > engine.reported_at {
            engine.set_relayed_load(report.load, time);
            self.update_mean_load(at, report.load);
        }
    }

    fn update_mean_load(&mut self, at: usize, load: u32) {
        let key = MeanLoadKey::of(&self.engines[at]);
        let mean = self.mean_loads.entry(key).or_insert(f64::from(load));
        *mean += (f64::from(load) - *mean) * REPORT_WEIGHT;
    }

    /// Returns the requests at all decode engines of the stable version of an engine's service, as far as can be known here.
    pub(crate) fn stable_decode_load(&self, engine: &EngineState) -> f64 {
        let reported = self.mean_loads.get(&MeanLoadKey { is_candidate: false, ..MeanLoadKey::of(engine) });
        let count = self.subset(engine.service, Phase::Decode, false).map_or(0, |subset| subset.engines.len());
        // What an engine reports with a response counts the request that it answers: a random engine has one fewer on average.
        (reported.copied().unwrap_or(0.0) - 1.0).max(0.0) * count as f64
    }

    /// Returns the requests at an engine as far as can be known here: what it last reported, fading into the average of
    /// the engines of its phase, and this router's own sends since. Never below the own requests in flight.
    pub fn estimated_load(&self, at: usize, now: u64) -> f64 {
        let engine = &self.engines[at];
        let own = f64::from(engine.in_flight);
        let mean = self.mean_loads.get(&MeanLoadKey::of(engine)).copied().unwrap_or(0.0);
        if engine.reported_at == 0 {
            return mean + own;
        }
        let worth = (-(now.saturating_sub(engine.reported_at) as f64) / REPORT_HALF_LIFE_MS).exp2();
        let reported = f64::from(engine.reported_load.total());
        (reported * worth + mean * (1.0 - worth) + own - f64::from(engine.in_flight_at_report) * worth).max(own)
    }
}

#[cfg(test)]
#[path = "engine_table_tests.rs"]
mod tests;
