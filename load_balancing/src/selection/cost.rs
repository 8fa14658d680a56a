//! The cost of sending a request to an engine: for prefill in prompt tokens to be processed before the response can
//! begin, for decode in shares of an engine's slots.
//!
//! The constants are weights of a heuristic. `docs/design.md` explains their relative order and, where there is one,
//! the derivation of a value.

use super::{CachedPrefix, SelectionContext};
use crate::engine_state::EngineState;
use crate::topology::Distance;

/// The cost of a queued request, as a share of a mean prefill: short prefills overtake long ones, and load reports are
/// delayed.
const QUEUED_PREFILL_SHARE: f64 = 0.5;
/// How many times as long a prefill takes on a decode engine as on a prefill engine: a decode engine processes prompts
/// at half the speed and in smaller chunks. The factor keeps prefill on decode engines the exception.
const COMBINED_PREFILL_FACTOR: f64 = 5.0;
/// The number of prompt tokens to be transferred that cost as much as a decode engine with all slots in use.
const TOKENS_PER_FULL_ENGINE: f64 = 65536.0;

/// The cost of reaching another zone. It also keeps routers of different zones from all turning to the same engine at
/// once.
struct DistanceCost {
    /// The cost as a share of the prompt's tokens.
    prompt_share: f64,
    /// The fixed cost of any request, in tokens: the network latency.
    fixed_tokens: f64,
    /// How many times as long a KV cache transfer takes as within a zone.
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
    /// Returns the cost of a prefill of `tokens` tokens at an engine that has the first `cached` of them in its cache.
    pub(super) fn prefill_cost(&self, index: usize, tokens: u32, cached: u32) -> f64 {
        let engine = &self.engine_table.engines[index];
        let mean = self.engine_table.mean_prefill_tokens(self.service);
        let uncached = f64::from(tokens.saturating_sub(cached));
        let queue = self.engine_table.estimated_load(index, self.now) * mean * QUEUED_PREFILL_SHARE;
        uncached + queue + self.network_cost(engine, tokens)
    }

    /// Returns the cost of decoding at an engine when the KV cache is in `kv_zone`.
    pub(super) fn decode_cost(&self, index: usize, tokens: u32, cached: u32, kv_zone: u32) -> f64 {
        let engine = &self.engine_table.engines[index];
        let missing = f64::from(tokens.saturating_sub(cached)) / TOKENS_PER_FULL_ENGINE;
        let occupancy = self.engine_table.estimated_load(index, self.now) / f64::from(engine.slots);
        let network = self.network_cost(engine, tokens) / TOKENS_PER_FULL_ENGINE;
        let distance = self.engine_table.distance(engine.zone, kv_zone).cost();
        occupancy + missing * distance.kv_transfer_factor + network
    }

    /// Returns the cost of a prefill at a decode engine, in the same unit as `prefill_cost`.
    pub(super) fn combined_cost(&self, index: usize, tokens: u32, cached: u32) -> f64 {
        let engine = &self.engine_table.engines[index];
        let uncached = f64::from(tokens.saturating_sub(cached));
        let queued = engine.prefill_tokens_in_flight as f64;
        let slowdown = 1.0 + self.engine_table.estimated_load(index, self.now) / f64::from(engine.slots);
        (uncached + queued) * COMBINED_PREFILL_FACTOR * slowdown + self.network_cost(engine, tokens)
    }

    /// Returns the cost of sending a prompt from this router to an engine, in tokens.
    fn network_cost(&self, engine: &EngineState, tokens: u32) -> f64 {
        let distance = self.engine_table.distance(engine.zone, self.zone).cost();
        distance.prompt_share * f64::from(tokens) + distance.fixed_tokens
    }
}

/// Returns the number of prompt tokens that an engine has in its cache.
pub(super) fn cached_tokens(cached: &[CachedPrefix], index: usize) -> u32 {
    cached.iter().filter(|prefix| prefix.engine == index).map(|prefix| prefix.tokens).max().unwrap_or(0)
}
