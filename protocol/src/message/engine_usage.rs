//! Engine loads, summed over the routers of one controller, for the controller that balances prefill and decode.

use rkyv::{Archive, Deserialize, Serialize};

/// The requests in flight at the engines of one service and phase.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PhaseUsage {
    /// The service.
    pub service: String,
    /// Whether the phase is prefill; otherwise it is decode.
    pub prefill: bool,
    /// Requests in flight at all of these engines that may get new ones.
    pub in_flight: u32,
}

/// The requests in flight at one sampled engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SampledUsage {
    /// The hash of the engine's id.
    pub engine_hash: u64,
    /// Requests in flight there.
    pub in_flight: u32,
}

/// Requests in flight from the routers that hold a lease at one controller: totals by service and phase, and counts for
/// a sample of engines, which all controllers draw alike whatever the number of engines. Since version 6.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineUsage {
    /// The address of the sender.
    pub ip: String,
    /// Totals by service and phase; those without a request are omitted.
    pub totals: Vec<PhaseUsage>,
    /// The sampled engines; those without a request are omitted.
    pub sampled: Vec<SampledUsage>,
}
