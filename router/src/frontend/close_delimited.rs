//! Responses whose body ends where the connection ends, for clients of HTTP/1.0 that understand no chunks.
//!
//! Such a client takes a closed connection for the end of a complete body. So its connection is reset unless the body
//! is complete and was written. The reset is set on the socket before the body begins and is withdrawn when the HTTP
//! library shuts the connection down after its last write, so that it also happens if the connection's task is dropped
//! or the process is killed.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Version};
use http_body::{Body as _, Frame, SizeHint};
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::frontend::error_response::Body;
use crate::proxy::response_body;

/// How far the response that ends with the connection is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Progress {
    /// No response so far ends with the connection.
    #[default]
    NotStarted,
    /// The body has not ended.
    Incomplete,
    /// The body has ended, and a part of it may not be written yet.
    Complete,
    /// The body has been written.
    Written,
}

/// The progress of the response that ends with a connection; shared by its body and the stream.
#[derive(Clone, Default)]
pub struct ResponseProgress(Arc<Mutex<Progress>>);

impl ResponseProgress {
    fn set(&self, progress: Progress) {
        *self.0.lock() = progress;
    }

    fn get(&self) -> Progress {
        *self.0.lock()
    }
}

/// What of a request determines how the body of its response is delimited.
pub struct RequestKind {
    version: Version,
    method: Method,
}

impl RequestKind {
    /// Returns the kind of a request.
    pub fn of<B>(request: &Request<B>) -> RequestKind {
        RequestKind { version: request.version(), method: request.method().clone() }
    }

    /// Returns whether the client learns the end of this response's body only from the end of the connection.
    fn is_close_delimited(&self, response: &Response<Body>) -> bool {
        let has_no_body = self.method == Method::HEAD
            || matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
            || response.body().is_end_stream();
        self.version < Version::HTTP_11 && !has_no_body && response.body().size_hint().exact().is_none()
    }
}

/// Has the connection reset unless the body of the response is sent completely, if its client could not tell otherwise.
pub fn reset_unless_complete(
    request: &RequestKind,
    response: Response<Body>,
    progress: &ResponseProgress,
) -> Response<Body> {
    if !request.is_close_delimited(&response) {
        return response;
    }
    progress.set(Progress::Incomplete);
    response.map(|body| Body::new(CloseDelimitedBody { body, progress: progress.clone() }))
}

/// A body that ends with its connection.
struct CloseDelimitedBody {
    body: Body,
    progress: ResponseProgress,
}

impl http_body::Body for CloseDelimitedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let is_end = match &frame {
            None => true,
            Some(Err(error)) => response_body::is_unmarked_end(error),
            Some(Ok(_)) => false,
        };
        if is_end {
            self.progress.set(Progress::Complete);
            return Poll::Ready(None);
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A client connection that ends with a reset while a response that ends with it has not been written completely.
pub struct ResettableStream {
    inner: TcpStream,
    progress: ResponseProgress,
    /// Whether the socket is reset when it is closed.
    resets_on_close: bool,
}

impl ResettableStream {
    /// Wraps a connection.
    pub fn new(inner: TcpStream, progress: ResponseProgress) -> ResettableStream {
        ResettableStream { inner, progress, resets_on_close: false }
    }

    /// Sets on the socket whether it is reset when it is closed, as the progress demands.
    fn update_socket(&mut self) {
        let resets = matches!(self.progress.get(), Progress::Incomplete | Progress::Complete);
        if resets != self.resets_on_close {
            let linger = resets.then_some(Duration::ZERO);
            let _ = SockRef::from(&self.inner).set_linger(linger);
            self.resets_on_close = resets;
        }
    }
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        self.update_socket();
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResettableStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.update_socket();
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_socket();
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.progress.get() {
            // A shutdown would look like the end of a complete body; dropping the stream resets it.
            Progress::Incomplete => return Poll::Ready(Ok(())),
            Progress::Complete => self.progress.set(Progress::Written),
            Progress::NotStarted | Progress::Written => {}
        }
        self.update_socket();
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
