//! The engines' side: connections to engines, and outlier detection: suspicion of engines that give no sign of life, settled by probes.

pub mod connection_pool;
pub mod probe;
pub mod probe_rate;
pub mod suspicion;
pub mod suspicion_report;
