//! The disk of an acceptor: a log in numbered segments with a snapshot beside it (docs/storage.md).
//!
//! A record counts once its check sum fits. A torn end is cut off when the store is opened; damage in
//! front of something that was synced is told with file and offset.

use std::path::Path;

use super::directory::{DataFile, Directory, FileSystemDirectory};
use super::error::io_error;
use super::files::{segment_name, snapshot_name, StoreFiles, TEMPORARY_SNAPSHOT};
use super::record::{encode, LogRecord};
use super::recovery::{active_segment, clear_later_segments, read_file, repair_tail, FileEnd};

use super::error::StoreError;

/// A segment longer than this is followed by a snapshot and a new segment.
const SEGMENT_BYTES: u64 = 2 * 1024 * 1024;
/// After a snapshot failed, the next is tried when the log has grown by this part of a segment.
const SNAPSHOT_RETRY_FRACTION: u64 = 8;
/// A log of this many segments takes no more records before a snapshot was made: the disk keeps room.
const MAX_SEGMENTS: u64 = 4;
/// Records are gathered up to this size before they are written.
const WRITE_BYTES: usize = 1024 * 1024;

/// Invariants: the first `synced` bytes of the active segment are on disk; every segment before it is on
/// disk as a whole; the snapshot numbered N holds everything of the segments below N.
pub struct Store {
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
    snapshot_from: u64,
}

impl Store {
    /// Opens a directory; hands all records found there to `apply`, oldest first. When it returns, all of
    /// them are on disk.
    pub fn open(path: &Path, apply: &mut dyn FnMut(LogRecord)) -> Result<Store, StoreError> {
        let directory =
            FileSystemDirectory::open(path).map_err(|source| StoreError::Io { path: path.into(), source })?;
        Store::open_directory(Box::new(directory), SEGMENT_BYTES, apply)
    }

    pub(crate) fn open_directory(
        directory: Box<dyn Directory>,
        segment_bytes: u64,
        apply: &mut dyn FnMut(LogRecord),
    ) -> Result<Store, StoreError> {
        let files = StoreFiles::read(&*directory)?;
        let Some(mut live) = files.live() else {
            let path = directory.path(&segment_name(files.first()));
            return Err(StoreError::Corrupted { path, offset: 0, reason: "a segment of the log is missing" });
        };
        if live.is_empty() {
            let name = segment_name(1);
            directory.create(&name).and_then(|file| file.sync()).map_err(io_error(&*directory, &name))?;
            live.push(1);
        }
        if let Some(number) = files.snapshots.last() {
            read_file(&*directory, &snapshot_name(*number), false, apply)?;
        }
        let number = active_segment(&*directory, &live)?;
        let mut end = FileEnd { valid_bytes: 0, synced: 0 };
        let mut earlier_bytes = 0;
        for segment in live.iter().copied().filter(|segment| *segment <= number) {
            earlier_bytes += end.valid_bytes;
            end = read_file(&*directory, &segment_name(segment), segment == number, apply)?;
        }
        let name = segment_name(number);
        let segment = directory.open(&name).map_err(io_error(&*directory, &name))?;
        repair_tail(&*segment, &end).map_err(io_error(&*directory, &name))?;
        clear_later_segments(&*directory, &live, number)?;
        directory.sync().map_err(io_error(&*directory, ""))?;
        let store = Store {
            directory,
            segment,
            number,
            synced: end.valid_bytes,
            earlier_bytes,
            snapshot_number: files.first(),
            is_tail_unknown: false,
            segment_bytes,
            snapshot_from: segment_bytes,
        };
        store.remove_older();
        Ok(store)
    }

    /// Writes and syncs; on an error nothing of it may be answered for.
    pub fn append(&mut self, records: &[LogRecord]) -> Result<(), StoreError> {
        if self.is_snapshot_overdue() {
            return Err(StoreError::SnapshotOverdue);
        }
        self.truncate_unknown_tail()?;
        self.is_tail_unknown = true;
        let end = write_records(&*self.segment, self.synced, self.synced, records)
            .and_then(|end| self.segment.sync().map(|()| end))
            .map_err(io_error(&*self.directory, &segment_name(self.number)))?;
        self.is_tail_unknown = false;
        self.synced = end;
        Ok(())
    }

