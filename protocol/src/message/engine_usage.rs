//! How loaded engines are, from the routers of one controller, for the controller that balances prefill and decode.

use rkyv::{Archive, Deserialize, Serialize};

/// The requests in flight at the engines of one service and phase.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PhaseUsage {
    /// The service.
    pub service: String,
    /// The engines do prefill, else decode.
    pub prefill: bool,
    /// Requests in flight at all of them that may get new ones.
    pub in_flight: u32,
}

/// The requests in flight at one engine of the sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SampledUsage {
    /// The hash of the engine's id.
    pub engine_hash: u64,
    /// Requests in flight there.
    pub in_flight: u32,
}

/// Requests in flight from the routers that hold a lease at one controller: sums by service and phase, and the engines of a
/// sample that all controllers draw alike, however many engines there are. Since version 6.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineUsage {
    /// The address of the sender.
    pub ip: String,
    /// By service and phase, those without a request left out.
    pub totals: Vec<PhaseUsage>,
    /// Engines of the sample, those without a request left out.
    pub sampled: Vec<SampledUsage>,
}
