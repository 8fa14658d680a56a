//! Metrics of a process, served over HTTP in the OpenMetrics text format.
#![deny(missing_docs)]

mod endpoint;
mod latency_histogram;
mod memory_metrics;
pub mod testing;

pub use endpoint::start;
pub use latency_histogram::latency_histogram;
pub use memory_metrics::MemoryMetrics;
use prometheus_client::encoding::text;
use prometheus_client::registry::Registry;

/// Encodes the metrics of a registry as text; returns an empty text if one can't be encoded.
pub fn encode(registry: &Registry) -> String {
    let mut output = String::new();
    if text::encode(&mut output, registry).is_err() {
        output.clear();
    }
    output
}
