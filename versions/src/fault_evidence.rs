//! What outcomes say for and against a fault of the candidate, and which faults are looked for.

/// Which candidates the evidence is to find.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tuning {
    /// The further share of bad outcomes that a candidate may have.
    pub(crate) allowed_excess: f64,
    /// The shares, beyond that, which a faulty one may have: small and large ones.
    pub(crate) fault_rates: [f64; FAULT_RATE_COUNT],
}

/// How many sizes of a fault are looked for.
pub(crate) const FAULT_RATE_COUNT: usize = 5;

/// What speaks for and against a fault of the candidate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Evidence {
    /// The largest log likelihood ratio for a fault, over all windows and sizes of a fault.
    pub(crate) against: f64,
    /// The log likelihood ratios over everything, by size of the fault: the lower, the surer that there is none.
    pub(crate) lasting: [f64; FAULT_RATE_COUNT],
    /// Whether many engines of the stable version fail by themselves.
    pub(crate) many_engines_fail: bool,
    /// Whether sound engines of the stable version fail so many requests that a small fault of the candidate may be hidden.
    pub(crate) may_hide_fault: bool,
}

/// How much of the evidence against a candidate is left out where many engines fail by themselves: a canary goes to few engines at a
/// time, and these may all be such ones.
const FAILING_ENGINES_ALLOWANCE: f64 = 3.0;

impl Evidence {
    /// Returns how much speaks against the candidate.
    pub(crate) fn strength(&self) -> f64 {
        let allowance = if self.many_engines_fail { FAILING_ENGINES_ALLOWANCE } else { 0.0 };
        (self.against - allowance).max(0.0)
    }

    /// Returns the largest log likelihood ratio, over everything, of the faults that must be ruled out: all but the smallest.
    pub(crate) fn ruled_out_ratio(&self) -> f64 {
        self.lasting[1..].iter().copied().fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns whether many engines of the stable version fail by themselves.
    pub(crate) fn many_engines_fail(&self) -> bool {
        self.many_engines_fail
    }

    /// Returns the log likelihood ratio, over everything, of the smallest fault where other failures may hide it. `None` where few
    /// requests fail, so that it shows by itself.
    pub(crate) fn hidden_fault_ratio(&self) -> Option<f64> {
        self.may_hide_fault.then_some(self.lasting[0])
    }
}
