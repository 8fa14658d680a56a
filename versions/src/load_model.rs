//! How long the stable version takes between two events of a response, by how many requests its engine runs.
//!
//! Engines decode in batches, and a step takes a fixed time and a time for each request of the batch. So the interval is a linear
//! function of the requests that run, fitted by least squares with weights that fade; what lies above it is a ratio.

use std::collections::{BTreeMap, VecDeque};

/// Number of samples after which a sample's weight has fallen to 1/e.
const MEMORY_SAMPLES: f64 = 600.0;
/// Samples before the model predicts.
const MIN_SAMPLES: u64 = 40;
/// How many ratios of the stable version's samples to their prediction are kept for their quantile.
const KEPT_RATIOS: usize = 256;
/// How many ratios are kept between two looks for their quantile.
const RATIOS_BETWEEN_LIMITS: u64 = 8;
/// The quantile of the stable version's ratios from which the limit is derived.
const LIMIT_QUANTILE: f64 = 0.75;
/// How far the limit lies above that quantile.
const QUANTILE_MARGIN: f64 = 1.06;
/// The lowest limit: what lies nearer to the prediction is never slow.
const MIN_LIMIT: f64 = 1.15;
/// How much higher the limit is above the mean load of the stable version's responses. The requests that an engine runs change
/// while a response lasts, so that the fitted line rises less than it should.
const HIGHER_LOAD_MARGIN: f64 = 1.1;

/// How much slower than the median of all an engine's own responses are, where it is left out: it is slow by itself.
const SLOW_ENGINE_RATIO: f64 = 1.25;
/// Responses of an engine before that is told.
const MIN_ENGINE_SAMPLES: u64 = 3;
/// How much a response counts for its engine's mean.
const ENGINE_MEAN_WEIGHT: f64 = 0.25;
/// The engine of which samples are not told apart.
const UNKNOWN_ENGINE: u64 = 0;

/// The mean logarithm of an engine's ratios.
#[derive(Clone, Copy, Debug, Default)]
struct EngineMean {
    samples: u64,
    log_ratio: f64,
}

/// Sums of a least-squares fit with fading weights.
#[derive(Default)]
struct Sums {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

/// The model, and how far the stable version's own samples lie from it.
#[derive(Default)]
pub(crate) struct LoadModel {
    sums: Sums,
    samples: u64,
    /// Of engines that are not slow by themselves.
    ratios: VecDeque<f64>,
    /// Of all engines, to tell which are slow by themselves.
    all_ratios: VecDeque<f64>,
    median: f64,
    ratio_count: u64,
    limit: f64,
    engines: BTreeMap<u64, EngineMean>,
}

impl LoadModel {
    /// Adds a response of the stable version, and returns whether it was slow by its own version's measure. `None`: too few were
    /// seen before. Engines that are slow by themselves don't change the measure.
    pub(crate) fn record(&mut self, engine: u64, running: u32, interval_us: f64) -> Option<bool> {
        let is_slow = self.is_slow(running, interval_us);
        if let Some(ratio) = self.ratio(running, interval_us) {
            self.note_engine(engine, ratio);
            if self.is_slow_engine(engine) {
                return is_slow;
            }
            self.keep_ratio(ratio);
        }
        let fade = 1.0 - 1.0 / MEMORY_SAMPLES;
        let (x, y, sums) = (f64::from(running), interval_us, &mut self.sums);
        sums.weight = sums.weight * fade + 1.0;
        sums.x = sums.x * fade + x;
        sums.y = sums.y * fade + y;
        sums.xx = sums.xx * fade + x * x;
        sums.xy = sums.xy * fade + x * y;
        self.samples += 1;
        is_slow
    }

    fn note_engine(&mut self, engine: u64, ratio: f64) {
        if self.all_ratios.len() == KEPT_RATIOS {
            self.all_ratios.pop_front();
        }
        self.all_ratios.push_back(ratio);
        self.ratio_count += 1;
        if self.ratio_count.is_multiple_of(RATIOS_BETWEEN_LIMITS) {
            self.median = quantile(&self.all_ratios, 0.5);
        }
        let mean = self.engines.entry(engine).or_default();
        mean.samples += 1;
        let weight = ENGINE_MEAN_WEIGHT.max(1.0 / mean.samples as f64);
        mean.log_ratio += weight * (ratio.max(f64::MIN_POSITIVE).ln() - mean.log_ratio);
    }

    /// Returns whether an engine's responses are slow where those of most engines are not.
    fn is_slow_engine(&self, engine: u64) -> bool {
        let Some(mean) = self.engines.get(&engine).filter(|_| engine != UNKNOWN_ENGINE) else { return false };
        self.median > 0.0
            && mean.samples >= MIN_ENGINE_SAMPLES
            && mean.log_ratio > (SLOW_ENGINE_RATIO * self.median).ln()
    }

    /// Returns whether a response is slower than nearly all of the stable version's. `None`: too few of these were seen.
    pub(crate) fn is_slow(&self, running: u32, interval_us: f64) -> Option<bool> {
        let ratio = self.ratio(running, interval_us)?;
        self.has_limit().then_some(ratio > self.limit_at(running))
    }

    fn limit_at(&self, running: u32) -> f64 {
        match f64::from(running) > self.sums.x / self.sums.weight {
            true => self.limit * HIGHER_LOAD_MARGIN,
            false => self.limit,
        }
    }

    fn has_limit(&self) -> bool {
        self.limit > 0.0 && self.ratios.len() as u64 >= MIN_SAMPLES
    }

    /// Returns the interval as a multiple of the predicted one.
    fn ratio(&self, running: u32, interval_us: f64) -> Option<f64> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let Sums { weight, x, y, xx, xy } = self.sums;
        let (mean_x, mean_y) = (x / weight, y / weight);
        let variance = xx / weight - mean_x * mean_x;
        let covariance = xy / weight - mean_x * mean_y;
        // More requests never make an engine faster: a slope below 0 is noise.
        let slope = if variance > f64::EPSILON { (covariance / variance).max(0.0) } else { 0.0 };
        let predicted = mean_y + slope * (f64::from(running) - mean_x);
        // Far from what was seen the line says little; it never falls below half of the mean.
        Some(interval_us / predicted.max(mean_y / 2.0).max(1.0))
    }

    fn keep_ratio(&mut self, ratio: f64) {
        if self.ratios.len() == KEPT_RATIOS {
            self.ratios.pop_front();
        }
        self.ratios.push_back(ratio);
        if self.samples.is_multiple_of(RATIOS_BETWEEN_LIMITS) {
            self.update_limit();
        }
    }

    fn update_limit(&mut self) {
        self.limit = (quantile(&self.ratios, LIMIT_QUANTILE) * QUANTILE_MARGIN).max(MIN_LIMIT);
    }
}

fn quantile(values: &VecDeque<f64>, part: f64) -> f64 {
    let mut sorted: Vec<f64> = values.iter().copied().collect();
    let at = ((sorted.len() - 1) as f64 * part) as usize;
    let (_, quantile, _) = sorted.select_nth_unstable_by(at, f64::total_cmp);
    *quantile
}

#[cfg(test)]
#[path = "load_model_tests.rs"]
mod tests;
