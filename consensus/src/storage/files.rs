//! The file names of a store: segments `log-N`, snapshots `snap-N`, and the temporary name of an unfinished snapshot.

use super::directory::Directory;
use super::error::{io_error, StoreError};

/// The file name of a snapshot that is being written.
pub const TEMPORARY_SNAPSHOT: &str = "draft";
const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snap-";
/// The number of the first segment of a new store.
pub const FIRST_SEGMENT: u64 = 1;

/// Returns the file name of the segment with this number.
pub fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:08}")
}

/// Returns the file name of the snapshot with this number.
pub fn snapshot_name(number: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{number:08}")
}

/// The numbers of a store's files, in ascending order.
#[derive(Default)]
pub struct StoreFiles {
    /// The snapshots. Snapshot N replaces all segments below N.
    pub snapshots: Vec<u64>,
    /// The segments of the log.
    pub segments: Vec<u64>,
}

impl StoreFiles {
    /// Lists the files of the store in this directory. Files with other names are ignored.
    pub fn list(directory: &dyn Directory) -> Result<StoreFiles, StoreError> {
        let mut files = StoreFiles::default();
        for name in directory.names().map_err(io_error(directory, ""))? {
            let number = |prefix: &str| name.strip_prefix(prefix).and_then(|rest| rest.parse::<u64>().ok());
            files.snapshots.extend(number(SNAPSHOT_PREFIX).filter(|number| snapshot_name(*number) == name));
            files.segments.extend(number(SEGMENT_PREFIX).filter(|number| segment_name(*number) == name));
        }
        files.snapshots.sort_unstable();
        files.segments.sort_unstable();
        Ok(files)
    }

    /// Returns the number of the first segment that no snapshot replaces.
    pub fn first_live_segment(&self) -> u64 {
        self.snapshots.last().copied().unwrap_or(FIRST_SEGMENT)
    }

    /// Returns the segments that no snapshot replaces, or `None` if one of them is missing.
    pub fn live_segments(&self) -> Option<Vec<u64>> {
        let first = self.first_live_segment();
        let live: Vec<u64> = self.segments.iter().copied().filter(|number| *number >= first).collect();
        let is_contiguous = live.iter().copied().eq(first..first + live.len() as u64);
        let is_missing = live.is_empty() && !(self.snapshots.is_empty() && self.segments.is_empty());
        (is_contiguous && !is_missing).then_some(live)
    }
}
