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
pub struct Look {
    armed: AtomicBool,
    both: AtomicBool,
}

impl Look {
    pub fn new() -> Arc<Look> {
        let look = Look::default();
        look.arm();
        Arc::new(look)
    }

    /// The body before is read: a head comes next.
    pub fn arm(&self) {
        self.armed.store(true, Ordering::Relaxed);
    }

    pub fn both(&self) -> bool {
        self.both.load(Ordering::Relaxed)
    }
}

pub struct Stream {
    inner: TcpStream,
    look: Arc<Look>,
    head: Vec<u8>,
}

/// Larger heads are refused anyway.
const MOST: usize = 256 * 1024;

impl Stream {
    pub fn new(inner: TcpStream, look: Arc<Look>) -> Stream {
        Stream { inner, look, head: Vec::new() }
    }

    fn scan(&mut self, fresh: &[u8]) {
        let order = Ordering::Relaxed;
        if !self.look.armed.load(order) {
            return;
        }
        let from = self.head.len().saturating_sub(3);
        self.head.extend_from_slice(fresh);
        let end = self.head[from..].windows(4).position(|four| four == b"\r\n\r\n");
        if end.is_none() && self.head.len() < MOST {
            return;
        }
        let head = &self.head[..end.map_or(self.head.len(), |end| from + end)];
        self.look.both.store(framings(head) > 1, order);
        self.look.armed.store(false, order);
        self.head = Vec::new();
    }
}

/// How many of the two framings a head names.
fn framings(head: &[u8]) -> usize {
    let names = |name: &[u8]| {
        head.split(|byte| *byte == b'\n')
            .any(|line| line.len() > name.len() && line[..name.len()].eq_ignore_ascii_case(name))
    };
    usize::from(names(b"content-length")) + usize::from(names(b"transfer-encoding"))
}

impl AsyncRead for Stream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = &done {
            self.scan(&buf.filled()[before..]);
        }
        done
    }
}

impl AsyncWrite for Stream {
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
