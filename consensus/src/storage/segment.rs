//! Reading the records of one file, a piece at a time: memory stays at one piece, or one record.

use std::io;

use super::directory::DataFile;
use super::record::{decode, Header, LogRecord, HEADER_BYTES, MAGIC};

const READ_BYTES: u64 = 256 * 1024;

/// Reads records in order. Invariant: all records before `offset` were whole.
pub struct SegmentReader<'a> {
    file: &'a dyn DataFile,
    size: u64,
    offset: u64,
    /// The part of the file that was read last, and where it begins.
    window: Vec<u8>,
    window_start: u64,
}

/// A whole record as it stands in the file.
pub struct StoredRecord {
    pub record: LogRecord,
    pub synced_before: u64,
    pub size: u64,
}

impl<'a> SegmentReader<'a> {
    pub fn new(file: &'a dyn DataFile) -> io::Result<Self> {
        Ok(SegmentReader { file, size: file.size()?, offset: 0, window: Vec::new(), window_start: 0 })
    }

    /// How far the file has been read.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    pub fn at_end(&self) -> bool {
        self.offset == self.size
    }

    /// The next record. None: the end, or bytes that are no whole record; `at_end` tells which.
    pub fn next(&mut self) -> io::Result<Option<StoredRecord>> {
        let found = self.record_at(self.offset)?;
        self.offset += found.as_ref().map_or(0, |found| found.size);
        Ok(found)
    }

    /// Does a record behind `offset` say that the bytes at `offset` had been synced? Then they are
    /// not the torn end of a write but damage.
    pub fn is_synced_later(&mut self) -> io::Result<bool> {
        let mut start = self.offset + 1;
        while start + HEADER_BYTES as u64 <= self.size {
            let length = READ_BYTES.min(self.size - start);
            let piece = self.bytes(start, length)?.to_vec();
            let positions = piece.windows(MAGIC.len()).enumerate().filter(|(_, bytes)| *bytes == MAGIC);
            for (position, _) in positions {
                let found = self.record_at(start + position as u64)?;
                if found.is_some_and(|found| found.synced_before > self.offset) {
                    return Ok(true);
                }
            }
            start += length - (MAGIC.len() as u64 - 1);
        }
        Ok(false)
    }

    /// Is this a file that no torn write of records can have left? Only asked when no record was read:
    /// what is missing of a torn write reads as zeros.
    pub fn is_foreign(&mut self) -> io::Result<bool> {
        if self.offset > 0 || self.size < MAGIC.len() as u64 {
            return Ok(false);
        }
        let first = self.bytes(0, MAGIC.len() as u64)?;
        Ok(first.iter().zip(MAGIC).any(|(byte, magic)| *byte != magic && *byte != 0))
    }

    fn record_at(&mut self, offset: u64) -> io::Result<Option<StoredRecord>> {
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
        Ok(record.map(|record| StoredRecord { record, synced_before: header.synced_before, size }))
    }

    /// The bytes from `offset` on, read ahead by a piece.
    fn bytes(&mut self, offset: u64, length: u64) -> io::Result<&[u8]> {
        let window_end = self.window_start + self.window.len() as u64;
        if offset < self.window_start || offset + length > window_end {
            let ahead = length.max(READ_BYTES).min(self.size - offset);
            self.window.resize(ahead as usize, 0);
            self.window_start = offset;
            self.file.read_at(offset, &mut self.window)?;
        }
        let start = (offset - self.window_start) as usize;
        Ok(&self.window[start..start + length as usize])
    }
}
