//! Writes the log and its snapshots.
//!
//! A record is valid if its checksum matches. A torn tail is cut off when the store is opened. Corruption before data
//! that was synced is an error with file and offset, because an acceptor must not forget its promises.

use std::io;
use std::marker::PhantomData;
use std::path::Path;

use super::directory::{DataFile, Directory, FileSystemDirectory};
use super::error::{io_error, StoreError};
use super::files::{segment_name, snapshot_name, StoreFiles, TEMPORARY_SNAPSHOT};
use super::record::{encode, StoredRecord};
use super::recovery::{clear_later_segments, prepare_segments, read_log, read_snapshot, repair_tail};
use crate::acceptor::LogRecord;

/// The segment length above which a snapshot is made and a new segment is started, in bytes.
const SEGMENT_BYTES: u64 = 2 * 1024 * 1024;
/// A failed snapshot is retried once the log has grown by the segment length divided by this.
const SNAPSHOT_RETRY_DIVISOR: u64 = 8;
/// The maximum length of the log, in segment lengths. A longer log rejects records until a snapshot has been made, so
/// that it cannot fill the disk.
const MAX_SEGMENTS: u64 = 4;
/// The size from which buffered records are written to the file, in bytes.
const WRITE_BUFFER_BYTES: usize = 1024 * 1024;

/// A log of records and its snapshots in one directory, by default the acceptor's.
///
/// Invariants: the first `synced` bytes of the active segment are on disk; every segment before it is on disk
/// completely; snapshot N replaces all segments below N.
pub struct Store<R = LogRecord> {
    records: PhantomData<fn(R)>,
    directory: Box<dyn Directory>,
    segment: Box<dyn DataFile>,
    number: u64,
    synced: u64,
    /// The length of the segments before the active one that no snapshot replaces yet, in bytes.
    earlier_bytes: u64,
    /// The number of the newest snapshot that is on disk.
    snapshot_number: u64,
    /// Whether a write or sync failed: the content after `synced` is undefined and must be cut off.
    is_tail_unknown: bool,
    segment_bytes: u64,
    /// The length of the active segment above which a snapshot is due, in bytes.
    snapshot_threshold: u64,
}

impl<R: StoredRecord> Store<R> {
    /// Opens the store in a directory, which is created if it is missing, and passes all of its records to `apply`,
    /// oldest first. All of them are on disk when this returns.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`] if the file system fails; [`StoreError::Corrupted`] if data that was synced cannot be read.
    pub fn open(path: &Path, apply: &mut dyn FnMut(R)) -> Result<Store<R>, StoreError> {
        let directory =
            FileSystemDirectory::open(path).map_err(|source| StoreError::Io { path: path.into(), source })?;
        Store::open_directory(Box::new(directory), SEGMENT_BYTES, apply)
    }

    pub(crate) fn open_directory(
        directory: Box<dyn Directory>,
        segment_bytes: u64,
        apply: &mut dyn FnMut(R),
    ) -> Result<Store<R>, StoreError> {
        let files = StoreFiles::list(&*directory)?;
        let live = prepare_segments(&*directory, &files)?;
        read_snapshot(&*directory, &files, apply)?;
        let log = read_log(&*directory, &live, apply)?;
        let name = segment_name(log.active_segment);
        let segment = directory.open(&name).map_err(io_error(&*directory, &name))?;
        repair_tail(&*segment, &log.end).map_err(io_error(&*directory, &name))?;
        clear_later_segments(&*directory, &live, log.active_segment)?;
        directory.sync().map_err(io_error(&*directory, ""))?;
        let store = Store {
            records: PhantomData,
            directory,
            segment,
            number: log.active_segment,
            synced: log.end.valid_bytes,
            earlier_bytes: log.earlier_bytes,
            snapshot_number: files.first_live_segment(),
            is_tail_unknown: false,
            segment_bytes,
            snapshot_threshold: segment_bytes,
        };
        store.remove_replaced_files();
        Ok(store)
    }

    /// Appends records and syncs them.
    ///
    /// # Errors
    ///
    /// After an error none of the records counts as stored, and no response that depends on them may be sent.
    /// [`StoreError::SnapshotOverdue`] if the log has reached its maximum length, else [`StoreError::Io`].
    pub fn append(&mut self, records: &[R]) -> Result<(), StoreError> {
        if self.is_snapshot_overdue() {
            return Err(StoreError::SnapshotOverdue);
        }
        self.truncate_unknown_tail()?;
        self.is_tail_unknown = true;
        let end = write_records(&*self.segment, self.synced, self.synced, records)
            .and_then(|end| self.segment.sync().map(|()| end))
            .map_err(self.io_error(&segment_name(self.number)))?;
        self.is_tail_unknown = false;
        self.synced = end;
        Ok(())
    }

