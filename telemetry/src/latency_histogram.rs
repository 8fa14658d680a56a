//! The histogram that all latencies share, so that they can be compared and added up.

use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};

/// The upper bound of the first bucket, in seconds. The last one of all is 16.384 s.
const FIRST_BUCKET_S: f64 = 0.001;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 15;

/// Creates a histogram of times in seconds, from 1 ms to 16 s.
pub fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_FACTOR, BUCKET_COUNT))
}
