//! The engines that a router knows, by index, with their estimated load and this router's subsets.

use std::collections::{HashMap, HashSet};

use kernel::hashing;
use protocol::message::{self, EndpointList, EndpointUpdate, Engine, EngineLoad, EngineWeights, VersionEntry};
use protocol::version_rollout;

use crate::endpoint_lists::EndpointLists;
use crate::engine_state::EngineState;
use crate::phase::Phase;
use crate::subset::{Subset, SubsetMember, SubsetParams};
use crate::topology::{Distance, NameIndex, Topology};

/// The half-life of a load report, in milliseconds: after that time the estimate takes half from the report and half
/// from the average engine.
const REPORT_HALF_LIFE_MS: f64 = 400.0;
/// The smoothing factor of the moving average of load: the weight of one report.
const MEAN_LOAD_SMOOTHING: f64 = 0.1;
/// The smoothing factor of the moving average of prompt tokens: the weight of one prefill.
const MEAN_PREFILL_SMOOTHING: f64 = 0.05;

/// Identifies the engines that one selection chooses from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SubsetKey {
    service: u32,
    phase: Phase,
    /// Whether they run a version that is being rolled out.
    is_candidate: bool,
}

/// Identifies the engines over which load is averaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct MeanLoadKey {
    service: u32,
    prefill: bool,
    is_candidate: bool,
}

impl MeanLoadKey {
    fn of(engine: &EngineState) -> MeanLoadKey {
        MeanLoadKey { service: engine.service, prefill: engine.prefill, is_candidate: engine.is_candidate }
    }
}

/// The engines of all zones. Times are in milliseconds.
///
/// Invariants: the index of an engine never changes; `subsets` are rebuilt with each list and each change of
/// `subset_params`.
#[derive(Default)]
pub struct EngineTable {
    /// All engines that have ever been listed, by index.
    pub engines: Vec<EngineState>,
    index_by_id: HashMap<String, usize>,
    index_by_id_hash: HashMap<u64, usize>,
    services: NameIndex,
    topology: Topology,
    lists: EndpointLists,
    /// By service: the mean number of uncached prompt tokens of the prefills sent by this router.
    mean_prefill_tokens: HashMap<u32, f64>,
    subsets: HashMap<SubsetKey, Subset>,
    /// The mean number of requests at an engine, as a moving average of the reports.
    mean_loads: HashMap<MeanLoadKey, f64>,
    subset_params: SubsetParams,
}

/// Names, zones and lists.
impl EngineTable {
    /// Returns the index of a service, and assigns one to a new name.
    pub fn service_index(&mut self, name: &str) -> u32 {
        self.services.index_of(name)
    }

    /// Returns the index of a zone, and assigns one to a new name.
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

    /// Returns the distance between two zones, given by index.
    pub(crate) fn distance(&self, from: u32, to: u32) -> Distance {
        self.topology.distance(from, to)
    }

    /// Returns the index of an engine.
    pub fn find(&self, id: &str) -> Option<usize> {
        self.index_by_id.get(id).copied()
    }

    /// Returns the versions of the lists held.
    pub fn list_versions(&self) -> Vec<VersionEntry> {
        self.lists.versions()
    }

    /// Returns the number of zones whose list is known.
    pub fn listed_zone_count(&self) -> usize {
        self.lists.iter().filter(|list| !message::is_hidden_key(&list.zone)).count()
    }

    /// Applies a list if it is newer than the current one. Returns the ids of engines that have just left or begun to
    /// drain.
    pub fn update(&mut self, list: &EndpointList, now: u64) -> Vec<String> {
        if !self.lists.update(list, now) {
            return Vec::new();
        }
        let (zone, is_candidate) = self.zone_of_list(&list.zone);
        let mut departed = self.unlist_missing(&list.engines, zone, is_candidate);
        departed.extend(self.apply_listings(&list.engines, zone, is_candidate, now));
        self.rebuild_subsets();
        departed
    }

    /// Applies an update to the list held. Returns the ids of engines that have just left or begun to drain; none if
    /// the update does not apply.
    pub fn apply_update(&mut self, update: &EndpointUpdate, now: u64) -> Vec<String> {
        let Some(engines) = self.lists.apply(update, now) else { return Vec::new() };
        let (zone, is_candidate) = self.zone_of_list(&update.zone);
        let mut departed = match update.base {
            Some(_) => self.unlist(&engines.removed, is_candidate),
            None => self.unlist_missing(&engines.changed, zone, is_candidate),
        };
        departed.extend(self.apply_listings(&engines.changed, zone, is_candidate, now));
        self.rebuild_subsets();
        departed
    }

