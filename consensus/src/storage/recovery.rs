//! Recovery when a store is opened: reads the files, detects a torn tail and repairs it.

use std::io;

use super::directory::{DataFile, Directory};
use super::error::{io_error, StoreError};
use super::files::{segment_name, snapshot_name, StoreFiles, FIRST_SEGMENT};
use super::record::StoredRecord;
use super::segment::SegmentReader;

/// Where the valid and the synced part of a file end.
#[derive(Default)]
pub struct FileEnd {
    /// The length of the part that consists of complete records, in bytes.
    pub valid_bytes: u64,
    /// The length of the part that had been synced when the last record was written, in bytes.
    pub synced_bytes: u64,
}

/// The state of the log as read from disk.
pub struct RecoveredLog {
    /// The number of the segment to which records are appended.
    pub active_segment: u64,
    /// Where the active segment ends.
    pub end: FileEnd,
    /// The length of the segments before the active one, in bytes.
    pub earlier_bytes: u64,
}

/// Returns the numbers of the live segments. Creates the first segment of an empty store.
pub fn prepare_segments(directory: &dyn Directory, files: &StoreFiles) -> Result<Vec<u64>, StoreError> {
    let Some(mut live) = files.live_segments() else {
        let path = directory.path(&segment_name(files.first_live_segment()));
        return Err(StoreError::Corrupted { path, offset: 0, reason: "a segment of the log is missing" });
    };
    if live.is_empty() {
        let name = segment_name(FIRST_SEGMENT);
        let created = directory.create(&name).and_then(|file| file.sync());
        created.map_err(io_error(directory, &name))?;
        live.push(FIRST_SEGMENT);
    }
    Ok(live)
}

/// Passes the records of the newest snapshot to `apply`.
pub fn read_snapshot<R: StoredRecord>(
    directory: &dyn Directory,
    files: &StoreFiles,
    apply: &mut dyn FnMut(R),
) -> Result<(), StoreError> {
    if let Some(number) = files.snapshots.last() {
        read_file(directory, &snapshot_name(*number), false, apply)?;
    }
    Ok(())
}

/// Passes the records of the live segments to `apply`, up to the active one.
pub fn read_log<R: StoredRecord>(
    directory: &dyn Directory,
    live: &[u64],
    apply: &mut dyn FnMut(R),
) -> Result<RecoveredLog, StoreError> {
    let active_segment = active_segment(directory, live)?;
    let mut end = FileEnd::default();
    let mut earlier_bytes = 0;
    for number in live.iter().copied().filter(|number| *number <= active_segment) {
        earlier_bytes += end.valid_bytes;
        end = read_file(directory, &segment_name(number), number == active_segment, apply)?;
    }
    Ok(RecoveredLog { active_segment, end, earlier_bytes })
}

/// Passes the records of one file to `apply`. `may_be_torn` states that its end may have been written but not synced.
fn read_file<R: StoredRecord>(
    directory: &dyn Directory,
    name: &str,
    may_be_torn: bool,
    apply: &mut dyn FnMut(R),
) -> Result<FileEnd, StoreError> {
    let file = directory.open(name).map_err(io_error(directory, name))?;
    let mut reader = SegmentReader::<R>::new(&*file).map_err(io_error(directory, name))?;
    let mut synced_bytes = 0;
    while let Some(stored) = reader.next().map_err(io_error(directory, name))? {
        synced_bytes = stored.synced_before;
        apply(stored.record);
    }
    let end = FileEnd { valid_bytes: reader.offset(), synced_bytes };
    if reader.is_at_end() {
        return Ok(end);
    }
    let corrupted = |reason| Err(StoreError::Corrupted { path: directory.path(name), offset: end.valid_bytes, reason });
    if !may_be_torn {
        return corrupted("incomplete record in a file that was synced completely");
    }
    if reader.is_synced_later().map_err(io_error(directory, name))? {
        return corrupted("incomplete record, although a later record states that it was synced");
    }
    if reader.is_foreign().map_err(io_error(directory, name))? {
        return corrupted("not a file of a store");
    }
    Ok(end)
}

/// Returns the last segment that is not empty, or the first if all are empty. Only its end can be torn, since a segment
/// is written only once the one before it is on disk.
fn active_segment(directory: &dyn Directory, live: &[u64]) -> Result<u64, StoreError> {
    for number in live.iter().rev() {
        let name = segment_name(*number);
        let size = directory.open(&name).and_then(|file| file.size()).map_err(io_error(directory, &name))?;
        if size > 0 {
            return Ok(*number);
        }
    }
    Ok(live[0])
}

/// Cuts off a torn tail and rewrites the records that may be in the page cache only: after a sync that failed in an
/// earlier process, the kernel returns pages as if they were on disk.
pub fn repair_tail(segment: &dyn DataFile, end: &FileEnd) -> io::Result<()> {
    segment.truncate(end.valid_bytes)?;
    let from = end.synced_bytes.min(end.valid_bytes);
    let mut tail = vec![0; (end.valid_bytes - from) as usize];
    segment.read_at(from, &mut tail)?;
    segment.write_at(from, &tail)?;
    segment.sync()
}

/// Truncates the segments after the active one and syncs them. They read as empty, but the truncation that removed the
/// rest of a failed write may never have been synced, and they must still be empty after the next power loss.
pub fn clear_later_segments(directory: &dyn Directory, live: &[u64], active: u64) -> Result<(), StoreError> {
    for number in live.iter().filter(|number| **number > active) {
        let name = segment_name(*number);
        let emptied = directory.open(&name).and_then(|file| file.truncate(0).and_then(|()| file.sync()));
        emptied.map_err(io_error(directory, &name))?;
    }
    Ok(())
}
