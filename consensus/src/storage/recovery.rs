//! What is done when a store is opened: reading files, finding the torn end, making it last.

use super::directory::{DataFile, Directory};
use super::error::{io_error, StoreError};
use super::files::segment_name;
use super::record::LogRecord;
use super::segment::SegmentReader;

/// How the records of one file ended.
pub struct FileEnd {
    /// The length that holds whole records.
    pub valid_bytes: u64,
    /// Up to here a record tells that the file was synced.
    pub synced: u64,
}

/// Reads the records of one file. `may_be_torn`: its end may have been written and not synced.
pub fn read_file(
    directory: &dyn Directory,
    name: &str,
    may_be_torn: bool,
    apply: &mut dyn FnMut(LogRecord),
) -> Result<FileEnd, StoreError> {
    let file = directory.open(name).map_err(io_error(directory, name))?;
    let mut reader = SegmentReader::new(&*file).map_err(io_error(directory, name))?;
    let mut synced = 0;
    while let Some(stored) = reader.next().map_err(io_error(directory, name))? {
        synced = stored.synced_before;
        apply(stored.record);
    }
    let end = FileEnd { valid_bytes: reader.offset(), synced };
    if reader.at_end() {
        return Ok(end);
    }
    let corrupted = |reason| Err(StoreError::Corrupted { path: directory.path(name), offset: end.valid_bytes, reason });
    if !may_be_torn {
        return corrupted("not a whole record, in a file that was synced whole");
    }
    if reader.is_synced_later().map_err(io_error(directory, name))? {
        return corrupted("not a whole record, yet a later one says it was synced");
    }
    if reader.is_foreign().map_err(io_error(directory, name))? {
        return corrupted("not a file of a store");
    }
    Ok(end)
}

/// The last segment with bytes in it, or the first: only its end can be torn, since a segment is
/// written only once the one before it is on disk.
pub fn active_segment(directory: &dyn Directory, live: &[u64]) -> Result<u64, StoreError> {
    for number in live.iter().rev() {
        let name = segment_name(*number);
        let size = directory.open(&name).and_then(|file| file.size()).map_err(io_error(directory, &name))?;
        if size > 0 {
            return Ok(*number);
        }
    }
    Ok(live[0])
}

/// Cuts off a torn end, and writes again what may stand in memory only: after a sync that failed in an
/// earlier incarnation of the process, the kernel gives pages back as if they were on disk.
pub fn repair_tail(segment: &dyn DataFile, end: &FileEnd) -> std::io::Result<()> {
    segment.truncate(end.valid_bytes)?;
    let from = end.synced.min(end.valid_bytes);
    let mut tail = vec![0; (end.valid_bytes - from) as usize];
    segment.read_at(from, &mut tail)?;
    segment.write_at(from, &tail)?;
    segment.sync()
}

/// The segments behind the active one read as empty, but cutting off what a failed write left there may
/// never have been synced: they must stay empty after the next power loss.
pub fn clear_later_segments(directory: &dyn Directory, live: &[u64], active: u64) -> Result<(), StoreError> {
    for number in live.iter().filter(|number| **number > active) {
        let name = segment_name(*number);
        let emptied = directory.open(&name).and_then(|file| file.truncate(0).and_then(|()| file.sync()));
        emptied.map_err(io_error(directory, &name))?;
    }
    Ok(())
}
