//! The choice of the cheapest candidate.

use kernel::hashing;

use super::candidates::Rating;
use super::cost::cached_tokens;
use super::{CachedPrefix, SelectedEngine, SelectionContext};
use crate::phase::Phase;

/// How many home engines of a prefix are looked at: the second takes what the first can't.
const HOMES_PER_PREFIX: usize = 2;

impl SelectionContext<'_> {
    /// Selects the engine that reads a prompt of `tokens` tokens.
    ///
    /// `cached` gives the longest prefix that each owner holds, and `shared` the length of the prefix that the prompt
    /// shares with others, whose key is `key`. Looked at are the owners, wherever they are, the home engines of the prefix
    /// and the router's own subset. While nobody owns the whole shared prefix, its first home engine is taken for an owner,
    /// so that all routers choose the same one. Owners of less don't count for that: a shorter prefix is at many engines,
    /// and all requests would turn to these.
    pub fn select_prefill(
        &self,
        tokens: u32,
        cached: &[CachedPrefix],
        shared: u32,
        key: u64,
    ) -> Option<SelectedEngine> {
        let PrefillCandidates { engines, first_home } = self.prefill_candidates(cached, key);
        let has_owner = cached.iter().any(|prefix| prefix.tokens >= shared && engines.contains(&prefix.engine));
        let cost = |at: usize| {
            let owned = cached_tokens(cached, at);
            let presumed = if !has_owner && Some(at) == first_home { shared.max(owned) } else { owned };
            self.prefill_cost(at, tokens, presumed)
        };
        self.cheapest(&engines, key, cost)
    }

    /// Adds the owners and the home engines of a prefix to the candidates, where they are rated no worse.
    fn prefill_candidates(&self, cached: &[CachedPrefix], key: u64) -> PrefillCandidates {
        let phase = Phase::Prefill;
        let mut engines = self.candidates(phase);
        let least = engines.iter().filter_map(|at| self.rating(*at, phase)).min().unwrap_or(Rating::Suspected);
        let is_good = |at: usize| self.rating(at, phase).is_some_and(|rating| rating >= least);
        let homes = self.subset(phase).map_or(Vec::new(), |subset| subset.home_engines(key, HOMES_PER_PREFIX, is_good));
        let owners = cached.iter().map(|prefix| prefix.engine).filter(|at| is_good(*at));
        for at in owners.chain(homes.iter().copied()) {
            if !engines.contains(&at) {
                engines.push(at);
            }
        }
        PrefillCandidates { engines, first_home: homes.first().copied() }
    }

    /// Selects the engine that decodes: near the KV cache and not crowded. `prefill_engine` is the one that read the
    /// prompt.
    pub fn select_decode(
        &self,
        tokens: u32,
        cached: &[CachedPrefix],
        prefill_engine: Option<usize>,
        key: u64,
    ) -> Option<usize> {
        let kv_zone = prefill_engine.map_or(self.zone, |at| self.engine_table.engines[at].zone);
        let cost = |at: usize| self.decode_cost(at, tokens, cached_tokens(cached, at), kv_zone);
        self.cheapest(&self.candidates(Phase::Decode), key, cost).map(|selected| selected.engine)
    }

    /// Selects a decode engine that reads the prompt itself. Its cost compares with that of `select_prefill`.
    pub fn select_combined(&self, tokens: u32, cached: &[CachedPrefix], key: u64) -> Option<SelectedEngine> {
        let cost = |at: usize| self.combined_cost(at, tokens, cached_tokens(cached, at));
        self.cheapest(&self.candidates(Phase::Decode), key, cost)
    }

    /// Returns the cheapest engine; among equal ones that with the highest rendezvous hash, the first one of these.
    fn cheapest(&self, engines: &[usize], key: u64, cost: impl Fn(usize) -> f64) -> Option<SelectedEngine> {
        let mut best: Option<(SelectedEngine, u64)> = None;
        for engine in engines.iter().copied() {
            let cost = cost(engine);
            let hash = hashing::combine(key, self.engine_table.engines[engine].id_hash);
            let is_better = best.as_ref().is_none_or(|(cheapest, highest_hash)| {
                cost < cheapest.cost || (cost == cheapest.cost && hash > *highest_hash)
            });
            if is_better {
                best = Some((SelectedEngine { engine, cost }, hash));
            }
        }
        best.map(|(selected, _)| selected)
    }
}

/// The engines that a selection for prefill looks at.
struct PrefillCandidates {
    engines: Vec<usize>,
    /// The first usable home engine of the prefix.
    first_home: Option<usize>,
}
