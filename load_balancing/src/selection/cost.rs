//! What it costs to send a request to an engine.

use super::{CachedPrefix, SelectionContext};
use crate::engine_state::EngineState;

/// What a request ahead counts for, of a mean read: short reads pass long ones, and reports are late.
pub(super) const QUEUED_REQUEST_COST: f64 = 0.5;
/// How much longer memory is under way.
pub(super) const KV_TRANSFER_COST: [f64; 3] = [1.0, 2.0, 10.0];
/// How much longer a maker takes for a prompt than a reader: half the pace, in smaller pieces.
pub(super) const COMBINED_PREFILL_COST: f64 = 5.0;
/// What it costs to reach another zone of the region, and another region, as a share of a prompt's
/// tokens; the second also costs a journey's worth of tokens. It also keeps routers of different zones
/// from turning to one engine all at once.
const DISTANCE_COST_PER_TOKEN: [f64; 3] = [0.0, 0.2, 1.5];
const DISTANCE_COST_TOKENS: [f64; 3] = [0.0, 0.0, 3000.0];

impl SelectionContext<'_> {
    /// What it costs to send a prompt there from here, in tokens.
    pub(super) fn reach(&self, engine: &EngineState, tokens: u32) -> f64 {
        let step = self.engine_table.distance(engine.zone, self.zone);
        DISTANCE_COST_PER_TOKEN[step] * f64::from(tokens) + DISTANCE_COST_TOKENS[step]
    }
}

pub(super) fn cached_tokens(cached: &[CachedPrefix], at: usize) -> u32 {
    cached.iter().filter(|prefix| prefix.engine == at).map(|prefix| prefix.tokens).max().unwrap_or(0)
}
