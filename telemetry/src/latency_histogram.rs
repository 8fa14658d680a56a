//! The histogram used for all latencies; common buckets allow comparing and aggregating them.

use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};

/// The upper bound of the first bucket, in seconds. That of the last bucket is 16.384 s.
const FIRST_BUCKET_S: f64 = 0.001;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 15;

/// Creates a histogram of latencies in seconds, with buckets from 1 ms to 16 s.
pub fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_FACTOR, BUCKET_COUNT))
}
