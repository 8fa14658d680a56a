//! Decides which engine prefills a prompt, before anything is sent.
//!
//! The decision depends on which engines already own prefixes of the prompt. Owners come from the local owner cache,
//! and from the catalog for prefixes that the cache lacks.

use kernel::clock;
use load_balancing::{CachedPrefix, Phase, SelectionContext};

use crate::frontend::request::Request;
use crate::state::State;

/// Number of engines of each phase that are sampled for one request.
const SAMPLES_PER_PHASE: usize = 4;
/// Number of home engines of the prefix that are sampled for one request.
const SAMPLED_HOME_ENGINES: usize = 2;

/// Which engine prefills the prompt. Invariant: a prefill engine belongs to the route's service, is in no excluded
/// zone, and was not tried before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// A prefill engine prefills it.
    Prefill {
        /// Index of the engine in the engine table.
        engine_index: usize,
        /// Prompt tokens that it does not have cached.
        tokens: u32,
    },
    /// The decode engine prefills it: there is no prefill engine, or the prefill engines are so loaded that a decode
    /// engine finishes sooner.
    Combined,
}

/// Decides which engine prefills the prompt, given the owners of its prefixes.
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

/// The engines that own a prefix of the prompt, each with the number of tokens in its longest one.
pub type PrefixOwners = Vec<CachedPrefix>;

/// Returns the owners of the prompt's prefixes. Queries the catalog only for those that the owner cache lacks, and
/// caches its response.
pub async fn look_up_owners(state: &State, request: &Request, service: u32) -> PrefixOwners {
    let now = clock::now();
    let known_count = {
        let mut owner_cache = state.owner_cache();
        owner_cache.counts.queries += 1;
        owner_cache.known_prefix_count(&request.prefix_keys, now)
    };
    let missing = &request.prefix_keys[known_count..];
    if !missing.is_empty() {
        let sampled = sampled_engines(state, request, service);
        let found = state.prefix_catalog.look_up(missing, sampled).await;
        if let Some(found) = &found {
            let (now, mut engine_table) = (clock::now(), state.engines());
            found.loads.iter().for_each(|load| engine_table.record_relayed_load(load, now));
        }
        cache_owners(state, missing, found.map(|found| found.owners), known_count == 0, now);
    }
    cached_prefixes(state, request)
}

/// Caches the catalog's response: for each missing key the ids of its owners, `None` if the catalog did not respond.
fn cache_owners(state: &State, missing: &[u64], found: Option<Vec<Vec<String>>>, all_missing: bool, now: u64) {
    let mut owner_cache = state.owner_cache();
    match &found {
        None => owner_cache.counts.unanswered += 1,
        Some(owners) if owners.iter().all(Vec::is_empty) => owner_cache.counts.no_owner += u64::from(all_missing),
        Some(_) => {}
    }
    for (key, engine_ids) in missing.iter().zip(found.iter().flatten()) {
        for engine_id in engine_ids {
            if !owner_cache.is_suppressed(engine_id, *key, now) {
                owner_cache.record(*key, engine_id, now);
            }
        }
    }
}

/// Returns the id hashes of the engines whose load is requested from the catalog: home engines of the prefix, and a few
/// engines of each phase, sampled from this router's subset.
fn sampled_engines(state: &State, request: &Request, service: u32) -> Vec<u64> {
    let random = state.rng().next_u64();
    let engine_table = state.engines();
    let is_usable =
        |engine_index: usize| engine_table.engines[engine_index].up && engine_table.engines[engine_index].listed;
    let mut engine_indices = Vec::with_capacity(2 * SAMPLES_PER_PHASE + SAMPLED_HOME_ENGINES);
    for phase in [Phase::Prefill, Phase::Decode] {
        let Some(subset) = engine_table.subset(service, phase, false) else { continue };
        if phase == Phase::Prefill {
            engine_indices.extend(subset.home_engines(placement_hash(request), SAMPLED_HOME_ENGINES, is_usable));
        }
        engine_indices.extend(subset.sampled_run(random, SAMPLES_PER_PHASE));
    }
    engine_indices.into_iter().map(|engine_index| engine_table.engines[engine_index].id_hash).collect()
}

/// Returns the usable engines that own a prefix of the prompt, each with its longest one.
fn cached_prefixes(state: &State, request: &Request) -> PrefixOwners {
    let now = clock::now();
    let prefix_lengths = catalog::prefix_token_counts(&request.prompt_segments);
    let engine_table = state.engines();
    let mut owner_cache = state.owner_cache();
    let mut prefix_owners: PrefixOwners = Vec::new();
    let mut stale_count = 0;
    for (key, prefix_tokens) in request.prefix_keys.iter().zip(prefix_lengths).rev() {
        for engine_id in owner_cache.owners(*key, now) {
            let usable = engine_table
                .find(engine_id)
                .filter(|index| engine_table.engines[*index].up && engine_table.engines[*index].listed);
            match usable {
                Some(index) if prefix_owners.iter().any(|prefix| prefix.engine == index) => {}
                Some(index) => prefix_owners.push(CachedPrefix { engine: index, tokens: prefix_tokens }),
                None => stale_count += 1,
            }
        }
    }
    owner_cache.counts.stale_owner += stale_count;
    owner_cache.counts.hits += u64::from(!prefix_owners.is_empty());
    prefix_owners
}

/// Returns the hash that ranks engines of equal cost. It is the key of the shared prefix, so that requests with the
/// same prefix prefer the same engines.
pub fn placement_hash(request: &Request) -> u64 {
    let shared = request.prefix_keys.len().checked_sub(2).and_then(|index| request.prefix_keys.get(index));
    shared.or(request.prefix_keys.first()).copied().unwrap_or(request.received_at_ms)
}

/// Returns the zones that a request must not use now. They are determined anew for each send: a zone may be evacuated,
/// and the regions of the route may change, while the request waits.
pub fn zones_excluded_for(state: &State, request: &Request) -> Vec<u32> {
    let table = state.table();
    let [admitted, tenant] = request.authorization.allowed_regions();
    let current = table.route(&request.authorization.route().name).map_or(admitted, |route| &route.allowed_regions);
    excluded_zones(state, [admitted, current, tenant])
}

/// Returns the zones that a request must not use now, by dense index: evacuated ones, and those outside any of the lists
/// of home regions, of its route as admitted and as currently configured and of its tenant. An empty list allows every
/// region.
pub fn excluded_zones<const LISTS: usize>(state: &State, home_regions: [&[String]; LISTS]) -> Vec<u32> {
    let mut zones = state.subscribed().evacuated_zones.clone();
    let is_outside = |region| home_regions.iter().any(|regions| !regions.is_empty() && !regions.contains(region));
    if home_regions.iter().all(|regions| regions.is_empty()) {
        return zones;
    }
    let mut engine_table = state.engines();
    for (zone, region) in &state.settings.zones {
        if is_outside(region) {
            zones.push(engine_table.zone_index(zone));
        }
    }
    zones
}
