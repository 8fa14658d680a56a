//! The body of an answer on its way to a client.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc::{self, Receiver, Sender};

enum Chunk {
    Data(Bytes),
    End,
}

/// What is passed on to a client. Invariant: only `end` ends the body as whole; a sender that is dropped
/// before breaks it off.
pub struct BodySender(Sender<Chunk>);

impl BodySender {
    /// False: the client is gone.
    pub async fn send_data(&self, data: Bytes) -> bool {
        data.is_empty() || self.0.send(Chunk::Data(data)).await.is_ok()
    }

    pub async fn finish(&self) {
        let _ = self.0.send(Chunk::End).await;
    }

    /// Until the client is gone.
    pub async fn client_gone(&self) {
        self.0.closed().await;
    }
}

/// How many pieces may wait for a slow client.
const CHANNEL_CAPACITY: usize = 16;

pub fn channel(length: Option<u64>) -> (BodySender, ForwardedBody) {
    let (sender, chunks) = mpsc::channel(CHANNEL_CAPACITY);
    (BodySender(sender), ForwardedBody { chunks, length })
}

/// The body of an answer, as it comes through a pipe; its length where the engine named one.
pub struct ForwardedBody {
    chunks: Receiver<Chunk>,
    length: Option<u64>,
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.chunks.poll_recv(cx).map(|chunk| match chunk {
            Some(Chunk::Data(data)) => Some(Ok(Frame::data(data))),
            Some(Chunk::End) => None,
            None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
