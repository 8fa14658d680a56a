//! The connections to engines, and outlier detection: engines that are suspected to be unresponsive, and the probes
//! that confirm or clear the suspicion.

pub mod connection_pool;
pub mod probe;
pub mod probe_rate;
pub mod suspicion;
pub mod suspicion_report;
