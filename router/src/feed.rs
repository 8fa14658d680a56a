//! The body of an answer on its way to a client.

enum Piece {
    Data(bytes::Bytes),
    End,
}

/// What is passed on to a client. Invariant: only `end` ends the body as whole; a sender that is dropped
/// before breaks it off.
pub struct Pipe(tokio::sync::mpsc::Sender<Piece>);

impl Pipe {
    /// False: the client is gone.
    pub async fn data(&self, data: bytes::Bytes) -> bool {
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
    let (sender, pieces) = tokio::sync::mpsc::channel(WAITING);
    (Pipe(sender), Feed { pieces, length })
}

/// The body of an answer, as it comes through a pipe; its length where the engine named one.
pub struct Feed {
    pieces: tokio::sync::mpsc::Receiver<Piece>,
    length: Option<u64>,
}

impl http_body::Body for Feed {
    type Data = bytes::Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, std::io::Error>>> {
        self.pieces.poll_recv(cx).map(|piece| match piece {
            Some(Piece::Data(data)) => Some(Ok(http_body::Frame::data(data))),
            Some(Piece::End) => None,
            None => Some(Err(std::io::ErrorKind::ConnectionAborted.into())),
        })
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.length.map_or_else(http_body::SizeHint::default, http_body::SizeHint::with_exact)
    }
}
