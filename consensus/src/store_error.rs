//! Why a store could not be opened or written.

use std::error;
use std::path::PathBuf;

use crate::folder::Folder;

#[derive(Debug)]
pub enum StoreError {
    /// The disk refused; the same may work later.
    Io(PathBuf, std::io::Error),
    /// The log must not grow further before a snapshot was made.
    SnapshotOverdue,
    /// What was synced is not there any more, or the file is not one of a store.
    Damaged { file: PathBuf, offset: u64, what: &'static str },
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            StoreError::Io(file, error) => write!(out, "{}: {error}", file.display()),
            StoreError::SnapshotOverdue => write!(out, "the log is too long: a snapshot must come first"),
            StoreError::Damaged { file, offset, what } => write!(out, "{} at offset {offset}: {what}", file.display()),
        }
    }
}

impl error::Error for StoreError {}

/// Turns a file error into one that names the file.
pub fn io(folder: &dyn Folder, name: &str) -> impl FnOnce(std::io::Error) -> StoreError {
    let path = folder.path(name);
    |error| StoreError::Io(path, error)
}
