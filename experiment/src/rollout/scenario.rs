//! The parameters of a trial.

use serde::Serialize;

/// The behaviour of the version that is rolled out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Version {
    /// As good as the stable version.
    Good,
    /// Fails a share of its requests.
    Errors(f64),
    /// Takes longer per token by this factor.
    Slow(f64),
    /// Fails half of its requests at engines with at least half of their slots in use.
    UnderLoad,
    /// Fails half of its requests of one route.
    OneRoute,
    /// Fails half of its requests from this many milliseconds before the end of the trial.
    Late(u64),
}

/// Faults that do not come from the new version. Where they affect a share of the engines, these are drawn from both
/// versions, anew for each trial.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Disturbance {
    /// No fault.
    Nothing,
    /// A share of the engines fails 40% of their requests once a tenth of the trial is over.
    GreyErrors(f64),
    /// The same, from about the start of the load test.
    GreyErrorsAtLoad(f64),
    /// A share of the engines fails every request immediately.
    FailAll(f64),
    /// A share of the engines takes eight times as long per token.
    GreySlow(f64),
    /// One of three zones loses its responses for 3 s, from the middle of the trial.
    ZoneLost,
    /// Every engine fails a share of its requests.
    Everywhere(f64),
}

/// The part of the design that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ablation {
    /// None: the complete design.
    Complete,
    /// Samples of the stable version are not reported.
    NoBaseline,
    /// Samples do not identify the engines of the candidate.
    EnginesNotToldApart,
    /// Samples do not contain the load of engines.
    NoLoad,
}

/// The size and request rate of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fleet {
    /// The number of decode engines of each version.
    pub engines: usize,
    /// The number of slots of an engine.
    pub slots: u32,
    /// Requests per second, over the whole fleet.
    pub requests_per_s: f64,
}

/// The parameters of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Scenario {
    /// The fleet.
    pub fleet: Fleet,
    /// The duration of the trial, in milliseconds.
    pub duration_ms: u64,
    /// The behaviour of the new version.
    pub version: Version,
    /// The other faults.
    pub disturbance: Disturbance,
    /// The part of the design that is switched off.
    pub ablation: Ablation,
}
