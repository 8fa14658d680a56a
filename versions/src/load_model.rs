//! Model of the stable version's time between two events of a response, by the number of requests that its engine runs.
//!
//! Engines decode in batches, and a step takes a fixed time plus a time for each request of the batch. So the interval
//! is modelled as a linear function of the running requests, fitted by least squares, and responses are compared by the
//! ratio of their interval to the prediction. Slow engines are left out: first those with long intervals compared to
//! the others, then those above the line fitted to the rest.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::baseline::UNKNOWN_ENGINE;

/// Number of samples that are kept and fitted.
const MAX_SAMPLES: usize = 400;
/// Minimum number of samples for a fit.
const MIN_SAMPLES: usize = 60;
/// Number of samples between two fits.
const SAMPLES_BETWEEN_FITS: u64 = 8;
/// Quantile of the stable version's ratios from which the threshold is derived.
const THRESHOLD_QUANTILE: f64 = 0.75;
/// Factor between that quantile and the threshold.
const THRESHOLD_MARGIN: f64 = 1.06;
/// Lower bound of the threshold: responses closer to the prediction are never slow.
const MIN_SLOW_THRESHOLD: f64 = 1.15;
/// Factor on the threshold at loads above the mean of the stable version's responses. The number of running requests
/// changes during a response, so that the fitted slope is too small.
const HIGHER_LOAD_MARGIN: f64 = 1.1;
/// Ratio of an engine's median interval to that of the median engine, at any load, above which the engine is slow.
const SLOW_ENGINE_INTERVAL_RATIO: f64 = 2.0;
/// Ratio of an engine's intervals to the fitted line, relative to the median engine, above which the engine is slow.
const SLOW_ENGINE_FIT_RATIO: f64 = 1.25;
/// Minimum number of responses of an engine for it to be classified as slow.
const MIN_ENGINE_SAMPLES: usize = 3;

/// Interval of one response.
#[derive(Clone, Copy, Debug)]
struct Sample {
    engine: u64,
    running: f64,
    interval_us: f64,
}

/// The interval as a linear function of the running requests.
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
            let deviation = sample.running - mean_running;
            variance += deviation * deviation;
            covariance += deviation * (sample.interval_us - mean_interval_us);
        }
        // More requests never make an engine faster: a negative slope is noise.
        let slope = if variance > f64::EPSILON { (covariance / variance).max(0.0) } else { 0.0 };
        Some(Line { mean_running, mean_interval_us, slope })
    }

    /// Returns the ratio of an interval to the predicted one.
    fn ratio(&self, running: f64, interval_us: f64) -> f64 {
        let predicted = self.mean_interval_us + self.slope * (running - self.mean_running);
        // Extrapolation is unreliable: the prediction is at least half of the mean.
        interval_us / predicted.max(self.mean_interval_us / 2.0).max(1.0)
    }
}

/// A fitted line and the threshold of slow responses.
#[derive(Clone, Copy, Debug)]
struct Fit {
    line: Line,
    /// The ratio above which a response is slow.
    slow_threshold: f64,
}

/// Model of the stable version's event intervals.
#[derive(Default)]
pub(crate) struct LoadModel {
    samples: VecDeque<Sample>,
    recorded: u64,
    fit: Option<Fit>,
}

impl LoadModel {
    /// Adds a response of the stable version, and returns whether it was slow compared to earlier ones. `None` if these
    /// were too few.
    pub(crate) fn record(&mut self, engine: u64, running: u32, interval_us: f64) -> Option<bool> {
        let is_slow = self.is_slow(running, interval_us);
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { engine, running: running.into(), interval_us });
        self.recorded += 1;
        if self.samples.len() >= MIN_SAMPLES && self.recorded.is_multiple_of(SAMPLES_BETWEEN_FITS) {
            self.fit = self.compute_fit();
        }
        is_slow
    }

    /// Returns whether a response is slower than nearly all of the stable version's. `None` if these were too few.
    pub(crate) fn is_slow(&self, running: u32, interval_us: f64) -> Option<bool> {
        let Fit { line, slow_threshold } = self.fit?;
        let margin = if f64::from(running) > line.mean_running { HIGHER_LOAD_MARGIN } else { 1.0 };
        Some(line.ratio(running.into(), interval_us) > slow_threshold * margin)
    }

    fn compute_fit(&self) -> Option<Fit> {
        let unknown = self.excluded_unknown_engine();
        let slow = self.engines_slower_by(SLOW_ENGINE_INTERVAL_RATIO, |sample| sample.interval_us);
        let slow: BTreeSet<u64> = slow.union(&unknown).copied().collect();
        let line = Line::fit(self.samples_without(&slow))?;
        let slow =
            self.engines_slower_by(SLOW_ENGINE_FIT_RATIO, |sample| line.ratio(sample.running, sample.interval_us));
        let slow: BTreeSet<u64> = slow.union(&unknown).copied().collect();
        let line = Line::fit(self.samples_without(&slow))?;
        let ratios = self.samples_without(&slow).map(|sample| line.ratio(sample.running, sample.interval_us));
        let slow_threshold = quantile(ratios.collect(), THRESHOLD_QUANTILE) * THRESHOLD_MARGIN;
        Some(Fit { line, slow_threshold: slow_threshold.max(MIN_SLOW_THRESHOLD) })
    }

    /// Returns [`UNKNOWN_ENGINE`] if there are enough samples of identified engines to leave it out.
    fn excluded_unknown_engine(&self) -> BTreeSet<u64> {
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

    /// Returns the engines whose median value is more than `factor` times the median of all engines' medians.
    fn engines_slower_by(&self, factor: f64, value: impl Fn(&Sample) -> f64) -> BTreeSet<u64> {
        let mut by_engine: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
        for sample in self.samples.iter().filter(|sample| sample.engine != UNKNOWN_ENGINE) {
            by_engine.entry(sample.engine).or_default().push(value(sample));
        }
        let known = by_engine.into_iter().filter(|(_, values)| values.len() >= MIN_ENGINE_SAMPLES);
        let medians: Vec<(u64, f64)> = known.map(|(engine, values)| (engine, quantile(values, 0.5))).collect();
        if medians.is_empty() {
            return BTreeSet::new();
        }
        let limit = factor * quantile(medians.iter().map(|(_, median)| *median).collect(), 0.5);
        medians.into_iter().filter(|(_, median)| *median > limit).map(|(engine, _)| engine).collect()
    }
}

/// Returns the value at a quantile, 0 to 1. `values` must not be empty.
fn quantile(mut values: Vec<f64>, fraction: f64) -> f64 {
    let index = ((values.len() - 1) as f64 * fraction) as usize;
    let (_, quantile, _) = values.select_nth_unstable_by(index, f64::total_cmp);
    *quantile
}

#[cfg(test)]
#[path = "load_model_tests.rs"]
mod tests;
