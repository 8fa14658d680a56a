//! Evidence for and against a fault of the candidate, and the sizes of faults that are tested.

/// Which faults of a candidate are to be detected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DetectionParams {
    /// The additional rate of bad outcomes, over the stable version's, that is tolerated.
    pub(crate) allowed_excess: f64,
    /// The rates of bad outcomes beyond that which are tested as the size of a fault, in ascending order.
    pub(crate) fault_rates: [f64; FAULT_RATE_COUNT],
}

/// Number of sizes of a fault that are tested.
pub(crate) const FAULT_RATE_COUNT: usize = 5;

/// Evidence for and against a fault of the candidate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Evidence {
    /// The largest log likelihood ratio of a fault, over all windows and sizes of a fault.
    pub(crate) max_ratio: f64,
    /// Log likelihood ratios over all samples, by size of the fault: the lower, the less likely is a fault.
    pub(crate) overall_ratios: [f64; FAULT_RATE_COUNT],
    /// Whether many engines of the stable version are failing.
    pub(crate) many_engines_fail: bool,
    /// Whether healthy engines of the stable version fail so many requests that they may hide a small fault of the
    /// candidate.
    pub(crate) may_hide_fault: bool,
}

/// Subtracted from the log likelihood ratio of a fault if many engines are failing: a canary uses few engines at a
/// time, and all of these may be failing ones.
const FAILING_ENGINES_DISCOUNT: f64 = 3.0;

impl Evidence {
    /// Returns the strength of the evidence against the candidate, as a log likelihood ratio.
    pub(crate) fn strength(&self) -> f64 {
        let discount = if self.many_engines_fail { FAILING_ENGINES_DISCOUNT } else { 0.0 };
        (self.max_ratio - discount).max(0.0)
    }

    /// Returns the largest log likelihood ratio, over all samples, of the faults that must be excluded: all but the
    /// smallest.
    pub(crate) fn exclusion_ratio(&self) -> f64 {
        self.overall_ratios[1..].iter().copied().fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns whether many engines of the stable version are failing.
    pub(crate) fn many_engines_fail(&self) -> bool {
        self.many_engines_fail
    }

    /// Returns the log likelihood ratio, over all samples, of the smallest fault if other failures may hide it. `None`
    /// if too few requests fail to hide it.
    pub(crate) fn hidden_fault_ratio(&self) -> Option<f64> {
        self.may_hide_fault.then_some(self.overall_ratios[0])
    }
}
