//! How long the stable version takes between two events of a response, by how many requests its engine runs.
//!
//! Engines decode in batches, and a step takes a fixed time and a time for each request of the batch. So the interval is a linear
//! function of the requests that run, fitted by least squares; what lies above it is a ratio. Engines that are slow by themselves
//! are left out: those whose intervals are long beside the others', and then those that lie above the line of the rest.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::baseline::UNKNOWN_ENGINE;

/// How many samples the line is fitted to.
const KEPT_SAMPLES: usize = 400;
/// Samples before the model predicts.
const MIN_SAMPLES: usize = 60;
/// How many samples come between two fits.
const SAMPLES_BETWEEN_FITS: u64 = 8;
/// The quantile of the stable version's ratios from which the limit is derived.
const LIMIT_QUANTILE: f64 = 0.75;
/// How far the limit lies above that quantile.
const QUANTILE_MARGIN: f64 = 1.06;
/// The lowest limit: what lies nearer to the prediction is never slow.
const MIN_LIMIT: f64 = 1.15;
/// How much higher the limit is above the mean load of the stable version's responses. The requests that an engine runs change
/// while a response lasts, so that the fitted line rises less than it should.
const HIGHER_LOAD_MARGIN: f64 = 1.1;
/// How much longer the intervals of an engine are than the median engine's, whatever it runs, where it is slow by itself.
const SLOW_ENGINE_INTERVAL: f64 = 2.0;
/// How far an engine's intervals lie above the line of the others where it is slow by itself.
const SLOW_ENGINE_RATIO: f64 = 1.25;
/// Responses of an engine before that is told.
const MIN_ENGINE_SAMPLES: usize = 3;

/// One response.
#[derive(Clone, Copy, Debug)]
struct Sample {
    engine: u64,
    running: f64,
    interval_us: f64,
}

/// The interval as a function of the requests that run.
#[derive(Clone, Copy, Debug)]
struct Line {
    mean_running: f64,
    mean_interval_us: f64,
    slope: f64,
}

impl Line {
    /// Fits a line by least squares. `None` without samples.
    fn fit<'a>(samples: impl Iterator<Item = &'a Sample> + Clone) -> Option<Line> {
        let count = samples.clone().count() as f64;
        if count == 0.0 {
            return None;
        }
        let mean_running = samples.clone().map(|sample| sample.running).sum::<f64>() / count;
        let mean_interval_us = samples.clone().map(|sample| sample.interval_us).sum::<f64>() / count;
        let (mut variance, mut covariance) = (0.0, 0.0);
        for sample in samples {
            let distance = sample.running - mean_running;
            variance += distance * distance;
            covariance += distance * (sample.interval_us - mean_interval_us);
        }
        // More requests never make an engine faster: a slope below 0 is noise.
        let slope = if variance > f64::EPSILON { (covariance / variance).max(0.0) } else { 0.0 };
        Some(Line { mean_running, mean_interval_us, slope })
    }

    /// Returns an interval as a multiple of the predicted one.
    fn ratio(&self, running: f64, interval_us: f64) -> f64 {
        let predicted = self.mean_interval_us + self.slope * (running - self.mean_running);
        // Far from what was seen the line says little; it never falls below half of the mean.
        interval_us / predicted.max(self.mean_interval_us / 2.0).max(1.0)
    }
}

/// The line, and how far the stable version's own samples lie from it.
#[derive(Clone, Copy, Debug)]
struct Fit {
    line: Line,
    /// The ratio from which on a response is slow.
    limit: f64,
}

/// The model.
#[derive(Default)]
pub(crate) struct LoadModel {
    samples: VecDeque<Sample>,
    recorded: u64,
    fit: Option<Fit>,
}

impl LoadModel {
    /// Adds a response of the stable version, and returns whether it was slow by its own version's measure. `None`: too few were
    /// seen before.
    pub(crate) fn record(&mut self, engine: u64, running: u32, interval_us: f64) -> Option<bool> {
        let is_slow = self.is_slow(running, interval_us);
        if self.samples.len() == KEPT_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { engine, running: running.into(), interval_us });
        self.recorded += 1;
        if self.samples.len() >= MIN_SAMPLES && self.recorded.is_multiple_of(SAMPLES_BETWEEN_FITS) {
            self.fit = self.fitted();
        }
        is_slow
    }

    /// Returns whether a response is slower than nearly all of the stable version's. `None`: too few of these were seen.
    pub(crate) fn is_slow(&self, running: u32, interval_us: f64) -> Option<bool> {
        let Fit { line, limit } = self.fit?;
        let margin = if f64::from(running) > line.mean_running { HIGHER_LOAD_MARGIN } else { 1.0 };
        Some(line.ratio(running.into(), interval_us) > limit * margin)
    }

    fn fitted(&self) -> Option<Fit> {
        let unknown = self.unknown_engine();
        let slow = self.engines_above(SLOW_ENGINE_INTERVAL, |sample| sample.interval_us);
        let slow: BTreeSet<u64> = slow.union(&unknown).copied().collect();
        let line = Line::fit(self.samples_without(&slow))?;
        let slow = self.engines_above(SLOW_ENGINE_RATIO, |sample| line.ratio(sample.running, sample.interval_us));
        let slow: BTreeSet<u64> = slow.union(&unknown).copied().collect();
        let line = Line::fit(self.samples_without(&slow))?;
        let ratios = self.samples_without(&slow).map(|sample| line.ratio(sample.running, sample.interval_us));
        let limit = quantile(ratios.collect(), LIMIT_QUANTILE) * QUANTILE_MARGIN;
        Some(Fit { line, limit: limit.max(MIN_LIMIT) })
    }

    /// Returns the engine that stands for all that are not told apart, where there are enough samples of others.
    fn unknown_engine(&self) -> BTreeSet<u64> {
        let known = self.samples.iter().filter(|sample| sample.engine != UNKNOWN_ENGINE).count();
        if known >= MIN_SAMPLES {
            BTreeSet::from([UNKNOWN_ENGINE])
        } else {
            BTreeSet::new()
        }
    }

    fn samples_without<'a>(&'a self, engines: &'a BTreeSet<u64>) -> impl Iterator<Item = &'a Sample> + Clone {
        self.samples.iter().filter(|sample| !engines.contains(&sample.engine))
    }

    /// Returns the engines whose median lies more than `times` above the median of all engines' medians.
    fn engines_above(&self, times: f64, value: impl Fn(&Sample) -> f64) -> BTreeSet<u64> {
        let mut by_engine: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
        for sample in self.samples.iter().filter(|sample| sample.engine != UNKNOWN_ENGINE) {
            by_engine.entry(sample.engine).or_default().push(value(sample));
        }
        let known = by_engine.into_iter().filter(|(_, values)| values.len() >= MIN_ENGINE_SAMPLES);
        let medians: Vec<(u64, f64)> = known.map(|(engine, values)| (engine, quantile(values, 0.5))).collect();
        if medians.is_empty() {
            return BTreeSet::new();
        }
        let limit = times * quantile(medians.iter().map(|(_, median)| *median).collect(), 0.5);
        medians.into_iter().filter(|(_, median)| *median > limit).map(|(engine, _)| engine).collect()
    }
}

/// Returns a quantile of values, of which there is one at least.
fn quantile(mut values: Vec<f64>, part: f64) -> f64 {
    let at = ((values.len() - 1) as f64 * part) as usize;
    let (_, quantile, _) = values.select_nth_unstable_by(at, f64::total_cmp);
    *quantile
}

#[cfg(test)]
#[path = "load_model_tests.rs"]
mod tests;
