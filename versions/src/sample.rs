//! What routers report of the requests that each version served.

/// Which version served a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Variant {
    /// The version that is in place.
    Stable,
    /// The version that is being rolled out.
    Candidate,
}

/// Samples of one route and version that were reported together.
#[derive(Clone, Debug, Default)]
pub struct SampleBatch {
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests that the engine failed.
    pub failed: u64,
    /// Mean times between the events of a response, in microseconds, each with the number of responses that had it.
    pub event_intervals: Vec<(u64, u64)>,
}
