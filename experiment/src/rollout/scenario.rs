//! What is drawn for a term.

use serde::Serialize;

/// The version that is rolled out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Version {
    /// As good as the version in place.
    Good,
    /// Fails a share of its requests.
    Errors(f64),
    /// Takes as many times as long.
    Slow(f64),
    /// Fails half of its requests at engines that have half of their slots taken.
    UnderLoad,
    /// Fails half of the requests of one route.
    OneRoute,
    /// Fails half of its requests from so many milliseconds before the end of the term.
    Late(u64),
}

/// What else goes wrong: at a share of the engines of both versions, drawn anew for each term.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Disturbance {
    /// Nothing.
    Nothing,
    /// A share of the engines fails 0.4 of its requests, from a tenth of the term on.
    GreyErrors(f64),
    /// The same, from the beginning of the load test on.
    GreyErrorsAtLoad(f64),
    /// A share of the engines fails all requests at once.
    FailAll(f64),
    /// A share of the engines takes eight times as long.
    GreySlow(f64),
    /// One of three zones loses its responses for 3 s, from the middle of the term on.
    ZoneLost,
    /// Every engine fails a share of its requests.
    Everywhere(f64),
}

/// A part of the design that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ablation {
    /// None.
    Complete,
    /// Samples of the version in place are not reported.
    NoBaseline,
    /// Samples do not tell the engines of the candidate apart.
    EnginesNotToldApart,
    /// Samples do not tell how loaded engines are.
    NoLoad,
}

/// The size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fleet {
    /// Decode engines of each version.
    pub engines: usize,
    /// Slots of an engine.
    pub slots: u32,
    /// Requests a second.
    pub requests_per_s: f64,
}

/// What is drawn for a term.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Scenario {
    /// The size of the fleet.
    pub fleet: Fleet,
    /// The length of the term.
    pub duration_ms: u64,
    /// The version.
    pub version: Version,
    /// What else goes wrong.
    pub disturbance: Disturbance,
    /// What is switched off.
    pub ablation: Ablation,
}
