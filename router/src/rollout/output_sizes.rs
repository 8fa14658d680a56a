//! Statistics of the output sizes of a service's requests. With them a load test prefers requests with long outputs,
//! which load an engine with fewer requests.

/// Minimum weight of a new request in the moving averages.
const MIN_WEIGHT: f64 = 1.0 / 128.0;

/// Exponential moving averages of the maximum number of output tokens of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutputSizes {
    count: f64,
    mean: f64,
    mean_square: f64,
}

impl OutputSizes {
    /// Records the maximum number of output tokens of a request.
    pub fn record(&mut self, max_output_tokens: u32) {
        let size = f64::from(max_output_tokens.max(1));
        self.count += 1.0;
        let weight = MIN_WEIGHT.max(1.0 / self.count);
        self.mean += weight * (size - self.mean);
        self.mean_square += weight * (size * size - self.mean_square);
    }

    /// Returns the size of a request as a multiple of the mean; 1 before any request was recorded.
    pub fn relative_size(&self, max_output_tokens: u32) -> f64 {
        if self.mean > 0.0 {
            f64::from(max_output_tokens.max(1)) / self.mean
        } else {
            1.0
        }
    }

    /// Returns by which factor a share of the requests generates more load if each is selected in proportion to its
    /// size: the mean of the squared relative size.
    pub fn load_factor(&self) -> f64 {
        if self.mean > 0.0 {
            (self.mean_square / (self.mean * self.mean)).max(1.0)
        } else {
            1.0
        }
    }
}

#[cfg(test)]
#[path = "output_sizes_tests.rs"]
mod tests;
