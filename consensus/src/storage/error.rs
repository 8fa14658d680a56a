//! Why a store could not be opened or written.

use std::path::PathBuf;
use std::{error, fmt, io};

use super::directory::Directory;

/// Why a store could not be opened or written.
#[derive(Debug)]
pub enum StoreError {
    /// The file system returned an error; the same operation may work later.
    Io {
        /// The file or directory concerned.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The log has reached its maximum length: a snapshot must be made before it may grow further.
    SnapshotOverdue,
    /// Records that were synced are missing or unreadable, or the file is not one of a store.
    Corrupted {
        /// The file concerned.
        path: PathBuf,
        /// Where in the file the first unreadable record begins, in bytes.
        offset: u64,
        /// What was found.
        reason: &'static str,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::Io { path, source } => write!(formatter, "{}: {source}", path.display()),
            StoreError::SnapshotOverdue => write!(formatter, "the log is too long: a snapshot must come first"),
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

/// Returns a function that turns an error of the file system into one that names the file.
pub fn io_error(directory: &dyn Directory, name: &str) -> impl FnOnce(io::Error) -> StoreError {
    let path = directory.path(name);
    |source| StoreError::Io { path, source }
}
