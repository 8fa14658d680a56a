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

/// Numbers of good and bad outcomes.
#[derive(Clone, Copy, Default)]
struct Counts {
    good: f64,
    bad: f64,
}

impl Counts {
    fn add(&mut self, good: u64, bad: u64) {
        self.good += good as f64;
        self.bad += bad as f64;
    }

    fn total(&self) -> f64 {
        self.good + self.bad
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
    pub(crate) fn record(&mut self, good: u64, bad: u64, now: u64) {
        self.rotate(now);
        self.current.add(good, bad);
        self.all.add(good, bad);
        if self.all.total() > MAX_SAMPLES {
            self.all = Counts { good: self.all.good / 2.0, bad: self.all.bad / 2.0 };
        }
    }

    /// Returns the rate. `now` is a steady time in milliseconds.
    pub(crate) fn rate(&mut self, now: u64) -> f64 {
        self.rotate(now);
        let lasting = (self.all.bad + PRIOR_SAMPLES * MIN_RATE) / (self.all.total() + PRIOR_SAMPLES);
        let recent_total = self.current.total() + self.previous.total();
        if recent_total < MIN_RECENT_SAMPLES {
            return lasting.max(MIN_RATE);
        }
        lasting.max((self.current.bad + self.previous.bad) / recent_total).max(MIN_RATE)
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
