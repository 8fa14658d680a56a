//! Samples that routers report of the requests served by each version.

/// The version that served a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Variant {
    /// The version that is being replaced.
    Stable,
    /// The version that is being rolled out.
    Candidate,
}

/// Load of an engine when it responded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadClass {
    /// Less than [`LOADED_SLOT_SHARE`] of its slots were in use.
    Calm,
    /// At least [`LOADED_SLOT_SHARE`] of its slots were in use.
    Loaded,
}

/// Share of an engine's slots in use at which it counts as loaded. Below half, since the load that an engine reports
/// may be a few requests old.
pub const LOADED_SLOT_SHARE: f64 = 0.47;

impl LoadClass {
    /// Returns the class of an engine that runs `running` requests on `slots` slots. An engine that reports no slots
    /// counts as calm.
    pub fn of(running: u32, slots: u32) -> LoadClass {
        match slots > 0 && f64::from(running) >= LOADED_SLOT_SHARE * f64::from(slots) {
            true => LoadClass::Loaded,
            false => LoadClass::Calm,
        }
    }
}

/// Origin of samples.
#[derive(Clone, Copy, Debug)]
pub struct SampleOrigin<'a> {
    /// The route.
    pub route: &'a str,
    /// The version.
    pub variant: Variant,
    /// The engine's id. Engines whose id is unknown share the id 0.
    pub engine: u64,
    /// The zone that the engine runs in.
    pub zone: &'a str,
    /// The engine's load.
    pub load: LoadClass,
}

/// The time between the events of one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventInterval {
    /// Number of requests that the engine ran when the response began.
    pub running: u32,
    /// The mean time between two events, in microseconds.
    pub interval_us: u64,
    /// Whether the engine had just started, which may make it slow and never makes it fast.
    pub is_cold: bool,
}

/// Samples of one origin in one report.
#[derive(Clone, Debug, Default)]
pub struct SampleBatch {
    /// Number of requests that succeeded.
    pub succeeded: u64,
    /// Number of requests that the engine answered with a failure.
    pub failed: u64,
    /// Number of requests whose response broke off or never came.
    pub lost: u64,
    /// Intervals of the responses that had several events.
    pub event_intervals: Vec<EventInterval>,
}
