//! Finds the end of a request body in the bytes of a connection.

/// The size of a chunk is written in hexadecimal digits.
const SIZE_RADIX: u32 = 16;

/// What the bytes of a chunked body say next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkPart {
    /// The line with the size of the next chunk, read up to here. `in_extension` is set after its digits.
    Size { size: u64, in_extension: bool },
    /// This many bytes of data.
    Data(u64),
    /// The line end after the data.
    DataEnd,
    /// A line after the last chunk; whether it has any characters so far.
    Trailer { is_empty: bool },
}

/// The result of scanning some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyScan {
    /// The body goes on after all bytes.
    Unfinished,
    /// The body ends after this many of the bytes.
    Finished(usize),
    /// The chunks are malformed, so that the end of the body is not known.
    Malformed,
}

/// Finds the end of one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyScanner {
    /// A body with this many bytes left.
    Sized(u64),
    /// A body in chunks.
    Chunked(ChunkScanner),
}

impl BodyScanner {
    /// Returns the scanner of a body in chunks.
    pub fn chunked() -> BodyScanner {
        let part = ChunkPart::Size { size: 0, in_extension: false };
        BodyScanner::Chunked(ChunkScanner { part, is_after_return: false })
    }

    /// Scans bytes up to the end of the body.
    pub fn scan(&mut self, bytes: &[u8]) -> BodyScan {
        match self {
            BodyScanner::Sized(left) => {
                let size = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                *left -= size as u64;
                if *left == 0 {
                    BodyScan::Finished(size)
                } else {
                    BodyScan::Unfinished
                }
            }
            BodyScanner::Chunked(chunks) => chunks.scan(bytes),
        }
    }
}

/// Finds the end of a body in chunks. Lines end with CR LF: a lone LF could be read in two ways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkScanner {
    part: ChunkPart,
    /// Whether the last byte was a CR.
    is_after_return: bool,
}

impl ChunkScanner {
    fn scan(&mut self, bytes: &[u8]) -> BodyScan {
        let mut at = 0;
        while let Some(byte) = bytes.get(at) {
            if let ChunkPart::Data(left) = self.part {
                let skipped = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len() - at);
                at += skipped;
                let left = left - skipped as u64;
                self.part = if left == 0 { ChunkPart::DataEnd } else { ChunkPart::Data(left) };
                continue;
            }
            at += 1;
            let is_last = self.part == ChunkPart::Trailer { is_empty: true } && *byte == b'\n';
            match self.scan_line_byte(*byte) {
                Some(_) if is_last => return BodyScan::Finished(at),
                Some(part) => self.part = part,
                None => return BodyScan::Malformed,
            }
        }
        BodyScan::Unfinished
    }

    /// Scans one byte of a line. Returns the part that the next byte belongs to, or `None` if the chunks are malformed.
    fn scan_line_byte(&mut self, byte: u8) -> Option<ChunkPart> {
        let is_after_return = self.is_after_return;
        self.is_after_return = byte == b'\r';
        match byte {
            b'\n' if !is_after_return => None,
            b'\n' => Some(self.after_line()),
            _ if is_after_return => None,
            b'\r' => Some(self.part),
            _ => self.after_character(byte),
        }
    }

    fn after_line(&self) -> ChunkPart {
        match self.part {
            ChunkPart::Size { size: 0, .. } | ChunkPart::Trailer { .. } => ChunkPart::Trailer { is_empty: true },
            ChunkPart::Size { size, .. } => ChunkPart::Data(size),
            ChunkPart::Data(_) | ChunkPart::DataEnd => ChunkPart::Size { size: 0, in_extension: false },
        }
    }

    fn after_character(&self, byte: u8) -> Option<ChunkPart> {
        match self.part {
            ChunkPart::Size { size, in_extension: false } => match char::from(byte).to_digit(SIZE_RADIX) {
                Some(digit) => {
                    let size = size.checked_mul(SIZE_RADIX.into())?.checked_add(digit.into())?;
                    Some(ChunkPart::Size { size, in_extension: false })
                }
                None => Some(ChunkPart::Size { size, in_extension: true }),
            },
            ChunkPart::Size { .. } => Some(self.part),
            ChunkPart::Trailer { .. } => Some(ChunkPart::Trailer { is_empty: false }),
            ChunkPart::Data(_) | ChunkPart::DataEnd => None,
        }
    }
}

#[cfg(test)]
#[path = "body_scanner_tests.rs"]
mod tests;
