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
    Read { at: usize, reads: u32 },
    /// The maker reads the prompt itself: there is no reader, or readers are so pressed that a maker
    /// is done sooner. The smallest exception to the ordinary path.
    Alone,
}

pub fn read(view: &SelectionContext, request: &Request, held: &PrefixOwners) -> Plan {
    let (tokens, rank) = (request.tokens(), rank(request));
    let Some(reader) = view.select_prefill(tokens, held, request.shared(), rank) else { return Plan::Alone };
    if view.select_combined(tokens, held, rank).is_some_and(|alone| alone.cost < reader.cost) {
        return Plan::Alone;
    }
    let have = held.iter().find(|prefix| prefix.engine == reader.engine).map_or(0, |prefix| prefix.tokens);
    Plan::Read { at: reader.engine, reads: tokens.saturating_sub(have) }
}

/// What was learned about the owners of a request's prefixes: engine and tokens held.
pub type PrefixOwners = Vec<CachedPrefix>;

/// Scans the local record, asks the catalog for the missing suffix only, and notes what it finds.
pub async fn owners(state: &State, request: &Request, service: u32) -> PrefixOwners {
    let now = clock::now();
    let known = {
        let mut record = state.owner_cache();
        record.counts.queries += 1;
        record.known_prefix_count(&request.keys, now)
    };
    let missing = &request.keys[known..];
    if !missing.is_empty() {
        let sample = sample(state, request, service);
        let found = state.prefix_catalog.query(missing, sample).await;
        if let Some(found) = &found {
            let (now, mut engine_table) = (clock::now(), state.engines());
            found.list.iter().for_each(|told| engine_table.record_relayed_load(told, now));
        }
        let found = found.map(|found| found.owners);
        let mut record = state.owner_cache();
        match &found {
            None => record.counts.unanswered += 1,
            Some(list) if list.iter().all(Vec::is_empty) => record.counts.no_owner += u64::from(known == 0),
            Some(_) => {}
        }
        for (key, names) in missing.iter().zip(found.iter().flatten()) {
            for name in names {
                if !record.is_suppressed(name, *key, now) {
                    record.record(*key, name, now);
                }
            }
        }
    }
    held(state, request)
}

/// The engines whose pressure is asked for: the homes of the prefix, and a few of each half drawn from
/// this router's subset.
fn sample(state: &State, request: &Request, service: u32) -> Vec<u64> {
    let roll = state.rng().next_u64();
    let engine_table = state.engines();
    let mut names = Vec::with_capacity(2 * DRAWN + 2);
    for half in [Phase::Prefill, Phase::Decode] {
        let Some(subset) = engine_table.subset(service, half, false) else { continue };
        if half == Phase::Prefill {
            names.extend(
                subset.home_engines(rank(request), 2, |at| {
                    engine_table.engines[at].up && engine_table.engines[at].listed
                }),
            );
        }
        names.extend(subset.sampled_run(roll, DRAWN));
    }
    names.into_iter().map(|at| engine_table.engines[at].id_hash).collect()
}

/// How many of a half are drawn for each request.
const DRAWN: usize = 4;

/// The longest prefix each usable engine owns.
fn held(state: &State, request: &Request) -> PrefixOwners {
    let now = clock::now();
    let depths = catalog::prefix_token_counts(&request.parts);
    let engine_table = state.engines();
    let mut record = state.owner_cache();
    let mut list: PrefixOwners = Vec::new();
    let mut stale = 0;
    for (key, depth) in request.keys.iter().zip(depths).rev() {
        for name in record.owners(*key, now) {
            let usable =
                engine_table.find(name).filter(|at| engine_table.engines[*at].up && engine_table.engines[*at].listed);
            match usable {
                Some(at) if list.iter().any(|prefix| prefix.engine == at) => {}
                Some(at) => list.push(CachedPrefix { engine: at, tokens: depth }),
                None => stale += 1,
            }
        }
    }
    record.counts.stale_owner += stale;
    record.counts.hits += u64::from(!list.is_empty());
    list
}

/// The key by which engines are ranked where nothing else tells them apart: the shared prefix.
pub fn rank(request: &Request) -> u64 {
    let shared = request.keys.len().checked_sub(2).and_then(|at| request.keys.get(at));
    shared.or(request.keys.first()).copied().unwrap_or(request.born)
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
