//! Detects request heads that have both `Content-Length` and `Transfer-Encoding`.
//!
//! The HTTP library resolves this conflict itself: it decodes the chunks and drops the length, so no request can be
//! smuggled past the router. But such a request must be rejected as malformed, and the parsed request no longer shows
//! the conflict. Therefore the bytes of each head are scanned on their way from the socket to the library, and a long
//! head is charged to the memory budget there.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use ingress::http_server::DEFAULT_HEAD_BYTES;
use ingress::{MemoryBudget, OutOfMemory, Purpose, Reservation};
use kernel::clock;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The scan state of a connection, shared by the stream that feeds the HTTP library and the service that it calls.
///
/// Invariant: `expects_head` is set while the next bytes start or continue a head; `has_conflicting_framings` describes
/// the last complete head.
#[derive(Default)]
pub struct FramingMonitor {
    expects_head: AtomicBool,
    has_conflicting_framings: AtomicBool,
}

impl FramingMonitor {
    /// Returns the monitor of a new connection, which expects a head.
    pub fn new() -> Arc<FramingMonitor> {
        let framing = FramingMonitor::default();
        framing.expect_head();
        Arc::new(framing)
    }

    /// Starts scanning for the next head. Called once the preceding body has been read.
    pub fn expect_head(&self) {
        self.expects_head.store(true, Ordering::Relaxed);
    }

    /// Returns whether the last head had both framing headers.
    pub fn has_conflicting_framings(&self) -> bool {
        self.has_conflicting_framings.load(Ordering::Relaxed)
    }
}

const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// Scans a head byte by byte, so that no copy of it is kept.
#[derive(Default)]
struct HeadScanner {
    /// The beginning of the current line in lower case, as long as the longer of the two names.
    line_start: [u8; TRANSFER_ENCODING.len()],
    line_length: usize,
    has_content_length: bool,
    has_transfer_encoding: bool,
    /// The number of bytes scanned so far.
    head_length: usize,
    /// The number of bytes of `END_OF_HEAD` that the last bytes match.
    end_matched: usize,
}

impl HeadScanner {
    /// Scans bytes up to the end of the head. Returns whether that was found.
    fn scan(&mut self, bytes: &[u8]) -> bool {
        self.head_length += bytes.len();
        bytes.iter().any(|byte| self.scan_byte(*byte))
    }

    /// Scans one byte. Returns whether it ends the head.
    fn scan_byte(&mut self, byte: u8) -> bool {
        self.end_matched = match byte {
            _ if byte == END_OF_HEAD[self.end_matched] => self.end_matched + 1,
            b'\r' => 1,
            _ => 0,
        };
        if byte == b'\n' {
            self.line_length = 0;
            return self.end_matched == END_OF_HEAD.len();
        }
        // A name counts once another byte follows it.
        match self.line_length {
            length if length == CONTENT_LENGTH.len() => self.has_content_length |= self.line_is(CONTENT_LENGTH),
            length if length == TRANSFER_ENCODING.len() => {
                self.has_transfer_encoding |= self.line_is(TRANSFER_ENCODING)
            }
            _ => {}
        }
        if let Some(slot) = self.line_start.get_mut(self.line_length) {
            *slot = byte.to_ascii_lowercase();
        }
        self.line_length += 1;
        false
    }

    fn line_is(&self, name: &[u8]) -> bool {
        &self.line_start[..name.len()] == name
    }

    /// Returns whether the head has both framing headers.
    fn has_conflict(&self) -> bool {
        self.has_content_length && self.has_transfer_encoding
    }
}

/// How often the HTTP library may hold the bytes of a head while it parses it.
const HEAD_COPIES: usize = 2;

/// A client connection whose request heads are scanned as they are read.
pub struct MonitoredStream<S> {
    inner: S,
    framing: Arc<FramingMonitor>,
    scanner: HeadScanner,
    memory: Arc<MemoryBudget>,
    /// The charge for the last head, if that is longer than what the limit on connections allows for.
    reservation: Option<Reservation>,
}

impl<S> MonitoredStream<S> {
    /// Wraps a connection; the results of the scan are stored in `framing`.
    pub fn new(inner: S, framing: Arc<FramingMonitor>, memory: Arc<MemoryBudget>) -> MonitoredStream<S> {
        MonitoredStream { inner, framing, scanner: HeadScanner::default(), memory, reservation: None }
    }

    /// Scans newly read bytes unless they belong to a body.
    ///
    /// # Errors
    ///
    /// If the head is long and there is no memory left for it.
    fn scan(&mut self, bytes: &[u8]) -> Result<(), OutOfMemory> {
        if !self.framing.expects_head.load(Ordering::Relaxed) || bytes.is_empty() {
            return Ok(());
        }
        if self.scanner.head_length == 0 {
            self.reservation = None;
        }
        let is_complete = self.scanner.scan(bytes);
        self.reserve(self.scanner.head_length)?;
        if !is_complete {
            return Ok(());
        }
        self.framing.has_conflicting_framings.store(self.scanner.has_conflict(), Ordering::Relaxed);
        self.framing.expects_head.store(false, Ordering::Relaxed);
        self.scanner = HeadScanner::default();
        Ok(())
    }

    /// Charges a head of this length, unless it is short.
    fn reserve(&mut self, head_length: usize) -> Result<(), OutOfMemory> {
        if head_length <= DEFAULT_HEAD_BYTES {
            return Ok(());
        }
        let memory = &self.memory;
        let reservation = self.reservation.get_or_insert_with(|| memory.reservation(Purpose::RequestHeads));
        reservation.try_grow_to(HEAD_COPIES * head_length, clock::now())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = &result {
            self.scan(&buf.filled()[filled_before..])
                .map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))?;
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MonitoredStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

#[cfg(test)]
#[path = "framing_check_tests.rs"]
mod tests;
