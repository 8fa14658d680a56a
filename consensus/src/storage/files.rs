//! The files of a store by name: segments `log-N`, snapshots `snap-N`, and a snapshot being written.

use super::directory::Directory;
use super::error::{io_error, StoreError};

/// A snapshot that is being written.
pub const TEMPORARY_SNAPSHOT: &str = "draft";

pub fn segment_name(number: u64) -> String {
    format!("log-{number:08}")
}

pub fn snapshot_name(number: u64) -> String {
    format!("snap-{number:08}")
}

/// The numbered files of a store, ascending.
#[derive(Default)]
pub struct StoreFiles {
    pub snapshots: Vec<u64>,
    pub segments: Vec<u64>,
}

impl StoreFiles {
    pub fn read(directory: &dyn Directory) -> Result<StoreFiles, StoreError> {
        let mut files = StoreFiles::default();
        for name in directory.names().map_err(io_error(directory, ""))? {
            let number = |prefix: &str| name.strip_prefix(prefix).and_then(|rest| rest.parse::<u64>().ok());
            files.snapshots.extend(number("snap-").filter(|number| snapshot_name(*number) == name));
            files.segments.extend(number("log-").filter(|number| segment_name(*number) == name));
        }
        files.snapshots.sort_unstable();
        files.segments.sort_unstable();
        Ok(files)
    }

    /// The number of the newest snapshot: segments below it are of no more use.
    pub fn first(&self) -> u64 {
        self.snapshots.last().copied().unwrap_or(1)
    }

    /// The segments that count. None: one of them is missing.
    pub fn live(&self) -> Option<Vec<u64>> {
        let live: Vec<u64> = self.segments.iter().copied().filter(|number| *number >= self.first()).collect();
        let unbroken = live.iter().copied().eq(self.first()..self.first() + live.len() as u64);
        let missing = live.is_empty() && !(self.snapshots.is_empty() && self.segments.is_empty());
        (unbroken && !missing).then_some(live)
    }
}
