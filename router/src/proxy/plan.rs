//! Planning a request's way, as data, before anything is sent.

use kernel::clock;
use load_balancing::{CachedPrefix, Phase, SelectionContext};

use crate::frontend::request::Request;
use crate::state::State;

/// Who reads the prompt. Invariant: a reader is an engine of the route's service outside `shut`
/// that was not tried before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// The engine and the tokens it has yet to read.
    Prefill { engine_index: usize, tokens: u32 },
    /// The maker reads the prompt itself: there is no reader, or readers are so pressed that a maker
    /// is done sooner. The smallest exception to the ordinary path.
    Combined,
}

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

/// What was learned about the owners of a request's prefixes: engine and tokens held.
pub type PrefixOwners = Vec<CachedPrefix>;

/// Scans the local record, asks the catalog for the missing suffix only, and notes what it finds.
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
        let found = found.map(|found| found.owners);
        let mut owner_cache = state.owner_cache();
        match &found {
            None => owner_cache.counts.unanswered += 1,
            Some(list) if list.iter().all(Vec::is_empty) => owner_cache.counts.no_owner += u64::from(known == 0),
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
    cached_prefixes(state, request)
}

/// The engines whose pressure is asked for: the homes of the prefix, and a few of each half drawn from
/// this router's subset.
fn sampled_engines(state: &State, request: &Request, service: u32) -> Vec<u64> {
    let roll = state.rng().next_u64();
    let engine_table = state.engines();
    let mut engine_hashes = Vec::with_capacity(2 * SAMPLES_PER_PHASE + 2);
    for phase in [Phase::Prefill, Phase::Decode] {
        let Some(subset) = engine_table.subset(service, phase, false) else { continue };
        if phase == Phase::Prefill {
            engine_hashes.extend(subset.home_engines(placement_hash(request), 2, |at| {
                engine_table.engines[at].up && engine_table.engines[at].listed
            }));
        }
        engine_hashes.extend(subset.sampled_run(roll, SAMPLES_PER_PHASE));
    }
    engine_hashes.into_iter().map(|at| engine_table.engines[at].id_hash).collect()
}

/// How many of a half are drawn for each request.
const SAMPLES_PER_PHASE: usize = 4;

/// The longest prefix each usable engine owns.
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

/// The key by which engines are ranked where nothing else tells them apart: the shared prefix.
pub fn placement_hash(request: &Request) -> u64 {
    let shared = request.prefix_keys.len().checked_sub(2).and_then(|at| request.prefix_keys.get(at));
    shared.or(request.prefix_keys.first()).copied().unwrap_or(request.received_at_ms)
}

/// Zones that a request may not use: evacuated ones, and those outside the homes of its route or of its tenant.
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
