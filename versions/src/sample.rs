//! What routers report of the requests that each version served.

/// Which version served a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Variant {
    /// The version that is in place.
    Stable,
    /// The version that is being rolled out.
    Candidate,
}

/// How many requests an engine had when it responded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadClass {
    /// Fewer than [`LOADED_SLOT_SHARE`] of its slots were taken.
    Calm,
    /// As many or more were taken.
    Loaded,
}

/// The share of an engine's slots from which on it counts as loaded. It lies below half, since what an engine reports may be some
/// requests old.
pub const LOADED_SLOT_SHARE: f64 = 0.47;

impl LoadClass {
    /// Returns the class of an engine that runs so many requests. One that reports no load counts as calm.
    pub fn of(running: u32, slots: u32) -> LoadClass {
        match slots > 0 && f64::from(running) >= LOADED_SLOT_SHARE * f64::from(slots) {
            true => LoadClass::Loaded,
            false => LoadClass::Calm,
        }
    }
}

/// Where samples come from.
#[derive(Clone, Copy, Debug)]
pub struct SampleOrigin<'a> {
    /// The route.
    pub route: &'a str,
    /// The version.
    pub variant: Variant,
    /// The engine; the same one for all of which that is not known.
    pub engine: u64,
    /// The engine's zone.
    pub zone: &'a str,
    /// How loaded the engine was.
    pub load: LoadClass,
}

/// The time between the events of one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventInterval {
    /// Requests that the engine ran when the response began.
    pub running: u32,
    /// The mean time between two events, in microseconds.
    pub interval_us: u64,
    /// Whether the engine had started a moment ago: that may make it slow, and never makes it fast.
    pub is_cold: bool,
}

/// Samples of one origin that were reported together.
#[derive(Clone, Debug, Default)]
pub struct SampleBatch {
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests that the engine answered with a failure.
    pub failed: u64,
    /// Requests whose response broke off or never came.
    pub lost: u64,
    /// Responses that had several events.
    pub event_intervals: Vec<EventInterval>,
}
