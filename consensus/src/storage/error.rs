//! Why a store could not be opened or written.

use std::path::PathBuf;
use std::{error, fmt, io};

use super::directory::Directory;

#[derive(Debug)]
pub enum StoreError {
    /// The disk refused; the same may work later.
    Io { path: PathBuf, source: io::Error },
    /// The log must not grow further before a snapshot was made.
    SnapshotOverdue,
    /// What was synced is not there any more, or the file is not one of a store.
    Corrupted { path: PathBuf, offset: u64, reason: &'static str },
}

impl fmt::Display for StoreError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::Io { path, source } => write!(out, "{}: {source}", path.display()),
            StoreError::SnapshotOverdue => write!(out, "the log is too long: a snapshot must come first"),
            StoreError::Corrupted { path, offset, reason } => {
                write!(out, "{} at offset {offset}: {reason}", path.display())
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

/// Turns a file error into one that names the file.
pub fn io_error(directory: &dyn Directory, name: &str) -> impl FnOnce(io::Error) -> StoreError {
    let path = directory.path(name);
    |source| StoreError::Io { path, source }
}
