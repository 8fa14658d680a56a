//! Checks request heads for what the HTTP library resolves by itself.
//!
//! Where a head has both `Content-Length` and `Transfer-Encoding`, the library decodes the chunks and drops the length; it
//! also drops the fragment of a target. No request can be smuggled past the router like that, but such a request must be
//! rejected as malformed, and the parsed request no longer shows it. Therefore the bytes of a connection are scanned on
//! their way from the socket to the library, and a long head is charged to the memory budget there.
//!
//! Clients may send the next request before they have the response, so the ends of bodies are found here too: each head is
//! scanned, wherever it begins in what was read.

use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use ingress::http_server::DEFAULT_HEAD_BYTES;
use ingress::{MemoryBudget, OutOfMemory, Purpose, Reservation};
use kernel::clock;
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::frontend::body_scanner::{BodyScan, BodyScanner};
use crate::frontend::head_scanner::{HeadFacts, HeadScanner};

/// The scanned heads of a connection, shared by the stream that feeds the HTTP library and the service that it calls.
///
/// Invariant: the library calls the service once for each head that it accepts, in the order of the heads.
#[derive(Default)]
pub struct FramingMonitor(Mutex<VecDeque<HeadFacts>>);

impl FramingMonitor {
    /// Returns the monitor of a new connection.
    pub fn new() -> Arc<FramingMonitor> {
        Arc::default()
    }

    /// Returns whether the next request must be refused: its head is malformed, or its place among the bytes of the
    /// connection is not certain.
    pub fn is_next_malformed(&self) -> bool {
        self.0.lock().pop_front().is_none_or(HeadFacts::is_malformed)
    }

    fn push(&self, facts: HeadFacts) {
        self.0.lock().push_back(facts);
    }
}

/// What the next bytes of a connection belong to.
enum Position {
    Head(HeadScanner),
    Body(BodyScanner),
    /// Not certain after malformed chunks. The library ends such a connection.
    Lost,
}

/// Finds the heads and bodies of a connection.
struct RequestScanner {
    position: Position,
    /// The length of the last head as far as it was scanned.
    head_length: usize,
}

impl RequestScanner {
    /// Scans bytes and reports each complete head.
    fn scan(&mut self, mut bytes: &[u8], mut report: impl FnMut(HeadFacts)) {
        while !bytes.is_empty() {
            let scanned = match &mut self.position {
                Position::Head(scanner) => {
                    let end = scanner.scan(bytes);
                    self.head_length = scanner.head_length();
                    let Some(end) = end else { return };
                    report(scanner.facts());
                    self.position = Position::Body(scanner.body());
                    end
                }
                Position::Body(scanner) => match scanner.scan(bytes) {
                    BodyScan::Unfinished => return,
                    BodyScan::Finished(size) => {
                        self.position = Position::Head(HeadScanner::default());
                        size
                    }
                    BodyScan::Malformed => {
                        self.position = Position::Lost;
                        return;
                    }
                },
                Position::Lost => return,
            };
            bytes = &bytes[scanned..];
        }
    }
}

/// How often the HTTP library may hold the bytes of a head while it parses it.
const HEAD_COPIES: usize = 2;

/// A client connection whose request heads are scanned as they are read.
pub struct MonitoredStream<S> {
    inner: S,
    framing: Arc<FramingMonitor>,
    scanner: RequestScanner,
    memory: Arc<MemoryBudget>,
    /// The charge for the last head, if that is longer than what the limit on connections allows for.
    reservation: Option<Reservation>,
}

impl<S> MonitoredStream<S> {
    /// Wraps a connection; the results of the scan are stored in `framing`.
    pub fn new(inner: S, framing: Arc<FramingMonitor>, memory: Arc<MemoryBudget>) -> MonitoredStream<S> {
        let scanner = RequestScanner { position: Position::Head(HeadScanner::default()), head_length: 0 };
        MonitoredStream { inner, framing, scanner, memory, reservation: None }
    }

    /// Scans newly read bytes.
    ///
    /// # Errors
    ///
    /// If the head is long and there is no memory left for it.
    fn scan(&mut self, bytes: &[u8]) -> Result<(), OutOfMemory> {
        let length_before = self.scanner.head_length;
        self.scanner.scan(bytes, |facts| self.framing.push(facts));
        if self.scanner.head_length < length_before {
            self.reservation = None;
        }
        self.reserve(self.scanner.head_length)
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
