//! Errors of the commands.

use std::io;

use http_calls::CallError;
use kernel::settings::SettingsError;
use reqwest::StatusCode;
use thiserror::Error;

/// An error of a command, printed after the program's name.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The settings file is missing or has an unusable field.
    #[error("{0}")]
    InvalidSettings(SettingsError),
    /// A file named on the command line can't be read.
    #[error("{path}: {source}")]
    UnreadableFile {
        /// The path as given on the command line.
        path: String,
        /// The error that the operating system returned.
        source: io::Error,
    },
    /// The async runtime could not be started.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The HTTP client could not be built.
    #[error("{0}")]
    Client(#[from] reqwest::Error),
    /// The request to a controller failed, or its response was cut off or is invalid.
    #[error("{0}")]
    Request(#[from] CallError),
    /// A controller returned an error status.
    #[error("{status}: {body}")]
    Rejected {
        /// The HTTP status.
        status: StatusCode,
        /// The response body, which states the reason.
        body: String,
    },
    /// A controller's response is not valid JSON.
    #[error("{0}")]
    MalformedResponse(#[from] serde_json::Error),
    /// Only one of `--service` and `--model` was given.
    #[error("show: --service and --model must be given together")]
    IncompleteRuleName,
    /// A flag has an invalid value.
    #[error("{flag}: {allowed}")]
    InvalidFlag {
        /// The name of the flag.
        flag: &'static str,
        /// The values that it accepts.
        allowed: &'static str,
    },
    /// In a simulated batch, some job was not answered exactly once.
    #[error("a job was not answered exactly once")]
    NotExactlyOnce,
}
