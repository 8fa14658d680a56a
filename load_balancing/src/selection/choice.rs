//! The choice of the cheapest candidate.

use kernel::clock;

use super::cost::{cached_tokens, COMBINED_PREFILL_COST, KV_TRANSFER_COST, QUEUED_REQUEST_COST};
use super::{CachedPrefix, SelectedEngine, SelectionContext};
use crate::phase::Phase;

/// How many homes of a prefix are looked at: the second takes what the first can't.
const HOMES_PER_PREFIX: usize = 2;

impl SelectionContext<'_> {
    /// The reader of a prompt and its cost, in tokens to be read before the answer can begin. `cached`
    /// gives, by engine, the tokens of the longest prefix it owns. Looked at are the owners, wherever they
    /// are, the homes of the prefix and the router's own subset.
    pub fn select_prefill(
        &self,
        tokens: u32,
        cached: &[CachedPrefix],
        shared: u32,
        key: u64,
    ) -> Option<SelectedEngine> {
        let phase = Phase::Prefill;
        let mut candidates = self.candidates(phase);
        let least = candidates.iter().filter_map(|at| self.rating(*at, phase)).min().unwrap_or(0);
        let good = |at: usize| self.rating(at, phase).is_some_and(|rating| rating >= least);
        let homes = self.subset(phase).map_or(Vec::new(), |subset| subset.home_engines(key, HOMES_PER_PREFIX, good));
        let owners = cached.iter().map(|prefix| prefix.engine).filter(|at| good(*at));
        for at in owners.chain(homes.iter().copied()) {
            if !candidates.contains(&at) {
                candidates.push(at);
            }
        }
        // Owners of a shorter prefix don't count: it is at many engines, and all would turn to these.
        let nobody = !cached.iter().any(|prefix| prefix.tokens >= shared && candidates.contains(&prefix.engine));
        let first = homes.first().copied();
        let mean = self.engine_table.mean_prefill_tokens(self.service);
        let cost = |at: usize| {
            let engine = &self.engine_table.engines[at];
            let have = if nobody && Some(at) == first {
                shared.max(cached_tokens(cached, at))
            } else {
                cached_tokens(cached, at)
            };
            let read = f64::from(tokens.saturating_sub(have));
            let queue = self.engine_table.estimated_load(at, self.now) * mean * QUEUED_REQUEST_COST;
            read + queue + self.reach(engine, tokens)
        };
        cheapest(&candidates, cost, |at| rendezvous_hash(key, self.engine_table.engines[at].id_hash))
    }

    /// The maker of tokens: near the memory, not crowded. `from` is the engine that read the prompt.
    pub fn select_decode(&self, tokens: u32, cached: &[CachedPrefix], from: Option<usize>, key: u64) -> Option<usize> {
        let candidates = self.candidates(Phase::Decode);
        let home = from.map_or(self.zone, |at| self.engine_table.engines[at].zone);
        let cost = |at: usize| {
            let engine = &self.engine_table.engines[at];
            let lack = f64::from(tokens.saturating_sub(cached_tokens(cached, at))) / 65536.0;
            let crowd = self.engine_table.estimated_load(at, self.now) / f64::from(engine.slots);
            let body = self.reach(engine, tokens) / 65536.0;
            crowd + lack * KV_TRANSFER_COST[self.engine_table.distance(engine.zone, home)] + body
        };
        cheapest(&candidates, cost, |at| rendezvous_hash(key, self.engine_table.engines[at].id_hash))
            .map(|selected| selected.engine)
    }

    /// A maker that reads the prompt itself, and its cost in the same measure as a reader's.
    pub fn select_combined(&self, tokens: u32, cached: &[CachedPrefix], key: u64) -> Option<SelectedEngine> {
        let candidates = self.candidates(Phase::Decode);
        let cost = |at: usize| {
            let engine = &self.engine_table.engines[at];
            let read = f64::from(tokens.saturating_sub(cached_tokens(cached, at)));
            let others = engine.prefill_tokens_in_flight as f64;
            let crowd = 1.0 + self.engine_table.estimated_load(at, self.now) / f64::from(engine.slots);
            (read + others) * COMBINED_PREFILL_COST * crowd + self.reach(engine, tokens)
        };
        cheapest(&candidates, cost, |at| rendezvous_hash(key, self.engine_table.engines[at].id_hash))
    }
}

fn rendezvous_hash(key: u64, name: u64) -> u64 {
    clock::combine_hashes(key, name)
}

fn cheapest(candidates: &[usize], cost: impl Fn(usize) -> f64, rank: impl Fn(usize) -> u64) -> Option<SelectedEngine> {
    let mut best: Option<(f64, u64, usize)> = None;
    for at in candidates {
        let (price, order) = (cost(*at), rank(*at));
        let better = match &best {
            None => true,
            Some((low, top, _)) => price < *low || (price == *low && order > *top),
        };
        if better {
            best = Some((price, order, *at));
        }
    }
    best.map(|(cost, _, engine)| SelectedEngine { engine, cost })
}
