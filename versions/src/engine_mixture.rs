//! Likelihood of the outcomes of one engine if its version is healthy, and if its version is faulty.
//!
//! The model is a mixture: an engine is either healthy, and fails requests at the rate of its version, or failing, at a
//! higher and unknown rate whatever version it runs. A fault of the version shows at all of its engines. So one healthy
//! engine is strong evidence against a fault, while one failing engine is weak evidence for it.

/// The failure rates that a failing engine may have, in addition to the rate of its version.
const FAILING_RATES: [f64; 5] = [0.12, 0.3, 0.5, 0.75, 0.95];
/// Rates are clamped to at least this distance from 0 and 1.
const MIN_RATE: f64 = 1e-4;

/// Counts of request outcomes, which may be weighted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    /// Good outcomes.
    pub(crate) passed: f64,
    /// Bad outcomes.
    pub(crate) bad: f64,
}

impl Counts {
    pub(crate) fn total(self) -> f64 {
        self.passed + self.bad
    }

    pub(crate) fn add(&mut self, other: Counts) {
        self.passed += other.passed;
        self.bad += other.bad;
    }

    pub(crate) fn scale(&mut self, factor: f64) {
        self.passed *= factor;
        self.bad *= factor;
    }

    /// Returns the log likelihood of these outcomes at a rate of bad ones.
    pub(crate) fn log_likelihood(self, rate: f64) -> f64 {
        let rate = rate.clamp(MIN_RATE, 1.0 - MIN_RATE);
        self.bad * rate.ln() + self.passed * (1.0 - rate).ln()
    }
}

/// Returns the failure rate of requests that two independent causes fail at these rates.
pub(crate) fn combined_rate(first: f64, second: f64) -> f64 {
    first + second - first * second
}

/// Returns the logarithm of the sum of the exponentials.
pub(crate) fn log_sum_exp(terms: impl Iterator<Item = f64> + Clone) -> f64 {
    let largest = terms.clone().fold(f64::NEG_INFINITY, f64::max);
    if largest == f64::NEG_INFINITY {
        return largest;
    }
    largest + terms.map(|term| (term - largest).exp()).sum::<f64>().ln()
}

/// Returns the log likelihood of the outcomes of a failing engine whose version fails at `rate`.
pub(crate) fn failing_log_likelihood(counts: Counts, rate: f64) -> f64 {
    let log_likelihood = |extra: &f64| counts.log_likelihood(combined_rate(rate, *extra));
    log_sum_exp(FAILING_RATES.iter().map(log_likelihood)) - (FAILING_RATES.len() as f64).ln()
}

/// Outcomes of one engine, and how many of them would have been bad at a healthy engine at the same time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Observed {
    /// Outcomes of the engine.
    pub(crate) counts: Counts,
    /// How many of them would have been bad at a healthy engine of the stable version.
    pub(crate) expected_bad: f64,
}

impl Observed {
    pub(crate) fn new(counts: Counts, rate: f64) -> Observed {
        Observed { counts, expected_bad: counts.total() * rate }
    }

    pub(crate) fn add(&mut self, other: Observed) {
        self.counts.add(other.counts);
        self.expected_bad += other.expected_bad;
    }

    pub(crate) fn scale(&mut self, factor: f64) {
        self.counts.scale(factor);
        self.expected_bad *= factor;
    }

    /// Returns the log likelihood ratio of the outcomes for each fault rate of the version: positive if they are
    /// evidence for a fault of this size, negative if they are evidence against it.
    ///
    /// `failing_share` is the share of failing engines. A fault rate is the additional share of its requests that a
    /// healthy engine fails if the version is faulty.
    pub(crate) fn log_likelihood_ratios<const N: usize>(&self, failing_share: f64, fault_rates: &[f64; N]) -> [f64; N] {
        let rate = self.rate();
        let log_likelihood = |rate| {
            let healthy = (1.0 - failing_share).ln() + self.counts.log_likelihood(rate);
            log_sum_exp([healthy, failing_share.ln() + failing_log_likelihood(self.counts, rate)].into_iter())
        };
        let without_fault = log_likelihood(rate);
        fault_rates.map(|fault_rate| log_likelihood(combined_rate(rate, fault_rate)) - without_fault)
    }

    /// Returns the failure rate of a healthy engine, averaged over the outcomes.
    fn rate(&self) -> f64 {
        if self.counts.total() > 0.0 {
            self.expected_bad / self.counts.total()
        } else {
            MIN_RATE
        }
    }
}

/// Outcomes of one engine before and after a change that may trigger a fault.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineHistory {
    /// Outcomes before the change.
    pub(crate) before: Observed,
    /// Outcomes after the change.
    pub(crate) after: Observed,
}

impl EngineHistory {
    /// Returns the log likelihood ratio of the outcomes for a fault of the version that shows only after the change.
    /// [`Observed::log_likelihood_ratios`] does the same for a fault that always shows.
    pub(crate) fn log_likelihood_ratio(&self, failing_share: f64, fault_rate: f64) -> f64 {
        let rate = self.after.rate();
        self.log_likelihood(failing_share, combined_rate(rate, fault_rate)) - self.log_likelihood(failing_share, rate)
    }

    /// Returns the log likelihood of the outcomes if the version fails at `after_rate` after the change.
    fn log_likelihood(&self, failing_share: f64, after_rate: f64) -> f64 {
        let (before, after, before_rate) = (self.before.counts, self.after.counts, self.before.rate());
        let healthy = before.log_likelihood(before_rate) + after.log_likelihood(after_rate);
        let became_failing = before.log_likelihood(before_rate) + failing_log_likelihood(after, after_rate);
        let log_likelihood = |extra: &f64| {
            before.log_likelihood(combined_rate(before_rate, *extra))
                + after.log_likelihood(combined_rate(after_rate, *extra))
        };
        let was_failing = log_sum_exp(FAILING_RATES.iter().map(log_likelihood)) - (FAILING_RATES.len() as f64).ln();
        let log_half_share = (failing_share / 2.0).ln();
        log_sum_exp(
            [(1.0 - failing_share).ln() + healthy, log_half_share + was_failing, log_half_share + became_failing]
                .into_iter(),
        )
    }
}

/// Returns the probability that an engine is failing.
pub(crate) fn failing_probability(counts: Counts, failing_share: f64, rate: f64) -> f64 {
    let failing = failing_share.ln() + failing_log_likelihood(counts, rate);
    let healthy = (1.0 - failing_share).ln() + counts.log_likelihood(rate);
    (failing - log_sum_exp([failing, healthy].into_iter())).exp()
}

#[cfg(test)]
#[path = "engine_mixture_tests.rs"]
mod tests;
