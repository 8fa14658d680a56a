//! The disk of a voter: a log in numbered segments with a snapshot beside it (docs/storage.md).
//!
//! A record counts once its check sum fits. A torn end is cut off when the store is opened; damage in
//! front of something that was synced is told with file and offset.

use std::path::Path;

use super::directory::{DataFile, DiskFolder, Folder};
use super::error::io_error;
use super::files::{segment_name, snapshot_name, Listing, DRAFT};
use super::record::{encode, LogRecord};
use super::recovery::{active_segment, read_file, settle_empty, settle_tail, FileEnd};

use super::error::StoreError;

/// A segment longer than this is followed by a snapshot and a new segment.
const SEGMENT_BYTES: u64 = 2 * 1024 * 1024;
/// After a snapshot failed, the next is tried when the log has grown by this part of a segment.
const SNAPSHOT_RETRY_PART: u64 = 8;
/// A log of this many segments takes no more records before a snapshot was made: the disk keeps room.
const MOST_SEGMENTS: u64 = 4;
/// Records are gathered up to this size before they are written.
const WRITE_BYTES: usize = 1024 * 1024;

/// Invariants: the first `synced` bytes of the active segment are on disk; every segment before it is on
/// disk as a whole; the snapshot numbered N holds everything of the segments below N.
pub struct Store {
    folder: Box<dyn Folder>,
    segment: Box<dyn DataFile>,
    number: u64,
    synced: u64,
    /// Bytes of the segments before the active one that no snapshot replaces yet.
    earlier_bytes: u64,
    /// The number of the newest snapshot that is on disk.
    snapshot_number: u64,
    /// A write or sync failed: what stands behind `synced` counts for nothing and must be cut off.
    tail_unknown: bool,
    segment_bytes: u64,
    snapshot_from: u64,
}

impl Store {
    /// Opens a folder; hands all records found there to `apply`, oldest first. When it returns, all of
    /// them are on disk.
    pub fn open(path: &Path, apply: &mut dyn FnMut(LogRecord)) -> Result<Store, StoreError> {
        let folder = DiskFolder::open(path).map_err(|source| StoreError::Io { path: path.into(), source })?;
        Store::open_folder(Box::new(folder), SEGMENT_BYTES, apply)
    }

    pub(crate) fn open_folder(
        folder: Box<dyn Folder>,
        segment_bytes: u64,
        apply: &mut dyn FnMut(LogRecord),
    ) -> Result<Store, StoreError> {
        let listing = Listing::read(&*folder)?;
        let Some(mut live) = listing.live() else {
            let path = folder.path(&segment_name(listing.first()));
            return Err(StoreError::Corrupted { path, offset: 0, reason: "a segment of the log is missing" });
        };
        if live.is_empty() {
            let name = segment_name(1);
            folder.create(&name).and_then(|file| file.sync()).map_err(io_error(&*folder, &name))?;
            live.push(1);
        }
        if let Some(number) = listing.snapshots.last() {
            read_file(&*folder, &snapshot_name(*number), false, apply)?;
        }
        let number = active_segment(&*folder, &live)?;
        let mut end = FileEnd { valid_bytes: 0, synced: 0 };
        let mut earlier_bytes = 0;
        for segment in live.iter().copied().filter(|segment| *segment <= number) {
            earlier_bytes += end.valid_bytes;
            end = read_file(&*folder, &segment_name(segment), segment == number, apply)?;
        }
        let name = segment_name(number);
        let segment = folder.open(&name).map_err(io_error(&*folder, &name))?;
        settle_tail(&*segment, &end).map_err(io_error(&*folder, &name))?;
        settle_empty(&*folder, &live, number)?;
        folder.sync().map_err(io_error(&*folder, ""))?;
        let store = Store {
            folder,
            segment,
            number,
            synced: end.valid_bytes,
            earlier_bytes,
            snapshot_number: listing.first(),
            tail_unknown: false,
            segment_bytes,
            snapshot_from: segment_bytes,
        };
        store.remove_older();
        Ok(store)
    }

