//! Chooses the cheapest candidate.

use kernel::hashing;

use super::candidates::Rating;
use super::cost::cached_tokens;
use super::{CachedPrefix, SelectedEngine, SelectionContext};
use crate::phase::Phase;

/// The number of home engines considered per prefix: the second takes over when the first can't be used or is loaded.
const HOMES_PER_PREFIX: usize = 2;

impl SelectionContext<'_> {
    /// Selects the engine that prefills a prompt of `tokens` tokens.
    ///
    /// `cached` holds the longest prefix that each owner has cached, and `shared` is the length of the prefix that the
    /// prompt has in common with others; `key` identifies that prefix. The candidates are the owners in any zone, the
    /// home engines of the prefix and this router's subset. While no engine owns the whole shared prefix, its first
    /// home engine counts as its owner, so that all routers choose the same one. Owners of a shorter prefix don't
    /// prevent this: many engines hold a shorter prefix, and all requests would be drawn to them.
    pub fn select_prefill(
        &self,
        tokens: u32,
        cached: &[CachedPrefix],
        shared: u32,
        key: u64,
    ) -> Option<SelectedEngine> {
        let PrefillCandidates { engines, first_home } = self.prefill_candidates(cached, key);
        let has_owner = cached.iter().any(|prefix| prefix.tokens >= shared && engines.contains(&prefix.engine));
        let cost = |index: usize| {
            let owned = cached_tokens(cached, index);
            let cached_or_presumed = if !has_owner && Some(index) == first_home { shared.max(owned) } else { owned };
            self.prefill_cost(index, tokens, cached_or_presumed)
        };
        self.cheapest(&engines, key, cost)
    }

    /// Returns the candidates, with the owners and the home engines of a prefix added unless they are rated lower.
    fn prefill_candidates(&self, cached: &[CachedPrefix], key: u64) -> PrefillCandidates {
        let phase = Phase::Prefill;
        let mut engines = self.candidates(phase);
        let lowest_rating =
            engines.iter().filter_map(|index| self.rating(*index, phase)).min().unwrap_or(Rating::Suspected);
        let is_acceptable = |index: usize| self.rating(index, phase).is_some_and(|rating| rating >= lowest_rating);
        let homes =
            self.subset(phase).map_or(Vec::new(), |subset| subset.home_engines(key, HOMES_PER_PREFIX, is_acceptable));
        let owners = cached.iter().map(|prefix| prefix.engine).filter(|index| is_acceptable(*index));
        for index in owners.chain(homes.iter().copied()) {
            if !engines.contains(&index) {
                engines.push(index);
            }
        }
        PrefillCandidates { engines, first_home: homes.first().copied() }
    }

    /// Selects the engine that decodes, close to the KV cache and lightly loaded. `prefill_engine` is the engine that
    /// processed the prompt.
    pub fn select_decode(
        &self,
        tokens: u32,
        cached: &[CachedPrefix],
        prefill_engine: Option<usize>,
        key: u64,
    ) -> Option<usize> {
        let kv_zone = prefill_engine.map_or(self.zone, |index| self.engine_table.engines[index].zone);
        let cost = |index: usize| self.decode_cost(index, tokens, cached_tokens(cached, index), kv_zone);
        self.cheapest(&self.candidates(Phase::Decode), key, cost).map(|selected| selected.engine)
    }

    /// Selects a decode engine that also does the prefill. Its cost is comparable with that of `select_prefill`.
    pub fn select_combined(&self, tokens: u32, cached: &[CachedPrefix], key: u64) -> Option<SelectedEngine> {
        let cost = |index: usize| self.combined_cost(index, tokens, cached_tokens(cached, index));
        self.cheapest(&self.candidates(Phase::Decode), key, cost)
    }

    /// Returns the cheapest engine. Ties go to the highest rendezvous hash, then to the first in the list.
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

/// The engines that a selection for prefill considers.
struct PrefillCandidates {
    engines: Vec<usize>,
    /// The first usable home engine of the prefix.
    first_home: Option<usize>,
}
