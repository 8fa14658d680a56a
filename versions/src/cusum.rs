//! A one-sided CUSUM (Page's test) of the log likelihood ratio between two rates of bad outcomes: an allowed one, and one that is
//! clearly worse.
//!
//! It finds a version that is faulty from its start as fast as a sequential test would, and one that becomes faulty later as
//! fast, since earlier good outcomes do not count in its favour.
//!
//! What one engine or one zone can add is capped: a fault of the version shows at all of them, while a single faulty engine or a
//! zone that lost its power shows at one.

use std::collections::{BTreeMap, BTreeSet};

/// The value at which a candidate counts as worse: high enough that a false alarm is expected once in many rollouts.
pub(crate) const ALARM_THRESHOLD: f64 = 9.2;
/// The value from which on a candidate no longer counts as healthy.
pub(crate) const SUSPICION_THRESHOLD: f64 = 3.0;

/// Smallest and largest cap on what one engine adds, as a share of the alarm threshold, where there are several.
const MIN_ENGINE_CAP: f64 = 0.25;
const MAX_ENGINE_CAP: f64 = 0.6;
/// With few engines the cap rises, so that this many of them can raise the alarm.
const ENGINES_FOR_ALARM: f64 = 2.0;
/// Cap on what the lost responses of one zone add, as a share of the alarm threshold, where there are several zones.
const ZONE_CAP: f64 = 0.6;

/// Highest rate of bad outcomes that is assumed of the stable version.
const MAX_BASE_RATE: f64 = 0.5;

/// Which excess over the stable version's rate a test allows, and which it is to find.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tuning {
    /// Excess that a candidate may have.
    pub(crate) allowed_excess: f64,
    /// Further excess, over the allowed rate, that is clearly worse.
    pub(crate) alarm_excess: f64,
}

/// Outcomes at one engine of the candidate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineOutcomes<'a> {
    pub(crate) engine: u64,
    pub(crate) zone: &'a str,
    pub(crate) passed: u64,
    /// Bad outcomes that the engine itself gave.
    pub(crate) failed: u64,
    /// Bad outcomes that a lost engine, zone or link explains as well.
    pub(crate) lost: u64,
}

/// The test. Invariants: `value` is never negative; what `by_engine` and `lost_by_zone` hold, times `scale`, is the part of `value`
/// that each added.
pub(crate) struct Cusum {
    tuning: Tuning,
    value: f64,
    by_engine: BTreeMap<u64, f64>,
    lost_by_zone: BTreeMap<String, f64>,
    /// By how much the parts shrank since they were added, as `value` did.
    scale: f64,
    engines_seen: BTreeSet<u64>,
    zones_seen: BTreeSet<String>,
}

impl Cusum {
    pub(crate) fn new(tuning: Tuning) -> Cusum {
        Cusum {
            tuning,
            value: 0.0,
            by_engine: BTreeMap::new(),
            lost_by_zone: BTreeMap::new(),
            scale: 1.0,
            engines_seen: BTreeSet::new(),
            zones_seen: BTreeSet::new(),
        }
    }

    /// Adds outcomes of the candidate. `base_rate` is the stable version's rate of bad outcomes.
    pub(crate) fn record(&mut self, outcomes: &EngineOutcomes, base_rate: f64) {
        self.engines_seen.insert(outcomes.engine);
        if !self.zones_seen.contains(outcomes.zone) {
            self.zones_seen.insert(outcomes.zone.into());
        }
        let allowed_rate = base_rate.min(MAX_BASE_RATE) + self.tuning.allowed_excess;
        let excessive_rate = allowed_rate + self.tuning.alarm_excess;
        let failure_weight = (excessive_rate / allowed_rate).ln();
        let pass_weight = ((1.0 - allowed_rate) / (1.0 - excessive_rate)).ln();
        // The order inside a batch is not known. Good ones come first, so that they can't hide bad ones that came last.
        self.lower(outcomes.passed as f64 * pass_weight);
        let from_failed = self.engine_part(outcomes.engine, outcomes.failed as f64 * failure_weight);
        self.raise(outcomes.engine, from_failed);
        let from_lost = self.engine_part(outcomes.engine, outcomes.lost as f64 * failure_weight);
        let from_lost = self.zone_part(outcomes.zone, from_lost);
        self.raise(outcomes.engine, from_lost);
        if from_lost > 0.0 {
            *self.lost_by_zone.entry(outcomes.zone.into()).or_default() += from_lost / self.scale;
        }
    }

    /// Returns the value: 0 without evidence, larger the clearer it is that the candidate is worse.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    fn lower(&mut self, by: f64) {
        let before = self.value;
        self.value = (before - by).max(0.0);
        if self.value > 0.0 {
            self.scale *= self.value / before;
            return;
        }
        self.by_engine.clear();
        self.lost_by_zone.clear();
        self.scale = 1.0;
    }

    /// Returns how much of `gain` the engine may still add.
    fn engine_part(&self, engine: u64, gain: f64) -> f64 {
        let cap = match self.engines_seen.len() {
            0 | 1 => ALARM_THRESHOLD,
            count => (ENGINES_FOR_ALARM / count as f64).clamp(MIN_ENGINE_CAP, MAX_ENGINE_CAP) * ALARM_THRESHOLD,
        };
        let part = self.by_engine.get(&engine).copied().unwrap_or(0.0) * self.scale;
        gain.min((cap - part).max(0.0))
    }

    /// Returns how much of `gain` the lost responses of the zone may still add.
    fn zone_part(&self, zone: &str, gain: f64) -> f64 {
        if self.zones_seen.len() < 2 {
            return gain;
        }
        let part = self.lost_by_zone.get(zone).copied().unwrap_or(0.0) * self.scale;
        gain.min((ZONE_CAP * ALARM_THRESHOLD - part).max(0.0))
    }

    fn raise(&mut self, engine: u64, by: f64) {
        if by <= 0.0 {
            return;
        }
        self.value += by;
        *self.by_engine.entry(engine).or_default() += by / self.scale;
    }
}

#[cfg(test)]
#[path = "cusum_tests.rs"]
mod tests;