    /// Writes and syncs; on an error nothing of it may be answered for.
    pub fn append(&mut self, records: &[LogRecord]) -> Result<(), StoreError> {
        if self.overdue() {
            return Err(StoreError::SnapshotOverdue);
        }
        self.cut_unknown_tail()?;
        self.tail_unknown = true;
        let end = write_records(&*self.segment, self.synced, self.synced, records)
            .and_then(|end| self.segment.sync().map(|()| end))
            .map_err(io_error(&*self.folder, &segment_name(self.number)))?;
        self.tail_unknown = false;
        self.synced = end;
        Ok(())
    }

    /// Is a snapshot due?
    pub fn is_snapshot_due(&self) -> bool {
        self.synced > self.snapshot_from || self.overdue()
    }

    fn overdue(&self) -> bool {
        self.earlier_bytes + self.synced > MOST_SEGMENTS * self.segment_bytes
    }

    /// A new segment, then a snapshot of everything before it; the old files go last. After an error
    /// the log goes on, in the old segment or the new one, and nothing is lost.
    pub fn snapshot(&mut self, whole: &[LogRecord]) -> Result<(), StoreError> {
        self.remove_older();
        let made = self.begin_segment().and_then(|()| self.write_snapshot(whole));
        if made.is_err() {
            self.snapshot_from = self.synced + self.segment_bytes / SNAPSHOT_RETRY_PART;
            let _ = self.folder.remove(DRAFT);
            return made;
        }
        self.snapshot_from = self.segment_bytes;
        (self.snapshot_number, self.earlier_bytes) = (self.number, 0);
        self.remove_older();
        Ok(())
    }

    /// Nothing to do while the active one is empty.
    fn begin_segment(&mut self) -> Result<(), StoreError> {
        self.cut_unknown_tail()?;
        if self.synced == 0 {
            return Ok(());
        }
        let next = self.number + 1;
        let name = segment_name(next);
        let segment = self.folder.create(&name).map_err(io_error(&*self.folder, &name))?;
        segment.sync().map_err(io_error(&*self.folder, &name))?;
        self.folder.sync().map_err(io_error(&*self.folder, ""))?;
        self.earlier_bytes += self.synced;
        (self.segment, self.number, self.synced) = (segment, next, 0);
        Ok(())
    }

    /// The snapshot appears under its name only once its content is on disk.
    fn write_snapshot(&self, whole: &[LogRecord]) -> Result<(), StoreError> {
        let draft = self.folder.create(DRAFT).map_err(io_error(&*self.folder, DRAFT))?;
        write_records(&*draft, 0, 0, whole).map_err(io_error(&*self.folder, DRAFT))?;
        draft.sync().map_err(io_error(&*self.folder, DRAFT))?;
        let name = snapshot_name(self.number);
        self.folder.rename(DRAFT, &name).map_err(io_error(&*self.folder, &name))?;
        self.folder.sync().map_err(io_error(&*self.folder, ""))
    }

    /// After a failed write or sync: what stands behind the synced part must never be read again.
    fn cut_unknown_tail(&mut self) -> Result<(), StoreError> {
        if !self.tail_unknown {
            return Ok(());
        }
        let cut = self.segment.truncate(self.synced).and_then(|()| self.segment.sync());
        cut.map_err(io_error(&*self.folder, &segment_name(self.number)))?;
        self.tail_unknown = false;
        Ok(())
    }

    /// Removes what a snapshot that is on disk replaces. What stays is removed another time.
    fn remove_older(&self) {
        let first = self.snapshot_number;
        let Ok(listing) = Listing::read(&*self.folder) else { return };
        let _ = self.folder.remove(DRAFT);
        let segments = listing.segments.into_iter().filter(|number| *number < first).map(segment_name);
        let snapshots = listing.snapshots.into_iter().filter(|number| *number < first).map(snapshot_name);
        for name in segments.chain(snapshots) {
            let _ = self.folder.remove(&name);
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
