//! A look at request heads as they arrive, for one shape that the HTTP library settles by itself: both
//! framings in one head. It reads by chunks and drops the length, so nothing can hide; but such a
//! request is to be refused.

/// Invariant: `armed` while the next bytes begin or continue a head; `both` tells of the last head.
#[derive(Default)]
pub struct Look {
    armed: std::sync::atomic::AtomicBool,
    both: std::sync::atomic::AtomicBool,
}

impl Look {
    pub fn new() -> std::sync::Arc<Look> {
        let look = Look::default();
        look.arm();
        std::sync::Arc::new(look)
    }

    /// The body before is read: a head comes next.
    pub fn arm(&self) {
        self.armed.store(true, std::sync::atomic::Ordering::Relaxed);
    }

    pub fn both(&self) -> bool {
        self.both.load(std::sync::atomic::Ordering::Relaxed)
    }
}

pub struct Stream {
    inner: tokio::net::TcpStream,
    look: std::sync::Arc<Look>,
    head: Vec<u8>,
}

/// Larger heads are refused anyway.
const MOST: usize = 256 * 1024;

impl Stream {
    pub fn new(inner: tokio::net::TcpStream, look: std::sync::Arc<Look>) -> Stream {
        Stream { inner, look, head: Vec::new() }
    }

    fn scan(&mut self, fresh: &[u8]) {
        let order = std::sync::atomic::Ordering::Relaxed;
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

impl tokio::io::AsyncRead for Stream {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let done = std::pin::Pin::new(&mut self.inner).poll_read(cx, buf);
        if let std::task::Poll::Ready(Ok(())) = &done {
            self.scan(&buf.filled()[before..]);
        }
        done
    }
}

impl tokio::io::AsyncWrite for Stream {
    fn poll_write(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &[u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::pin::Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::pin::Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

#[cfg(test)]
#[path = "frames_tests.rs"]
mod tests;
