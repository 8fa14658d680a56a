//! Writes the log and its snapshots.
//!
//! A record counts once its checksum fits. A torn end is cut off when the store is opened; corruption in front of
//! something that was synced is an error with file and offset, because an acceptor must not forget what it promised.

use std::io;
use std::marker::PhantomData;
use std::path::Path;

use super::directory::{DataFile, Directory, FileSystemDirectory};
use super::error::{io_error, StoreError};
use super::files::{segment_name, snapshot_name, StoreFiles, TEMPORARY_SNAPSHOT};
use super::record::{encode, StoredRecord};
use super::recovery::{clear_later_segments, prepare_segments, read_log, read_snapshot, repair_tail};
use crate::acceptor::LogRecord;

/// A segment longer than this is followed by a snapshot and a new segment.
const SEGMENT_BYTES: u64 = 2 * 1024 * 1024;
/// After a snapshot failed, the next is tried when the log has grown by a segment's length divided by this.
const SNAPSHOT_RETRY_FRACTION: u64 = 8;
/// A log as long as this many segments takes no more records before a snapshot was made, so that it cannot fill the
/// disk.
const MAX_SEGMENTS: u64 = 4;
/// Records are gathered up to this size before they are written.
const WRITE_BYTES: usize = 1024 * 1024;

/// A log of records and its snapshots, in one directory; the acceptor's unless stated.
///
/// Invariants: the first `synced` bytes of the active segment are on disk; every segment before it is on disk as a
/// whole; the snapshot numbered N holds everything of the segments below N.
pub struct Store<R = LogRecord> {
    records: PhantomData<fn(R)>,
    directory: Box<dyn Directory>,
    segment: Box<dyn DataFile>,
    number: u64,
    synced: u64,
    /// Bytes of the segments before the active one that no snapshot replaces yet.
    earlier_bytes: u64,
    /// The number of the newest snapshot that is on disk.
    snapshot_number: u64,
    /// A write or sync failed: what stands behind `synced` counts for nothing and must be cut off.
    is_tail_unknown: bool,
    segment_bytes: u64,
    /// A snapshot is due once the active segment is longer than this.
    snapshot_from: u64,
}

impl<R: StoredRecord> Store<R> {
    /// Opens a directory, creating it where it is missing, and passes all records found there to `apply`, oldest
    /// first. All of them are on disk when this returns.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`] where the file system refuses; [`StoreError::Corrupted`] where something that was synced
    /// cannot be read.
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
            snapshot_number: files.first_live(),
            is_tail_unknown: false,
            segment_bytes,
            snapshot_from: segment_bytes,
        };
        store.remove_replaced_files();
        Ok(store)
    }

    /// Appends records and syncs them.
    ///
    /// # Errors
    ///
    /// None of the records counts after an error, and no response that rests on them may be sent.
    /// [`StoreError::SnapshotOverdue`] where the log has reached its maximum length, else [`StoreError::Io`].
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

    /// Returns whether the log is long enough for a snapshot.
    pub fn is_snapshot_due(&self) -> bool {
        self.synced > self.snapshot_from || self.is_snapshot_overdue()
    }

    fn is_snapshot_overdue(&self) -> bool {
        self.earlier_bytes + self.synced > MAX_SEGMENTS * self.segment_bytes
    }

    /// Starts a new segment and writes these records, which must restore everything before it, as a snapshot. The
    /// files that it replaces are removed last.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`]. The log goes on, in the old segment or the new one, and nothing is lost.
    pub fn snapshot(&mut self, records: &[R]) -> Result<(), StoreError> {
        self.remove_replaced_files();
        let written = self.begin_segment().and_then(|()| self.write_snapshot(records));
        if written.is_err() {
            self.snapshot_from = self.synced + self.segment_bytes / SNAPSHOT_RETRY_FRACTION;
            let _ = self.directory.remove(TEMPORARY_SNAPSHOT);
            return written;
        }
        self.snapshot_from = self.segment_bytes;
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

    /// Writes a snapshot, which appears under its name only once its content is on disk.
    fn write_snapshot(&self, records: &[R]) -> Result<(), StoreError> {
        let temporary = self.directory.create(TEMPORARY_SNAPSHOT).map_err(self.io_error(TEMPORARY_SNAPSHOT))?;
        write_records(&*temporary, 0, 0, records).map_err(self.io_error(TEMPORARY_SNAPSHOT))?;
        temporary.sync().map_err(self.io_error(TEMPORARY_SNAPSHOT))?;
        let name = snapshot_name(self.number);
        self.directory.rename(TEMPORARY_SNAPSHOT, &name).map_err(self.io_error(&name))?;
        self.directory.sync().map_err(self.io_error(""))
    }

    /// Cuts off what a failed write or sync left behind the synced part: it must never be read again.
    fn truncate_unknown_tail(&mut self) -> Result<(), StoreError> {
        if !self.is_tail_unknown {
            return Ok(());
        }
        let truncated = self.segment.truncate(self.synced).and_then(|()| self.segment.sync());
        truncated.map_err(self.io_error(&segment_name(self.number)))?;
        self.is_tail_unknown = false;
        Ok(())
    }

    /// Removes the files that a snapshot on disk replaces. What cannot be removed now is removed another time.
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

/// Writes records one after the other from `offset` on. Returns the offset where they end.
fn write_records<R: StoredRecord>(
    file: &dyn DataFile,
    mut offset: u64,
    synced_before: u64,
    records: &[R],
) -> io::Result<u64> {
    let mut block = Vec::new();
    for record in records {
        encode(record, synced_before, &mut block);
        if block.len() >= WRITE_BYTES {
            file.write_at(offset, &block)?;
            offset += block.len() as u64;
            block.clear();
        }
    }
    file.write_at(offset, &block)?;
    Ok(offset + block.len() as u64)
}

#[cfg(test)]
#[path = "../testing/unit/store_tests.rs"]
mod tests;
