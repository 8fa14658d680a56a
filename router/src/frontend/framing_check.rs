//! A look at request heads as they arrive, for one shape that the HTTP library settles by itself: both
//! framings in one head. It reads by chunks and drops the length, so nothing can hide; but such a
//! request is to be refused.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Invariant: `armed` while the next bytes begin or continue a head; `both` tells of the last head.
#[derive(Default)]
pub struct FramingMonitor {
    expects_head: AtomicBool,
    has_conflicting_framings: AtomicBool,
}

impl FramingMonitor {
    pub fn new() -> Arc<FramingMonitor> {
        let framing = FramingMonitor::default();
        framing.expect_head();
        Arc::new(framing)
    }

    /// The body before is read: a head comes next.
    pub fn expect_head(&self) {
        self.expects_head.store(true, Ordering::Relaxed);
    }

    pub fn has_conflicting_framings(&self) -> bool {
        self.has_conflicting_framings.load(Ordering::Relaxed)
    }
}

pub struct MonitoredStream {
    inner: TcpStream,
    framing: Arc<FramingMonitor>,
    head: Vec<u8>,
}

/// Larger heads are refused anyway.
const MAX_HEAD_BYTES: usize = 256 * 1024;

impl MonitoredStream {
    pub fn new(inner: TcpStream, framing: Arc<FramingMonitor>) -> MonitoredStream {
        MonitoredStream { inner, framing, head: Vec::new() }
    }

    fn scan(&mut self, bytes: &[u8]) {
        let order = Ordering::Relaxed;
        if !self.framing.expects_head.load(order) {
            return;
        }
        let from = self.head.len().saturating_sub(3);
        self.head.extend_from_slice(bytes);
        let end = self.head[from..].windows(4).position(|window| window == b"\r\n\r\n");
        if end.is_none() && self.head.len() < MAX_HEAD_BYTES {
            return;
        }
        let head = &self.head[..end.map_or(self.head.len(), |end| from + end)];
        self.framing.has_conflicting_framings.store(count_framings(head) > 1, order);
        self.framing.expects_head.store(false, order);
        self.head = Vec::new();
    }
}

/// How many of the two framings a head names.
fn count_framings(head: &[u8]) -> usize {
    let names = |name: &[u8]| {
        head.split(|byte| *byte == b'\n')
            .any(|line| line.len() > name.len() && line[..name.len()].eq_ignore_ascii_case(name))
    };
    usize::from(names(b"content-length")) + usize::from(names(b"transfer-encoding"))
}

impl AsyncRead for MonitoredStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = &result {
            self.scan(&buf.filled()[filled_before..]);
        }
        result
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
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
