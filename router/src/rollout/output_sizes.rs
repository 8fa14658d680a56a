//! How many tokens the requests of a service put out, so that a load test can prefer those that occupy an engine for long: they load
//! an engine with fewer requests.

/// How much one request counts.
const WEIGHT: f64 = 1.0 / 128.0;

/// Fading means of the tokens that requests put out at most.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutputSizes {
    count: f64,
    mean: f64,
    mean_square: f64,
}

impl OutputSizes {
    /// Records a request.
    pub fn record(&mut self, max_output_tokens: u32) {
        let size = f64::from(max_output_tokens.max(1));
        self.count += 1.0;
        let weight = WEIGHT.max(1.0 / self.count);
        self.mean += weight * (size - self.mean);
        self.mean_square += weight * (size * size - self.mean_square);
    }

    /// Returns a request's size as a multiple of the mean; 1 before any was recorded.
    pub fn relative_size(&self, max_output_tokens: u32) -> f64 {
        if self.mean > 0.0 {
            f64::from(max_output_tokens.max(1)) / self.mean
        } else {
            1.0
        }
    }

    /// Returns how much more load a share of the requests makes where each is chosen in proportion to its size: the mean of the
    /// squared relative size.
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
