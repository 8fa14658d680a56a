//! Outcomes of the stable version by zone, and how often its sound engines failed there.

use std::collections::{BTreeMap, BTreeSet};

use crate::baseline::weighted_rate_of;
use crate::engine_mixture::Counts;

/// Weight, in samples, of the rate everywhere in the rate of a zone.
const ZONE_PRIOR_SAMPLES: f64 = 6.0;
/// The share of a zone's engines that fail from which on it is the zone that fails.
const FAILING_ZONE_SHARE: f64 = 0.8;

/// How often sound engines of the stable version failed around one span.
pub(crate) struct SpanRates {
    pub(crate) overall: f64,
    pub(crate) by_zone: BTreeMap<usize, f64>,
}

impl SpanRates {
    /// Returns the rate in a zone: never less than everywhere.
    pub(crate) fn of(&self, zone: usize) -> f64 {
        self.by_zone.get(&zone).copied().unwrap_or(0.0).max(self.overall)
    }
}

/// Outcomes of the stable version's engines in one zone.
#[derive(Default)]
pub(crate) struct ZoneOutcomes {
    /// Of engines that are taken for sound.
    pub(crate) sound: EngineGroup,
    /// Of engines that are taken for failing.
    pub(crate) failing: EngineGroup,
}

/// Engines, and the sum of their outcomes.
#[derive(Default)]
pub(crate) struct EngineGroup {
    pub(crate) engines: BTreeSet<u64>,
    pub(crate) counts: Counts,
}

impl ZoneOutcomes {
    pub(crate) fn add(&mut self, engine: u64, counts: Counts, is_failing: bool) {
        let group = if is_failing { &mut self.failing } else { &mut self.sound };
        group.engines.insert(engine);
        group.counts.add(counts);
    }

    /// Returns whether nearly all of its engines fail.
    pub(crate) fn is_failing(&self) -> bool {
        let (failing, sound) = (self.failing.engines.len(), self.sound.engines.len());
        failing as f64 >= FAILING_ZONE_SHARE * (failing + sound) as f64
    }

    /// Returns the rate of the zone. Where nearly all of its engines fail, it is the zone that fails and not some of its engines. These
    /// are counted, not their outcomes: one that fails at once gets more requests than others.
    pub(crate) fn rate(&self, overall: f64) -> f64 {
        let failing = if self.is_failing() { self.failing.counts } else { Counts::default() };
        weighted_rate_of([self.sound.counts, failing].into_iter(), overall, ZONE_PRIOR_SAMPLES)
    }
}
