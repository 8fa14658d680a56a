//! Detects request heads that have both `Content-Length` and `Transfer-Encoding`.
//!
//! The HTTP library resolves this conflict itself: it decodes the chunks and drops the length, so no request can be
//! smuggled past the router. But such a request must be rejected as malformed, and the parsed request no longer shows
//! the conflict. Therefore the bytes of each head are scanned on their way from the socket to the library.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

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

/// A client connection whose request heads are scanned as they are read.
pub struct MonitoredStream<S> {
    inner: S,
    framing: Arc<FramingMonitor>,
    /// The bytes read so far of the head that is being scanned.
    head: Vec<u8>,
}

/// Maximum number of bytes scanned per head; the HTTP library rejects larger heads anyway.
const MAX_HEAD_BYTES: usize = 256 * 1024;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

impl<S> MonitoredStream<S> {
    /// Wraps a connection; the results of the scan are stored in `framing`.
    pub fn new(inner: S, framing: Arc<FramingMonitor>) -> MonitoredStream<S> {
        MonitoredStream { inner, framing, head: Vec::new() }
    }

    /// Scans newly read bytes unless they belong to a body.
    fn scan(&mut self, bytes: &[u8]) {
        if !self.framing.expects_head.load(Ordering::Relaxed) {
            return;
        }
        // The end of the head may be split across two reads.
        let search_start = self.head.len().saturating_sub(END_OF_HEAD.len() - 1);
        self.head.extend_from_slice(bytes);
        let end = self.head[search_start..].windows(END_OF_HEAD.len()).position(|window| window == END_OF_HEAD);
        if end.is_none() && self.head.len() < MAX_HEAD_BYTES {
            return;
        }
        let head = &self.head[..end.map_or(self.head.len(), |end| search_start + end)];
        self.framing.has_conflicting_framings.store(count_framings(head) > 1, Ordering::Relaxed);
        self.framing.expects_head.store(false, Ordering::Relaxed);
        self.head = Vec::new();
    }
}

/// Returns how many of the two framing headers a head has.
fn count_framings(head: &[u8]) -> usize {
    let has_header = |name: &[u8]| {
        head.split(|byte| *byte == b'\n')
            .any(|line| line.len() > name.len() && line[..name.len()].eq_ignore_ascii_case(name))
    };
    usize::from(has_header(b"content-length")) + usize::from(has_header(b"transfer-encoding"))
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = &result {
            self.scan(&buf.filled()[filled_before..]);
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
