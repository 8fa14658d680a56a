//! How likely the outcomes of one engine are where its version is sound, and where its version is faulty.
//!
//! Some engines fail by themselves, whatever version they run. So an engine is either sound, and then fails as often as its version
//! does, or failing, at a rate that is not known. A fault of the version shows at all of its engines: one sound engine is evidence
//! against it, and one failing engine is hardly evidence for it.

/// The rates that a failing engine may have, in addition to its version's rate.
const FAILING_RATES: [f64; 5] = [0.12, 0.3, 0.5, 0.75, 0.95];
/// Rates are kept away from 0 and 1 by this much.
const MIN_RATE: f64 = 1e-4;

/// Outcomes of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    /// Good ones.
    pub(crate) passed: f64,
    /// Bad ones.
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

    /// Returns the logarithm of the probability of these outcomes at a rate.
    pub(crate) fn log_likelihood(self, rate: f64) -> f64 {
        let rate = rate.clamp(MIN_RATE, 1.0 - MIN_RATE);
        self.bad * rate.ln() + self.passed * (1.0 - rate).ln()
    }
}

/// Returns the rate at which requests fail that fail for either of two reasons.
pub(crate) fn either(one: f64, other: f64) -> f64 {
    one + other - one * other
}

/// Returns the logarithm of the sum of the exponentials.
pub(crate) fn log_sum_exp(terms: impl Iterator<Item = f64> + Clone) -> f64 {
    let largest = terms.clone().fold(f64::NEG_INFINITY, f64::max);
    if largest == f64::NEG_INFINITY {
        return largest;
    }
    largest + terms.map(|term| (term - largest).exp()).sum::<f64>().ln()
}

/// Returns the logarithm of the probability of the outcomes of a failing engine whose version fails at `rate`.
pub(crate) fn failing_log_likelihood(counts: Counts, rate: f64) -> f64 {
    let of_rate = |extra: &f64| counts.log_likelihood(either(rate, *extra));
    log_sum_exp(FAILING_RATES.iter().map(of_rate)) - (FAILING_RATES.len() as f64).ln()
}

/// Outcomes of one engine at a time, and how often a sound one would have failed then.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Observed {
    /// The outcomes.
    pub(crate) counts: Counts,
    /// How many of them would have been bad at a sound engine of the stable version.
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

    /// Returns the log likelihood ratio of the outcomes for faults of the version of several sizes: positive where they speak for
    /// the fault, negative where they speak against it.
    ///
    /// `failing_share` is the share of engines that fail by themselves, a fault rate the further share of its requests that a
    /// sound engine fails where the version is faulty.
    pub(crate) fn log_likelihood_ratios<const N: usize>(&self, failing_share: f64, fault_rates: &[f64; N]) -> [f64; N] {
        let rate = self.rate();
        let log_likelihood = |rate| {
            let sound = (1.0 - failing_share).ln() + self.counts.log_likelihood(rate);
            log_sum_exp([sound, failing_share.ln() + failing_log_likelihood(self.counts, rate)].into_iter())
        };
        let without_fault = log_likelihood(rate);
        fault_rates.map(|fault_rate| log_likelihood(either(rate, fault_rate)) - without_fault)
    }

    /// Returns the rate of a sound engine, as a mean over the times of the outcomes.
    fn rate(&self) -> f64 {
        if self.counts.total() > 0.0 {
            self.expected_bad / self.counts.total()
        } else {
            MIN_RATE
        }
    }
}

/// Outcomes of one engine before and after something that may bring a fault about.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineHistory {
    /// Before it.
    pub(crate) before: Observed,
    /// After it.
    pub(crate) after: Observed,
}

impl EngineHistory {
    /// Returns the log likelihood ratio of the outcomes for a fault of the version that shows after the change, as
    /// [`Observed::log_likelihood_ratios`] does for one that shows always.
    pub(crate) fn log_likelihood_ratio(&self, failing_share: f64, fault_rate: f64) -> f64 {
        let rate = self.after.rate();
        self.log_likelihood(failing_share, either(rate, fault_rate)) - self.log_likelihood(failing_share, rate)
    }

    /// Returns the logarithm of the probability of the outcomes where the version fails at `after_rate` after the change.
    fn log_likelihood(&self, failing_share: f64, after_rate: f64) -> f64 {
        let (before, after, before_rate) = (self.before.counts, self.after.counts, self.before.rate());
        let sound = before.log_likelihood(before_rate) + after.log_likelihood(after_rate);
        let became_failing = before.log_likelihood(before_rate) + failing_log_likelihood(after, after_rate);
        let at_rate = |extra: &f64| {
            before.log_likelihood(either(before_rate, *extra)) + after.log_likelihood(either(after_rate, *extra))
        };
        let was_failing = log_sum_exp(FAILING_RATES.iter().map(at_rate)) - (FAILING_RATES.len() as f64).ln();
        let half = (failing_share / 2.0).ln();
        log_sum_exp([(1.0 - failing_share).ln() + sound, half + was_failing, half + became_failing].into_iter())
    }
}

/// Returns the probability that an engine fails by itself.
pub(crate) fn failing_probability(counts: Counts, failing_share: f64, rate: f64) -> f64 {
    let failing = failing_share.ln() + failing_log_likelihood(counts, rate);
    let sound = (1.0 - failing_share).ln() + counts.log_likelihood(rate);
    (failing - log_sum_exp([failing, sound].into_iter())).exp()
}

#[cfg(test)]
#[path = "engine_mixture_tests.rs"]
mod tests;