    /// Is a snapshot due?
    pub fn is_snapshot_due(&self) -> bool {
        self.synced > self.snapshot_from || self.is_snapshot_overdue()
    }

    fn is_snapshot_overdue(&self) -> bool {
        self.earlier_bytes + self.synced > MAX_SEGMENTS * self.segment_bytes
    }

    /// A new segment, then a snapshot of everything before it; the old files go last. After an error
    /// the log goes on, in the old segment or the new one, and nothing is lost.
    pub fn snapshot(&mut self, whole: &[LogRecord]) -> Result<(), StoreError> {
        self.remove_older();
        let made = self.begin_segment().and_then(|()| self.write_snapshot(whole));
        if made.is_err() {
            self.snapshot_from = self.synced + self.segment_bytes / SNAPSHOT_RETRY_FRACTION;
            let _ = self.directory.remove(TEMPORARY_SNAPSHOT);
            return made;
        }
        self.snapshot_from = self.segment_bytes;
        (self.snapshot_number, self.earlier_bytes) = (self.number, 0);
        self.remove_older();
        Ok(())
    }

    /// Nothing to do while the active one is empty.
    fn begin_segment(&mut self) -> Result<(), StoreError> {
        self.truncate_unknown_tail()?;
        if self.synced == 0 {
            return Ok(());
        }
        let next = self.number + 1;
        let name = segment_name(next);
        let segment = self.directory.create(&name).map_err(io_error(&*self.directory, &name))?;
        segment.sync().map_err(io_error(&*self.directory, &name))?;
        self.directory.sync().map_err(io_error(&*self.directory, ""))?;
        self.earlier_bytes += self.synced;
        (self.segment, self.number, self.synced) = (segment, next, 0);
        Ok(())
    }

    /// The snapshot appears under its name only once its content is on disk.
    fn write_snapshot(&self, whole: &[LogRecord]) -> Result<(), StoreError> {
        let temporary =
            self.directory.create(TEMPORARY_SNAPSHOT).map_err(io_error(&*self.directory, TEMPORARY_SNAPSHOT))?;
        write_records(&*temporary, 0, 0, whole).map_err(io_error(&*self.directory, TEMPORARY_SNAPSHOT))?;
        temporary.sync().map_err(io_error(&*self.directory, TEMPORARY_SNAPSHOT))?;
        let name = snapshot_name(self.number);
        self.directory.rename(TEMPORARY_SNAPSHOT, &name).map_err(io_error(&*self.directory, &name))?;
        self.directory.sync().map_err(io_error(&*self.directory, ""))
    }

    /// After a failed write or sync: what stands behind the synced part must never be read again.
    fn truncate_unknown_tail(&mut self) -> Result<(), StoreError> {
        if !self.is_tail_unknown {
            return Ok(());
        }
        let cut = self.segment.truncate(self.synced).and_then(|()| self.segment.sync());
        cut.map_err(io_error(&*self.directory, &segment_name(self.number)))?;
        self.is_tail_unknown = false;
        Ok(())
    }

    /// Removes what a snapshot that is on disk replaces. What stays is removed another time.
    fn remove_older(&self) {
        let first = self.snapshot_number;
        let Ok(files) = StoreFiles::read(&*self.directory) else { return };
        let _ = self.directory.remove(TEMPORARY_SNAPSHOT);
        let segments = files.segments.into_iter().filter(|number| *number < first).map(segment_name);
        let snapshots = files.snapshots.into_iter().filter(|number| *number < first).map(snapshot_name);
        for name in segments.chain(snapshots) {
            let _ = self.directory.remove(&name);
        }
    }
}

/// Writes records one after the other from `offset` on; gives where they end.
fn write_records(
    file: &dyn DataFile,
    mut offset: u64,
    synced_before: u64,
    records: &[LogRecord],
) -> std::io::Result<u64> {
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