    /// Returns whether the log has grown enough to make a snapshot.
    pub fn is_snapshot_due(&self) -> bool {
        self.synced > self.snapshot_threshold || self.is_snapshot_overdue()
    }

    fn is_snapshot_overdue(&self) -> bool {
        self.earlier_bytes + self.synced > MAX_SEGMENTS * self.segment_bytes
    }

    /// Starts a new segment and writes these records, which must restore the state before it, as a snapshot. The files
    /// that the snapshot replaces are removed last.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`]. The log remains usable, in the old segment or the new one, and nothing is lost.
    pub fn snapshot(&mut self, records: &[R]) -> Result<(), StoreError> {
        self.remove_replaced_files();
        let written = self.begin_segment().and_then(|()| self.write_snapshot(records));
        if written.is_err() {
            self.snapshot_threshold = self.synced + self.segment_bytes / SNAPSHOT_RETRY_DIVISOR;
            let _ = self.directory.remove(TEMPORARY_SNAPSHOT);
            return written;
        }
        self.snapshot_threshold = self.segment_bytes;
        self.snapshot_number = self.number;
        self.earlier_bytes = 0;
        self.remove_replaced_files();
        Ok(())
    }

    /// Starts a new segment, unless the active one is empty.
    fn begin_segment(&mut self) -> Result<(), StoreError> {
        self.truncate_unknown_tail()?;
        if self.synced == 0 {
            return Ok(());
        }
        let next = self.number + 1;
        let name = segment_name(next);
        let segment = self.directory.create(&name).map_err(self.io_error(&name))?;
        segment.sync().map_err(self.io_error(&name))?;
        self.directory.sync().map_err(self.io_error(""))?;
        self.earlier_bytes += self.synced;
        self.segment = segment;
        self.number = next;
        self.synced = 0;
        Ok(())
    }

    /// Writes a snapshot, which receives its name only once its content is on disk.
    fn write_snapshot(&self, records: &[R]) -> Result<(), StoreError> {
        let temporary = self.directory.create(TEMPORARY_SNAPSHOT).map_err(self.io_error(TEMPORARY_SNAPSHOT))?;
        write_records(&*temporary, 0, 0, records).map_err(self.io_error(TEMPORARY_SNAPSHOT))?;
        temporary.sync().map_err(self.io_error(TEMPORARY_SNAPSHOT))?;
        let name = snapshot_name(self.number);
        self.directory.rename(TEMPORARY_SNAPSHOT, &name).map_err(self.io_error(&name))?;
        self.directory.sync().map_err(self.io_error(""))
    }

    /// Cuts off what a failed write or sync left after the synced part: it must never be read.
    fn truncate_unknown_tail(&mut self) -> Result<(), StoreError> {
        if !self.is_tail_unknown {
            return Ok(());
        }
        let truncated = self.segment.truncate(self.synced).and_then(|()| self.segment.sync());
        truncated.map_err(self.io_error(&segment_name(self.number)))?;
        self.is_tail_unknown = false;
        Ok(())
    }

    /// Removes the files that a snapshot on disk replaces. Files that cannot be removed now are removed at a later
    /// call.
    fn remove_replaced_files(&self) {
        let first = self.snapshot_number;
        let Ok(files) = StoreFiles::list(&*self.directory) else { return };
        let _ = self.directory.remove(TEMPORARY_SNAPSHOT);
        let segments = files.segments.into_iter().filter(|number| *number < first).map(segment_name);
        let snapshots = files.snapshots.into_iter().filter(|number| *number < first).map(snapshot_name);
        for name in segments.chain(snapshots) {
            let _ = self.directory.remove(&name);
        }
    }

    fn io_error(&self, name: &str) -> impl FnOnce(io::Error) -> StoreError {
        io_error(&*self.directory, name)
    }
}

/// Writes records consecutively, starting at `offset`. Returns the offset of their end.
fn write_records<R: StoredRecord>(
    file: &dyn DataFile,
    mut offset: u64,
    synced_before: u64,
    records: &[R],
) -> io::Result<u64> {
    let mut buffer = Vec::new();
    for record in records {
        encode(record, synced_before, &mut buffer);
        if buffer.len() >= WRITE_BUFFER_BYTES {
            file.write_at(offset, &buffer)?;
            offset += buffer.len() as u64;
            buffer.clear();
        }
    }
    file.write_at(offset, &buffer)?;
    Ok(offset + buffer.len() as u64)
}

#[cfg(test)]
#[path = "../testing/unit/store_tests.rs"]
mod tests;
