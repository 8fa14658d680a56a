//! Reads the records of one file in chunks, so that memory use is bounded by the size of a chunk or of a record.

use std::io;
use std::marker::PhantomData;

use super::directory::DataFile;
use super::record::{decode, Header, StoredRecord, HEADER_BYTES, MAGIC};

/// The read-ahead size, in bytes.
const READ_AHEAD_BYTES: u64 = 256 * 1024;

/// Reads records in order. Invariant: all records before `offset` were complete.
pub struct SegmentReader<'a, R> {
    file: &'a dyn DataFile,
    size: u64,
    offset: u64,
    /// The part of the file that was read last.
    window: Vec<u8>,
    /// The offset of the window in the file.
    window_start: u64,
    records: PhantomData<R>,
}

/// A complete record that was read from the file.
pub struct FoundRecord<R> {
    pub record: R,
    /// The offset up to which everything was synced before the record was written.
    pub synced_before: u64,
    /// The length of header and body, in bytes.
    pub size: u64,
}

impl<'a, R: StoredRecord> SegmentReader<'a, R> {
    /// Creates a reader at the beginning of a file.
    pub fn new(file: &'a dyn DataFile) -> io::Result<Self> {
        Ok(SegmentReader {
            file,
            size: file.size()?,
            offset: 0,
            window: Vec::new(),
            window_start: 0,
            records: PhantomData,
        })
    }

    /// Returns the offset of the end of the last record that was read.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns whether the reader has reached the end of the file.
    pub fn is_at_end(&self) -> bool {
        self.offset == self.size
    }

    /// Returns the next record, or `None` at the end of the file and at bytes that are not a complete record.
    /// [`SegmentReader::is_at_end`] distinguishes the two.
    pub fn next(&mut self) -> io::Result<Option<FoundRecord<R>>> {
        let found = self.record_at(self.offset)?;
        self.offset += found.as_ref().map_or(0, |found| found.size);
        Ok(found)
    }

    /// Returns whether a record after `offset` states that the bytes at `offset` had been synced. Then they are
    /// corrupted rather than the torn end of a write.
    pub fn is_synced_later(&mut self) -> io::Result<bool> {
        let mut start = self.offset + 1;
        while start + HEADER_BYTES as u64 <= self.size {
            let length = READ_AHEAD_BYTES.min(self.size - start);
            let chunk = self.bytes(start, length)?.to_vec();
            let headers = chunk.windows(MAGIC.len()).enumerate().filter(|(_, bytes)| *bytes == MAGIC);
            for (index, _) in headers {
                let found = self.record_at(start + index as u64)?;
                if found.is_some_and(|found| found.synced_before > self.offset) {
                    return Ok(true);
                }
            }
            start += length - (MAGIC.len() as u64 - 1);
        }
        Ok(false)
    }

    /// Returns whether the file cannot be the result of a torn write of records. False once a record was read. The
    /// parts that a torn write did not store read as zeros.
    pub fn is_foreign(&mut self) -> io::Result<bool> {
        if self.offset > 0 || self.size < MAGIC.len() as u64 {
            return Ok(false);
        }
        let first = self.bytes(0, MAGIC.len() as u64)?;
        Ok(first.iter().zip(MAGIC).any(|(byte, magic)| *byte != magic && *byte != 0))
    }

    fn record_at(&mut self, offset: u64) -> io::Result<Option<FoundRecord<R>>> {
        let left = self.size - offset;
        if left < HEADER_BYTES as u64 {
            return Ok(None);
        }
        let mut header_bytes = [0; HEADER_BYTES];
        header_bytes.copy_from_slice(self.bytes(offset, HEADER_BYTES as u64)?);
        let Some(header) = Header::parse(&header_bytes) else { return Ok(None) };
        let size = (HEADER_BYTES + header.body_bytes) as u64;
        if size > left {
            return Ok(None);
        }
        let body = &self.bytes(offset, size)?[HEADER_BYTES..];
        let record = decode(&header_bytes, &header, body);
        Ok(record.map(|record| FoundRecord { record, synced_before: header.synced_before, size }))
    }

    /// Returns bytes of the file, from the window or by reading a new chunk.
    fn bytes(&mut self, offset: u64, length: u64) -> io::Result<&[u8]> {
        let window_end = self.window_start + self.window.len() as u64;
        if offset < self.window_start || offset + length > window_end {
            let ahead = length.max(READ_AHEAD_BYTES).min(self.size - offset);
            self.window.resize(ahead as usize, 0);
            self.window_start = offset;
            self.file.read_at(offset, &mut self.window)?;
        }
        let start = (offset - self.window_start) as usize;
        Ok(&self.window[start..start + length as usize])
    }
}
