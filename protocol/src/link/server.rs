//! The server side of a connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, Receiver};
use tokio::time;

use super::bulk_budget::BulkBudget;
use super::frame_io::{read_frame, write_frame};
use super::QUEUE_CAPACITY;
use crate::frame::{self, Kind};
use crate::message::Message;
use crate::socket::{self, IO_TIMEOUT_MS};
use crate::traffic;

/// Delay before the next accept after a failed one, which most often means that the process is out of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Sends responses and notifications on the connection that a message arrived on.
#[derive(Clone)]
pub struct Responder {
    frames: mpsc::Sender<Bytes>,
    budget: Arc<BulkBudget>,
}

impl Responder {
    /// Returns a responder that sends its frames to `frames`.
    pub fn new(frames: mpsc::Sender<Bytes>) -> Responder {
        Responder { frames, budget: Arc::default() }
    }

    /// Sends a notification. Returns false if it was dropped: the peer reads too slowly, or the connection has ended.
    pub fn notify(&self, message: &Message) -> bool {
        self.send(Kind::Notification, 0, message)
    }

    /// Sends the response to the request with this id. Returns false if it was dropped.
    pub fn reply(&self, id: u64, message: &Message) -> bool {
        self.send(Kind::Response, id, message)
    }

    fn send(&self, kind: Kind, id: u64, message: &Message) -> bool {
        let Ok(frame) = frame::encode(kind, id, message) else { return false };
        self.notify_frame(frame.into())
    }

    /// Sends an encoded frame, which many peers can share without copies. Returns false if it was dropped.
    pub fn notify_frame(&self, frame: Bytes) -> bool {
        let len = frame.len();
        if !self.budget.try_admit(len) {
            traffic::record_dropped();
            return false;
        }
        let sent = self.frames.try_send(frame).is_ok();
        if !sent {
            self.budget.release(len);
            traffic::record_dropped();
        }
        sent
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

/// Handles a message, given the connection's responder, the id to reply to, and the message itself.
pub type Handler = Arc<dyn Fn(Responder, u64, Message) + Send + Sync>;

/// Accepts connections forever and passes each message to the handler. A malformed message closes only the connection
/// that it arrived on.
pub async fn serve(listener: TcpListener, handler: Handler) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        socket::configure(&stream, IO_TIMEOUT_MS);
        tokio::spawn(serve_connection(stream, handler.clone()));
    }
}

async fn serve_connection(stream: TcpStream, handler: Handler) {
    let (mut read, write) = stream.into_split();
    let (frames, queue) = mpsc::channel::<Bytes>(QUEUE_CAPACITY);
    let responder = Responder::new(frames);
    let writer = tokio::spawn(write_frames(write, queue, responder.budget.clone()));
    while let Some((header, message)) = read_frame(&mut read).await {
        handler(responder.clone(), header.id, message);
    }
    writer.abort();
}

async fn write_frames(mut write: OwnedWriteHalf, mut queue: Receiver<Bytes>, budget: Arc<BulkBudget>) {
    while let Some(frame) = queue.recv().await {
        budget.release(frame.len());
        if write_frame(&mut write, &frame).await.is_none() {
            return;
        }
    }
}