    /// Returns the index of a list's zone, and whether it is the list of that zone's candidate engines.
    fn zone_of_list(&mut self, name: &str) -> (u32, bool) {
        let candidate_zone = version_rollout::candidate_zone(name);
        (self.zone_index(candidate_zone.unwrap_or(name)), candidate_zone.is_some())
    }

    /// Applies the entries of a list. Returns the ids of the engines that have begun to drain.
    fn apply_listings(&mut self, engines: &[Engine], zone: u32, is_candidate: bool, now: u64) -> Vec<String> {
        let mut draining = Vec::new();
        for listed in engines {
            let index = self.find_or_insert(listed, zone);
            if self.engines[index].apply_listing(listed, is_candidate, now) {
                draining.push(self.engines[index].id.clone());
            }
        }
        draining
    }

    /// Marks engines as no longer listed. Returns the ids of those that were listed. An engine that moved to the other
    /// list of its zone (stable or candidate) stays listed.
    fn unlist(&mut self, ids: &[String], is_candidate: bool) -> Vec<String> {
        let mut departed = Vec::new();
        for id in ids {
            let Some(index) = self.find(id) else { continue };
            let engine = &mut self.engines[index];
            if engine.listed && engine.is_candidate == is_candidate {
                engine.listed = false;
                departed.push(engine.id.clone());
            }
        }
        departed
    }

    /// Marks the engines of a zone that are missing from its list as no longer listed. Returns their ids.
    fn unlist_missing(&mut self, engines: &[Engine], zone: u32, is_candidate: bool) -> Vec<String> {
        let named: HashSet<&str> = engines.iter().map(|engine| engine.id.as_str()).collect();
        let is_missing = |engine: &&mut EngineState| {
            engine.zone == zone
                && engine.is_candidate == is_candidate
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
        if let Some(index) = self.find(&listed.id) {
            return index;
        }
        let index = self.engines.len();
        self.engines.push(EngineState::new(listed, service, zone));
        self.index_by_id_hash.insert(self.engines[index].id_hash, index);
        self.index_by_id.insert(listed.id.clone(), index);
        index
    }

    /// Marks engines that are about to change their phase: they get no new requests before `until`.
    pub fn mark_reassigning(&mut self, ids: &[String], until: u64) {
        for id in ids {
            if let Some(index) = self.find(id) {
                self.engines[index].reassigning_until = until;
            }
        }
    }

    /// Treats the engines of a zone as cold until a time, because they may be cold before the list says so.
    pub fn presume_zone_cold(&mut self, zone: u32, until: u64) {
        for engine in self.engines.iter_mut().filter(|engine| engine.zone == zone) {
            engine.presume_cold(until);
        }
    }

    /// Records the weight versions that a poller read.
    pub fn set_weight_versions(&mut self, versions: &[EngineWeights]) {
        for weights in versions {
            if let Some(index) = self.find(&weights.engine) {
                self.engines[index].set_weight_version(hashing::hash(weights.model.as_bytes()), Some(weights.version));
            }
        }
    }
}

/// Subsets.
impl EngineTable {
    /// Sets the parameters of this router's subsets: the hash of its name, its zone and the number of routers. A change
    /// of the router count by a quarter or less is ignored, so that subsets stay stable.
    pub fn set_router(&mut self, router_hash: u64, zone: u32, router_count: u32) {
        let zone_count = self.topology.configured_zone_count().max(1) as u32;
        let current = self.subset_params;
        let is_small_change = router_count.abs_diff(current.router_count) * 4 <= current.router_count;
        if current.router_hash == router_hash && current.zone_count == zone_count && is_small_change {
            return;
        }
        self.subset_params = SubsetParams { router_hash, zone, router_count, zone_count };
        self.rebuild_subsets();
    }

