//! Errors of a store.

use std::path::PathBuf;
use std::{error, fmt, io};

use super::directory::Directory;

/// An error while opening or writing a store.
#[derive(Debug)]
pub enum StoreError {
    /// The file system returned an error. A later retry may succeed.
    Io {
        /// The affected file or directory.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The log has reached its maximum length. A snapshot must be made before it may grow further.
    SnapshotOverdue,
    /// Synced records are missing or unreadable, or the file does not belong to a store.
    Corrupted {
        /// The affected file.
        path: PathBuf,
        /// The offset of the first unreadable record, in bytes.
        offset: u64,
        /// What is wrong with the file.
        reason: &'static str,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::Io { path, source } => write!(formatter, "{}: {source}", path.display()),
            StoreError::SnapshotOverdue => {
                write!(formatter, "the log has reached its maximum length: a snapshot must be made first")
            }
            StoreError::Corrupted { path, offset, reason } => {
                write!(formatter, "{} at offset {offset}: {reason}", path.display())
            }
        }
    }
}

impl error::Error for StoreError {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            StoreError::Io { source, .. } => Some(source),
            StoreError::SnapshotOverdue | StoreError::Corrupted { .. } => None,
        }
    }
}

/// Returns a function that adds the path of a file to an error of the file system.
pub fn io_error(directory: &dyn Directory, name: &str) -> impl FnOnce(io::Error) -> StoreError {
    let path = directory.path(name);
    |source| StoreError::Io { path, source }
}
