//! Responses whose body ends where the connection ends, for clients of HTTP/1.0 that understand no chunks.
//!
//! Such a client takes a closed connection for the end of a complete body. So its connection is reset unless the body
//! is complete. The reset is set on the socket before the body begins and is withdrawn after its end, so that it also
//! happens if the request's task is dropped or the process is killed.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Version};
use http_body::{Body as _, Frame, SizeHint};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::frontend::error_response::Body;
use crate::proxy::response_body;

/// Whether a connection is reset rather than closed when it ends; shared by its stream and the body of the response.
#[derive(Clone, Default)]
pub struct ResetOnEnd(Arc<AtomicBool>);

impl ResetOnEnd {
    /// Changes whether the connection is reset.
    fn set(&self, reset: bool) {
        self.0.store(reset, Ordering::Relaxed);
    }

    /// Returns whether the connection is reset.
    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
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
pub fn reset_unless_complete(request: &RequestKind, response: Response<Body>, reset: &ResetOnEnd) -> Response<Body> {
    if !request.is_close_delimited(&response) {
        return response;
    }
    reset.set(true);
    response.map(|body| Body::new(CloseDelimitedBody { body, reset: reset.clone() }))
}

/// A body whose end withdraws the reset of its connection.
struct CloseDelimitedBody {
    body: Body,
    reset: ResetOnEnd,
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
            self.reset.set(false);
            return Poll::Ready(None);
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A client connection that ends by a reset while its `ResetOnEnd` is set.
pub struct ResettableStream {
    inner: TcpStream,
    reset: ResetOnEnd,
    /// Whether the socket is set to be reset when it is closed.
    is_set_on_socket: bool,
}

impl ResettableStream {
    /// Wraps a connection.
    pub fn new(inner: TcpStream, reset: ResetOnEnd) -> ResettableStream {
        ResettableStream { inner, reset, is_set_on_socket: false }
    }

    /// Sets the socket as `reset` demands, and returns whether it is reset when it is closed.
    fn update_socket(&mut self) -> bool {
        let reset = self.reset.get();
        if reset != self.is_set_on_socket {
            let linger = reset.then_some(Duration::ZERO);
            let _ = SockRef::from(&self.inner).set_linger(linger);
            self.is_set_on_socket = reset;
        }
        reset
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
        if self.update_socket() {
            // A shutdown would look like the end of a complete body; dropping the stream resets it.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
