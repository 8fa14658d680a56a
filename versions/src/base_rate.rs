//! How often the stable version has bad outcomes.

/// Lowest rate that is assumed.
const MIN_RATE: f64 = 0.005;
/// Weight, in samples, of `MIN_RATE` as prior: with few samples the measured rate says little.
const PRIOR_SAMPLES: f64 = 20.0;
/// Number of samples at which all counts are halved, so that the rate follows the last few thousand.
const MAX_SAMPLES: f64 = 4000.0;
/// Length of a span. The last one to two spans make the recent rate.
const SPAN_MS: u64 = 1500;
/// Samples from which on the recent rate counts.
const MIN_RECENT_SAMPLES: f64 = 20.0;

/// Numbers of outcomes.
#[derive(Clone, Copy, Default)]
struct Counts {
    passed: f64,
    failed: f64,
}

impl Counts {
    fn add(&mut self, passed: u64, failed: u64) {
        self.passed += passed as f64;
        self.failed += failed as f64;
    }

    fn total(&self) -> f64 {
        self.passed + self.failed
    }
}

/// The rate over a long time, or over the last one to two spans where that is higher: a time in which everything fails is not
/// blamed on the candidate. Without new samples the rate over a long time stays.
#[derive(Default)]
pub(crate) struct BaseRate {
    all: Counts,
    current: Counts,
    previous: Counts,
    rotated_at: u64,
}

impl BaseRate {
    /// Adds outcomes of the stable version.
    pub(crate) fn record(&mut self, passed: u64, failed: u64, now: u64) {
        self.rotate(now);
        self.current.add(passed, failed);
        self.all.add(passed, failed);
        if self.all.total() > MAX_SAMPLES {
            self.all = Counts { passed: self.all.passed / 2.0, failed: self.all.failed / 2.0 };
        }
    }

    /// Returns the rate. `now` is a steady time in milliseconds.
    pub(crate) fn rate(&mut self, now: u64) -> f64 {
        self.rotate(now);
        let lasting = (self.all.failed + PRIOR_SAMPLES * MIN_RATE) / (self.all.total() + PRIOR_SAMPLES);
        let recent_total = self.current.total() + self.previous.total();
        if recent_total < MIN_RECENT_SAMPLES {
            return lasting.max(MIN_RATE);
        }
        lasting.max((self.current.failed + self.previous.failed) / recent_total).max(MIN_RATE)
    }

    fn rotate(&mut self, now: u64) {
        let passed = now.saturating_sub(self.rotated_at) / SPAN_MS;
        if passed == 0 {
            return;
        }
        self.previous = if passed == 1 { self.current } else { Counts::default() };
        self.current = Counts::default();
        self.rotated_at += passed * SPAN_MS;
    }
}

#[cfg(test)]
#[path = "base_rate_tests.rs"]
mod tests;
