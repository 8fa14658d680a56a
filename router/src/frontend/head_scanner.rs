//! Scans the bytes of a request head for what the parsed head no longer shows.

use std::mem;

use crate::frontend::body_scanner::BodyScanner;

/// What a head says that the HTTP library drops or resolves by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeadFacts {
    /// Whether the head has both `Content-Length` and `Transfer-Encoding`.
    pub has_conflicting_framings: bool,
    /// Whether the request target has a fragment.
    pub has_fragment: bool,
}

impl HeadFacts {
    /// Returns whether the request must be refused.
    pub fn is_malformed(self) -> bool {
        self.has_conflicting_framings || self.has_fragment
    }
}

const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";

/// The part of a head that a line belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Empty lines may come before the request line.
    #[default]
    Request,
    Field,
    /// The value of `Content-Length`.
    ContentLength,
}

/// Scans a head byte by byte, so that no copy of it is kept. Lines end with LF, with or without a CR before it, as they
/// do for the HTTP library.
#[derive(Default)]
pub struct HeadScanner {
    line: Line,
    /// The beginning of the current line in lower case, as long as the longer of the two names.
    line_start: [u8; TRANSFER_ENCODING.len()],
    line_length: usize,
    last_byte: u8,
    has_content_length: bool,
    content_length: u64,
    has_transfer_encoding: bool,
    /// Whether the method has ended, so that the target follows.
    is_after_method: bool,
    has_fragment: bool,
    /// The number of bytes scanned so far.
    head_length: usize,
}

impl HeadScanner {
    /// Scans bytes up to the end of the head. Returns the number of scanned bytes if the head ends among them.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let end = bytes.iter().position(|byte| self.scan_byte(*byte)).map(|last| last + 1);
        self.head_length += end.unwrap_or(bytes.len());
        end
    }

    /// Returns the number of bytes scanned so far.
    pub fn head_length(&self) -> usize {
        self.head_length
    }

    /// Returns what the complete head says.
    pub fn facts(&self) -> HeadFacts {
        HeadFacts {
            has_conflicting_framings: self.has_content_length && self.has_transfer_encoding,
            has_fragment: self.has_fragment,
        }
    }

    /// Returns the scanner of the body that follows the complete head.
    pub fn body(&self) -> BodyScanner {
        match self.has_transfer_encoding {
            true => BodyScanner::chunked(),
            false => BodyScanner::Sized(self.content_length),
        }
    }

    /// Scans one byte. Returns whether it ends the head.
    fn scan_byte(&mut self, byte: u8) -> bool {
        let last_byte = mem::replace(&mut self.last_byte, byte);
        if byte == b'\n' {
            let is_empty = self.line_length == 0 || (self.line_length == 1 && last_byte == b'\r');
            return self.end_line(is_empty);
        }
        match self.line {
            Line::Request => self.scan_request_line_byte(byte),
            Line::Field => self.scan_name(),
            Line::ContentLength if byte.is_ascii_digit() => {
                self.content_length = self.content_length.saturating_mul(10).saturating_add(u64::from(byte - b'0'));
            }
            Line::ContentLength => {}
        }
        if let Some(slot) = self.line_start.get_mut(self.line_length) {
            *slot = byte.to_ascii_lowercase();
        }
        self.line_length += 1;
        false
    }

    /// Ends a line. Returns whether the head ends with it.
    fn end_line(&mut self, is_empty: bool) -> bool {
        self.line_length = 0;
        let is_first = self.line == Line::Request;
        if !is_first || !is_empty {
            self.line = Line::Field;
        }
        is_empty && !is_first
    }

    fn scan_request_line_byte(&mut self, byte: u8) {
        self.has_fragment |= self.is_after_method && byte == b'#';
        self.is_after_method |= byte == b' ';
    }

    /// Notices a name of interest once another byte follows it.
    fn scan_name(&mut self) {
        if self.line_length == CONTENT_LENGTH.len() && self.line_is(CONTENT_LENGTH) {
            self.has_content_length = true;
            self.content_length = 0;
            self.line = Line::ContentLength;
        }
        if self.line_length == TRANSFER_ENCODING.len() {
            self.has_transfer_encoding |= self.line_is(TRANSFER_ENCODING);
        }
    }

    fn line_is(&self, name: &[u8]) -> bool {
        &self.line_start[..name.len()] == name
    }
}

#[cfg(test)]
#[path = "head_scanner_tests.rs"]
mod tests;
