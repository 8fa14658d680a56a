//! What it costs to send a request to an engine. Costs of prefill are in prompt tokens to be read before the answer can
//! begin; costs of decode are in shares of an engine's slots.
//!
//! The figures are weights of a heuristic. `docs/design.md` gives the reasons for their order; where it derives no figure,
//! none is claimed here.

use super::{CachedPrefix, SelectionContext};
use crate::engine_state::EngineState;
use crate::topology::Distance;

/// What a request ahead of this one costs, as a share of a mean prefill: short prefills pass long ones, and reports are
/// late.
const QUEUED_PREFILL_SHARE: f64 = 0.5;
/// How many times as long a decode engine takes for a prompt as a prefill engine: it reads at half the pace and in smaller
/// pieces. It keeps prefill at decode engines the exception.
const COMBINED_PREFILL_FACTOR: f64 = 5.0;
/// How many prompt tokens to be moved weigh as much as a decode engine whose slots are all taken.
const TOKENS_PER_FULL_ENGINE: f64 = 65536.0;

/// What it costs to reach another zone. It also keeps routers of different zones from turning to one engine all at once.
struct DistanceCost {
    /// A share of the prompt's tokens.
    prompt_share: f64,
    /// What any request costs, whatever its length, in tokens: the latency of the way.
    fixed_tokens: f64,
    /// How many times as long a KV cache takes as within a zone.
    kv_transfer_factor: f64,
}

impl Distance {
    fn cost(self) -> DistanceCost {
        match self {
            Distance::SameZone => DistanceCost { prompt_share: 0.0, fixed_tokens: 0.0, kv_transfer_factor: 1.0 },
            Distance::SameRegion => DistanceCost { prompt_share: 0.2, fixed_tokens: 0.0, kv_transfer_factor: 2.0 },
            Distance::OtherRegion => DistanceCost { prompt_share: 1.5, fixed_tokens: 3000.0, kv_transfer_factor: 10.0 },
        }
    }
}

impl SelectionContext<'_> {
    /// Returns the cost of a prefill of `tokens` tokens at an engine that holds the first `cached` of them.
    pub(super) fn prefill_cost(&self, at: usize, tokens: u32, cached: u32) -> f64 {
        let engine = &self.engine_table.engines[at];
        let mean = self.engine_table.mean_prefill_tokens(self.service);
        let read = f64::from(tokens.saturating_sub(cached));
        let queue = self.engine_table.estimated_load(at, self.now) * mean * QUEUED_PREFILL_SHARE;
        read + queue + self.reach_cost(engine, tokens)
    }

    /// Returns the cost of decoding at an engine, where the KV cache comes from `kv_zone`.
    pub(super) fn decode_cost(&self, at: usize, tokens: u32, cached: u32, kv_zone: u32) -> f64 {
        let engine = &self.engine_table.engines[at];
        let missing = f64::from(tokens.saturating_sub(cached)) / TOKENS_PER_FULL_ENGINE;
        let occupancy = self.engine_table.estimated_load(at, self.now) / f64::from(engine.slots);
        let reach = self.reach_cost(engine, tokens) / TOKENS_PER_FULL_ENGINE;
        let distance = self.engine_table.distance(engine.zone, kv_zone).cost();
        occupancy + missing * distance.kv_transfer_factor + reach
    }

    /// Returns the cost of a prefill at a decode engine, in the same measure as `prefill_cost`.
    pub(super) fn combined_cost(&self, at: usize, tokens: u32, cached: u32) -> f64 {
        let engine = &self.engine_table.engines[at];
        let read = f64::from(tokens.saturating_sub(cached));
        let others = engine.prefill_tokens_in_flight as f64;
        let crowding = 1.0 + self.engine_table.estimated_load(at, self.now) / f64::from(engine.slots);
        (read + others) * COMBINED_PREFILL_FACTOR * crowding + self.reach_cost(engine, tokens)
    }

    /// Returns the cost of sending a prompt from here to an engine, in tokens.
    fn reach_cost(&self, engine: &EngineState, tokens: u32) -> f64 {
        let distance = self.engine_table.distance(engine.zone, self.zone).cost();
        distance.prompt_share * f64::from(tokens) + distance.fixed_tokens
    }
}

/// Returns how many tokens of the prompt an engine holds.
pub(super) fn cached_tokens(cached: &[CachedPrefix], at: usize) -> u32 {
    cached.iter().filter(|prefix| prefix.engine == at).map(|prefix| prefix.tokens).max().unwrap_or(0)
}