    fn rebuild_subsets(&mut self) {
        let mut members: HashMap<SubsetKey, Vec<SubsetMember>> = HashMap::new();
        for (index, engine) in self.engines.iter().enumerate().filter(|(_, engine)| engine.up && engine.listed) {
            let member = SubsetMember { engine: index, zone: engine.zone, id_hash: engine.id_hash };
            let phases = [(Phase::Prefill, engine.prefill), (Phase::Decode, engine.decode)];
            for (phase, _) in phases.into_iter().filter(|(_, serves)| *serves) {
                let key = SubsetKey { service: engine.service, phase, is_candidate: engine.is_candidate };
                members.entry(key).or_default().push(member);
            }
        }
        let params = self.subset_params;
        self.subsets = members.into_iter().map(|(key, members)| (key, Subset::build(params, &members))).collect();
    }

    /// Returns the subset of one phase of a service, of the version that is being rolled out if `is_candidate`, else of
    /// the stable one.
    pub fn subset(&self, service: u32, phase: Phase, is_candidate: bool) -> Option<&Subset> {
        self.subsets.get(&SubsetKey { service, phase, is_candidate })
    }

    /// Returns the hash of this router and an engine, which decides whether this router may send to the engine while it
    /// is cold.
    pub(crate) fn router_engine_hash(&self, id_hash: u64) -> u64 {
        hashing::combine(self.subset_params.router_hash, id_hash)
    }
}

/// Load.
impl EngineTable {
    /// Records the number of uncached tokens of a prefill that is about to be sent.
    pub fn record_prefill(&mut self, service: u32, tokens: u32) {
        let mean = self.mean_prefill_tokens.entry(service).or_insert(f64::from(tokens));
        *mean += (f64::from(tokens) - *mean) * MEAN_PREFILL_SMOOTHING;
    }

    /// Returns the mean number of uncached tokens of a service's prefills.
    pub(crate) fn mean_prefill_tokens(&self, service: u32) -> f64 {
        self.mean_prefill_tokens.get(&service).copied().unwrap_or(0.0)
    }

    /// Records the value of a `Server-Load` header from an engine's response to this router.
    pub fn record_reported_load(&mut self, index: usize, text: &str, now: u64) {
        let engine = &mut self.engines[index];
        if !engine.set_reported_load(text, now) {
            return;
        }
        let load = engine.reported_load.total();
        self.update_mean_load(index, load);
    }

    /// Records the load that an engine reported to another router, if that report is newer than the one held.
    pub fn record_relayed_load(&mut self, report: &EngineLoad, now: u64) {
        let Some(index) = self.index_by_id_hash.get(&report.engine_hash).copied() else { return };
        let time = now.saturating_sub(u64::from(report.age_ms));
        let engine = &mut self.engines[index];
        if time > engine.reported_at {
            engine.set_relayed_load(report.load, time);
            self.update_mean_load(index, report.load);
        }
    }

    fn update_mean_load(&mut self, index: usize, load: u32) {
        let key = MeanLoadKey::of(&self.engines[index]);
        let mean = self.mean_loads.entry(key).or_insert(f64::from(load));
        *mean += (f64::from(load) - *mean) * MEAN_LOAD_SMOOTHING;
    }

    /// Returns the estimated number of requests at all stable decode engines of an engine's service.
    pub(crate) fn stable_decode_load(&self, engine: &EngineState) -> f64 {
        let reported = self.mean_loads.get(&MeanLoadKey { is_candidate: false, ..MeanLoadKey::of(engine) });
        let count = self.subset(engine.service, Phase::Decode, false).map_or(0, |subset| subset.engines.len());
        // A report comes with a response and counts the request that it answers, so a random engine has one request
        // fewer on average.
        (reported.copied().unwrap_or(0.0) - 1.0).max(0.0) * count as f64
    }

    /// Returns the estimated number of requests at an engine: its last report, which decays into the mean of its phase,
    /// plus this router's sends since then. Never less than this router's requests in flight.
    pub fn estimated_load(&self, index: usize, now: u64) -> f64 {
        let engine = &self.engines[index];
        let own_in_flight = f64::from(engine.in_flight);
        let mean = self.mean_loads.get(&MeanLoadKey::of(engine)).copied().unwrap_or(0.0);
        if engine.reported_at == 0 {
            return mean + own_in_flight;
        }
        let freshness = (-(now.saturating_sub(engine.reported_at) as f64) / REPORT_HALF_LIFE_MS).exp2();
        let reported = f64::from(engine.reported_load.total());
        (reported * freshness + mean * (1.0 - freshness) + own_in_flight
            - f64::from(engine.in_flight_at_report) * freshness)
            .max(own_in_flight)
    }
}

#[cfg(test)]
#[path = "engine_table_tests.rs"]
mod tests;
