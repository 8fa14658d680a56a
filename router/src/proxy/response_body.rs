//! The body of an answer on its way to a client.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc::{self, Receiver, Sender};

enum Piece {
    Data(Bytes),
    End,
}

/// What is passed on to a client. Invariant: only `end` ends the body as whole; a sender that is dropped
/// before breaks it off.
pub struct Pipe(Sender<Piece>);

impl Pipe {
    /// False: the client is gone.
    pub async fn data(&self, data: Bytes) -> bool {
        data.is_empty() || self.0.send(Piece::Data(data)).await.is_ok()
    }

    pub async fn end(&self) {
        let _ = self.0.send(Piece::End).await;
    }

    /// Until the client is gone.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// How many pieces may wait for a slow client.
const WAITING: usize = 16;

pub fn pipe(length: Option<u64>) -> (Pipe, Feed) {
    let (sender, pieces) = mpsc::channel(WAITING);
    (Pipe(sender), Feed { pieces, length })
}

/// The body of an answer, as it comes through a pipe; its length where the engine named one.
pub struct Feed {
    pieces: Receiver<Piece>,
    length: Option<u64>,
}

impl Body for Feed {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.pieces.poll_recv(cx).map(|piece| match piece {
            Some(Piece::Data(data)) => Some(Ok(Frame::data(data))),
            Some(Piece::End) => None,
            None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
