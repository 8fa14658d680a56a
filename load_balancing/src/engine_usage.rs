//! Summaries of the requests in flight at engines, whose size does not grow with the number of engines.
//!
//! A decision on phases needs the load of each phase, and the load of single engines only among those that may change.
//! A report therefore holds totals by service and phase, and single engines only of a sample: those whose hash is low
//! enough. Everyone who has the same list derives the same sample, so the sample itself is never sent.

use std::collections::{BTreeMap, HashMap};

use kernel::hashing;
use protocol::message::{Engine, EngineUsage, PhaseUsage, SampledUsage};

/// The mean number of engines sampled of one service and phase; all of them if there are no more than that.
const SAMPLE_SIZE: u64 = 64;

/// Identifies one phase of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PhaseKey {
    /// The name of the service.
    pub service: String,
    /// Whether the engines do prefill; otherwise they decode.
    pub prefill: bool,
}

impl PhaseKey {
    /// Returns the service and phase of an engine.
    pub fn of(engine: &Engine) -> PhaseKey {
        PhaseKey { service: engine.service.clone(), prefill: engine.phase == "prefill" }
    }
}

/// The engines that are reported individually.
#[derive(Clone, Debug, Default)]
pub struct UsageSample {
    /// By service and phase: the highest hash that is in the sample.
    thresholds: HashMap<PhaseKey, u64>,
}

impl UsageSample {
    /// Derives the sample of these engines.
    pub fn of<'a>(engines: impl Iterator<Item = &'a Engine>) -> UsageSample {
        let mut counts: HashMap<PhaseKey, u64> = HashMap::new();
        engines.for_each(|engine| *counts.entry(PhaseKey::of(engine)).or_default() += 1);
        let threshold = |count: u64| match count <= SAMPLE_SIZE {
            true => u64::MAX,
            false => u64::MAX / count * SAMPLE_SIZE,
        };
        UsageSample { thresholds: counts.into_iter().map(|(key, count)| (key, threshold(count))).collect() }
    }

    /// Returns whether an engine is reported individually.
    pub fn contains(&self, engine: &Engine) -> bool {
        let threshold = self.thresholds.get(&PhaseKey::of(engine));
        threshold.is_some_and(|threshold| hashing::hash(engine.id.as_bytes()) <= *threshold)
    }
}

/// Summarizes the requests in flight, given by engine id, at the engines eligible for new requests.
pub fn summarize_usage(
    ip: &str,
    eligible: &[&Engine],
    sample: &UsageSample,
    in_flight: &HashMap<&str, u32>,
) -> EngineUsage {
    let mut totals: BTreeMap<PhaseKey, u32> = BTreeMap::new();
    let mut sampled = Vec::new();
    for engine in eligible {
        let Some(count) = in_flight.get(engine.id.as_str()).copied().filter(|count| *count > 0) else { continue };
        *totals.entry(PhaseKey::of(engine)).or_default() += count;
        if sample.contains(engine) {
            sampled.push(SampledUsage { engine_hash: hashing::hash(engine.id.as_bytes()), in_flight: count });
        }
    }
    let totals =
        totals.into_iter().map(|(key, in_flight)| PhaseUsage { service: key.service, prefill: key.prefill, in_flight });
    EngineUsage { ip: ip.into(), totals: totals.collect(), sampled }
}

/// The requests in flight that several controllers reported, added up.
#[derive(Clone, Debug, Default)]
pub struct TotalUsage {
    totals: HashMap<PhaseKey, u32>,
    sampled: HashMap<u64, u32>,
}

impl TotalUsage {
    /// Adds one controller's report.
    pub fn add(&mut self, usage: &EngineUsage) {
        for phase in &usage.totals {
            let key = PhaseKey { service: phase.service.clone(), prefill: phase.prefill };
            *self.totals.entry(key).or_default() += phase.in_flight;
        }
        for engine in &usage.sampled {
            *self.sampled.entry(engine.engine_hash).or_default() += engine.in_flight;
        }
    }

    /// Returns the number of requests in flight at all engines of a service and phase.
    pub fn total(&self, key: &PhaseKey) -> u32 {
        self.totals.get(key).copied().unwrap_or(0)
    }

    /// Returns the number of requests in flight at one engine of the sample.
    pub fn sampled(&self, id: &str) -> u32 {
        self.sampled.get(&hashing::hash(id.as_bytes())).copied().unwrap_or(0)
    }
}

#[cfg(test)]
#[path = "engine_usage_tests.rs"]
mod tests;
