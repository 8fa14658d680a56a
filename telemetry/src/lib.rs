//! Metrics of a process, told over HTTP in the Prometheus text format.
#![warn(missing_docs)]

use prometheus_client::encoding::text;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

mod endpoint;
pub mod testing;

pub use endpoint::start;

/// The upper bound of the first bucket of a latency histogram, in seconds, the factor between buckets and their number:
/// 1 ms to 16 s.
const FIRST_BUCKET_S: f64 = 0.001;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 15;

/// A histogram of times in seconds.
pub fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_FACTOR, BUCKET_COUNT))
}

/// The metrics of a registry as text. Empty where a metric can't be encoded.
pub fn encode(registry: &Registry) -> String {
    let mut text = String::new();
    if text::encode(&mut text, registry).is_err() {
        text.clear();
    }
    text
}

#[cfg(test)]
mod endpoint_tests;
