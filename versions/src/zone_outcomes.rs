//! Outcomes of the stable version by zone, and the failure rates of its healthy engines there.

use std::collections::{BTreeMap, BTreeSet};

use crate::baseline::smoothed_rate_with_weight;
use crate::engine_mixture::Counts;

/// Weight, in samples, of the overall rate as the prior of a zone's rate.
const ZONE_PRIOR_SAMPLES: f64 = 6.0;
/// Share of failing engines in a zone at which the zone as a whole counts as failing.
const FAILING_ZONE_SHARE: f64 = 0.8;

/// Failure rates of the stable version's healthy engines around one span.
pub(crate) struct SpanRates {
    pub(crate) overall: f64,
    pub(crate) by_zone: BTreeMap<usize, f64>,
}

impl SpanRates {
    /// Returns the rate in a zone, which is at least the overall rate.
    pub(crate) fn in_zone(&self, zone: usize) -> f64 {
        self.by_zone.get(&zone).copied().unwrap_or(0.0).max(self.overall)
    }
}

/// Outcomes of the stable version's engines in one zone.
#[derive(Default)]
pub(crate) struct ZoneOutcomes {
    /// Engines that are classified as healthy.
    pub(crate) healthy: EngineGroup,
    /// Engines that are classified as failing.
    pub(crate) failing: EngineGroup,
}

/// A set of engines and the sum of their outcomes.
#[derive(Default)]
pub(crate) struct EngineGroup {
    pub(crate) engines: BTreeSet<u64>,
    pub(crate) counts: Counts,
}

impl ZoneOutcomes {
    pub(crate) fn add(&mut self, engine: u64, counts: Counts, is_failing: bool) {
        let group = if is_failing { &mut self.failing } else { &mut self.healthy };
        group.engines.insert(engine);
        group.counts.add(counts);
    }

    /// Returns whether nearly all engines of the zone are failing.
    pub(crate) fn is_failing(&self) -> bool {
        let (failing, healthy) = (self.failing.engines.len(), self.healthy.engines.len());
        failing as f64 >= FAILING_ZONE_SHARE * (failing + healthy) as f64
    }

    /// Returns the rate of the zone, including its failing engines if nearly all of its engines are failing: then the
    /// zone is the cause. That is decided by the number of engines and not of outcomes, since an engine that fails
    /// requests quickly receives more of them.
    pub(crate) fn rate(&self, overall: f64) -> f64 {
        let failing = if self.is_failing() { self.failing.counts } else { Counts::default() };
        smoothed_rate_with_weight([self.healthy.counts, failing].into_iter(), overall, ZONE_PRIOR_SAMPLES)
    }
}
