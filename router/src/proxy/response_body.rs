//! The body of a response on its way to a client: a channel bounded by its bytes (`response_window`) that ends as complete
//! only on `finish`.
//!
//! A body of an engine that ended with its connection, without a length, may be complete or not. It ends as
//! `is_unmarked_end` tells: an error for clients that expect a mark at the end, and nothing special for those of HTTP/1.0,
//! whose responses end in the same way.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use ingress::Reservation;
use tokio::sync::mpsc::{self, Receiver, Sender};

use crate::proxy::response_window::ResponseWindow;

/// Number of chunks that are buffered for a slow client.
const CHANNEL_CAPACITY: usize = 16;

/// An item in the channel.
enum Chunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The body ended with the engine's connection, and nothing shows whether it is complete.
    UnmarkedEnd,
}

/// The kind of the error with which a body ends that nothing shows to be complete.
const UNMARKED_END: io::ErrorKind = io::ErrorKind::UnexpectedEof;

/// Returns whether the error ends a body whose engine closed the connection in order, without a mark at the end.
pub fn is_unmarked_end(error: &io::Error) -> bool {
    error.kind() == UNMARKED_END
}

/// Sends a body to a client. Invariant: only `finish` ends the body as complete; dropping the sender before that aborts
/// it.
pub struct BodySender {
    chunks: Sender<Chunk>,
    window: Arc<ResponseWindow>,
}

impl BodySender {
    /// Sends bytes. Returns false if the client has disconnected, or reads too slowly for the memory that there is.
    pub async fn send_data(&self, data: Bytes) -> bool {
        if data.is_empty() {
            return true;
        }
        let acquired = tokio::select! {
            acquired = self.window.acquire(data.len()) => acquired,
            () = self.client_disconnected() => return false,
        };
        acquired.is_ok() && self.chunks.send(Chunk::Data(data)).await.is_ok()
    }

    /// Ends the body as complete.
    pub async fn finish(&self) {
        let _ = self.chunks.send(Chunk::End).await;
    }

    /// Ends the body where the engine closed the connection, though nothing shows whether it is complete.
    pub async fn finish_unmarked(&self) {
        let _ = self.chunks.send(Chunk::UnmarkedEnd).await;
    }

    /// Waits until the client has disconnected.
    pub async fn client_disconnected(&self) {
        self.chunks.closed().await;
    }
}

/// Returns the sending and the receiving end of a body; `length` is its length in bytes, if the engine declared one. What
/// the client leaves unread is charged to `reservation`.
pub fn channel(length: Option<u64>, reservation: Reservation) -> (BodySender, ForwardedBody) {
    let (sender, chunks) = mpsc::channel(CHANNEL_CAPACITY);
    let window = Arc::new(ResponseWindow::new(reservation));
    (BodySender { chunks: sender, window: window.clone() }, ForwardedBody { chunks, window, length })
}

/// The receiving end of the channel, as the body of a response.
pub struct ForwardedBody {
    chunks: Receiver<Chunk>,
    window: Arc<ResponseWindow>,
    length: Option<u64>,
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.chunks.poll_recv(cx).map(|chunk| match chunk {
            Some(Chunk::Data(data)) => {
                self.window.release(data.len());
                Some(Ok(Frame::data(data)))
            }
            Some(Chunk::End) => None,
            Some(Chunk::UnmarkedEnd) => Some(Err(UNMARKED_END.into())),
            None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
