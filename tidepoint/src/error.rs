//! Why a command failed.

use std::io;

use kernel::settings::SettingsError;
use reqwest::StatusCode;
use thiserror::Error;

/// Why a command failed; printed after the program's name.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The settings file is missing or has an unusable field.
    #[error("{0}")]
    InvalidSettings(SettingsError),
    /// A file named on the command line can't be read.
    #[error("{path}: {source}")]
    UnreadableFile {
        /// The path as it was given.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The runtime for a call could not be started.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// A controller did not answer, or its answer broke off.
    #[error("{0}")]
    Call(#[from] reqwest::Error),
    /// A controller answered with another status than success.
    #[error("{status}: {body}")]
    Rejected {
        /// The status of its answer.
        status: StatusCode,
        /// The body of its answer: why.
        body: String,
    },
    /// A controller's answer is not JSON.
    #[error("{0}")]
    MalformedAnswer(#[from] serde_json::Error),
    /// Only one of two options was given.
    #[error("show: --service and --model go together")]
    IncompleteName,
    /// A flag has a value that is not allowed.
    #[error("{flag}: {allowed}")]
    InvalidFlag {
        /// The flag.
        flag: &'static str,
        /// What it takes.
        allowed: &'static str,
    },
    /// A simulated batch broke its promise.
    #[error("a job was not answered exactly once")]
    NotExactlyOnce,
}
