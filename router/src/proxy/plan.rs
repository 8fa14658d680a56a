//! Decides which engine prefills a prompt, as data, before anything is sent.
//!
//! The decision rests on which engines already own prefixes of the prompt: the local owner cache first, then the
//! catalog for the prefixes that the cache lacks.

use kernel::clock;
use load_balancing::{CachedPrefix, Phase, SelectionContext};

use crate::frontend::request::Request;
use crate::state::State;

/// How many engines of each phase are sampled for one request.
const SAMPLES_PER_PHASE: usize = 4;
/// How many home engines of the prefix are sampled for one request.
const SAMPLED_HOME_ENGINES: usize = 2;

/// Who prefills the prompt. Invariant: a prefill engine belongs to the route's service, stands in no excluded zone,
/// and was not tried before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// An engine of the prefill phase does.
    Prefill {
        /// The engine, by its index in the engine table.
        engine_index: usize,
        /// Prompt tokens that it does not have cached.
        tokens: u32,
    },
    /// The decode engine does: there is no prefill engine, or those are so loaded that a decode engine finishes
    /// sooner.
    Combined,
}

/// Decides who prefills the prompt, given the engines that own prefixes of it.
pub fn plan_prefill(selection: &SelectionContext, request: &Request, owners: &PrefixOwners) -> Plan {
    let (tokens, placement_hash) = (request.prompt_tokens(), placement_hash(request));
    let Some(prefill) = selection.select_prefill(tokens, owners, request.shared_tokens(), placement_hash) else {
        return Plan::Combined;
    };
    if selection.select_combined(tokens, owners, placement_hash).is_some_and(|combined| combined.cost < prefill.cost) {
        return Plan::Combined;
    }
    let cached_tokens = owners.iter().find(|prefix| prefix.engine == prefill.engine).map_or(0, |prefix| prefix.tokens);
    Plan::Prefill { engine_index: prefill.engine, tokens: tokens.saturating_sub(cached_tokens) }
}

/// For each engine that owns a prefix of the prompt: the tokens of the longest one.
pub type PrefixOwners = Vec<CachedPrefix>;

/// Returns the owners of the prompt's prefixes. Asks the catalog only for those that the owner cache lacks, and caches
/// what it answers.
pub async fn look_up_owners(state: &State, request: &Request, service: u32) -> PrefixOwners {
    let now = clock::now();
    let known = {
        let mut owner_cache = state.owner_cache();
        owner_cache.counts.queries += 1;
        owner_cache.known_prefix_count(&request.prefix_keys, now)
    };
    let missing = &request.prefix_keys[known..];
    if !missing.is_empty() {
        let sampled = sampled_engines(state, request, service);
        let found = state.prefix_catalog.look_up(missing, sampled).await;
        if let Some(found) = &found {
            let (now, mut engine_table) = (clock::now(), state.engines());
            found.loads.iter().for_each(|load| engine_table.record_relayed_load(load, now));
        }
        cache_owners(state, missing, found.map(|found| found.owners), known == 0, now);
    }
    cached_prefixes(state, request)
}

/// Caches what the catalog answered: for each missing key the names of its owners. None where it did not answer.
fn cache_owners(state: &State, missing: &[u64], found: Option<Vec<Vec<String>>>, all_missing: bool, now: u64) {
    let mut owner_cache = state.owner_cache();
    match &found {
        None => owner_cache.counts.unanswered += 1,
        Some(owners) if owners.iter().all(Vec::is_empty) => owner_cache.counts.no_owner += u64::from(all_missing),
        Some(_) => {}
    }
    for (key, engine_names) in missing.iter().zip(found.iter().flatten()) {
        for engine_name in engine_names {
            if !owner_cache.is_suppressed(engine_name, *key, now) {
                owner_cache.record(*key, engine_name, now);
            }
        }
    }
}

/// Returns the hashes of the engines whose load the catalog is asked for: the home engines of the prefix, and a few of
/// each phase, sampled from this router's subset.
fn sampled_engines(state: &State, request: &Request, service: u32) -> Vec<u64> {
    let roll = state.rng().next_u64();
    let engine_table = state.engines();
    let is_usable =
        |engine_index: usize| engine_table.engines[engine_index].up && engine_table.engines[engine_index].listed;
    let mut engine_indices = Vec::with_capacity(2 * SAMPLES_PER_PHASE + SAMPLED_HOME_ENGINES);
    for phase in [Phase::Prefill, Phase::Decode] {
        let Some(subset) = engine_table.subset(service, phase, false) else { continue };
        if phase == Phase::Prefill {
            engine_indices.extend(subset.home_engines(placement_hash(request), SAMPLED_HOME_ENGINES, is_usable));
        }
        engine_indices.extend(subset.sampled_run(roll, SAMPLES_PER_PHASE));
    }
    engine_indices.into_iter().map(|engine_index| engine_table.engines[engine_index].id_hash).collect()
}

/// Returns the longest prefix that each usable engine owns.
fn cached_prefixes(state: &State, request: &Request) -> PrefixOwners {
    let now = clock::now();
    let prefix_lengths = catalog::prefix_token_counts(&request.prompt_segments);
    let engine_table = state.engines();
    let mut owner_cache = state.owner_cache();
    let mut list: PrefixOwners = Vec::new();
    let mut stale_count = 0;
    for (key, prefix_tokens) in request.prefix_keys.iter().zip(prefix_lengths).rev() {
        for engine_name in owner_cache.owners(*key, now) {
            let usable = engine_table
                .find(engine_name)
                .filter(|at| engine_table.engines[*at].up && engine_table.engines[*at].listed);
            match usable {
                Some(at) if list.iter().any(|prefix| prefix.engine == at) => {}
                Some(at) => list.push(CachedPrefix { engine: at, tokens: prefix_tokens }),
                None => stale_count += 1,
            }
        }
    }
    owner_cache.counts.stale_owner += stale_count;
    owner_cache.counts.hits += u64::from(!list.is_empty());
    list
}

/// Returns the hash by which engines are ranked where their costs are equal: that of the shared prefix, so that requests
/// with the same prefix prefer the same engines.
pub fn placement_hash(request: &Request) -> u64 {
    let shared = request.prefix_keys.len().checked_sub(2).and_then(|at| request.prefix_keys.get(at));
    shared.or(request.prefix_keys.first()).copied().unwrap_or(request.received_at_ms)
}

/// Returns the zones that a request may not use, by dense index: evacuated ones, and those outside the home regions of
/// its route or of its tenant.
pub fn excluded_zones(state: &State, homes: [&[String]; 2]) -> Vec<u32> {
    let mut list = state.subscribed().evacuated_zones.clone();
    let outside = |region| homes.iter().any(|homes| !homes.is_empty() && !homes.contains(region));
    if homes.iter().all(|homes| homes.is_empty()) {
        return list;
    }
    let mut engine_table = state.engines();
    for (zone, region) in &state.settings.zones {
        if outside(region) {
            list.push(engine_table.zone_index(zone));
        }
    }
    list
}
