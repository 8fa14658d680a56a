//! Where a process serves its metrics.

use std::error;
use std::str::FromStr;

/// A port of the own machine and a path on it, written `PORT/PATH`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(try_from = "String")]
pub struct MetricsEndpoint {
    pub port: u16,
    /// With a slash at its beginning.
    pub path: String,
}

/// A metrics endpoint that is not written `PORT/PATH`.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidMetricsEndpoint(String);

impl std::fmt::Display for InvalidMetricsEndpoint {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(out, "`{}` is not PORT/PATH", self.0)
    }
}

impl error::Error for InvalidMetricsEndpoint {}

impl TryFrom<String> for MetricsEndpoint {
    type Error = InvalidMetricsEndpoint;

    fn try_from(text: String) -> Result<MetricsEndpoint, InvalidMetricsEndpoint> {
        text.parse()
    }
}

impl FromStr for MetricsEndpoint {
    type Err = InvalidMetricsEndpoint;

    fn from_str(text: &str) -> Result<MetricsEndpoint, InvalidMetricsEndpoint> {
        let bad = || InvalidMetricsEndpoint(text.to_string());
        let (port, path) = text.split_once('/').ok_or_else(bad)?;
        let port = port.parse().ok().filter(|port| *port > 0).ok_or_else(bad)?;
        if path.contains(|sign: char| sign.is_whitespace() || sign == '?') {
            return Err(bad());
        }
        Ok(MetricsEndpoint { port, path: format!("/{path}") })
    }
}
