//! The port and path at which a process serves its metrics.

use std::str::FromStr;
use std::{error, fmt};

use serde::Deserialize;

/// A local port and a URL path, written `PORT/PATH`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct MetricsEndpoint {
    /// The port; never zero.
    pub port: u16,
    /// The path, with a leading slash.
    pub path: String,
}

/// The error for a text that is not of the form `PORT/PATH`.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidMetricsEndpoint(String);

impl fmt::Display for InvalidMetricsEndpoint {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "`{}` is not PORT/PATH", self.0)
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
        let invalid = || InvalidMetricsEndpoint(text.to_string());
        let (port, path) = text.split_once('/').ok_or_else(invalid)?;
        let port = port.parse().ok().filter(|port| *port > 0).ok_or_else(invalid)?;
        if path.contains(|character: char| character.is_whitespace() || character == '?') {
            return Err(invalid());
        }
        Ok(MetricsEndpoint { port, path: format!("/{path}") })
    }
}
