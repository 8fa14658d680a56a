//! Test support.

pub(crate) mod engines;
pub(crate) mod phase_simulation;
pub(crate) mod staleness_simulation;
