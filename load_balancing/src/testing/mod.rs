//! Support of tests.

pub(crate) mod staleness_simulation;
