//! The server side of a connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ingress::{MemoryBudget, Purpose};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, Receiver};

use super::bulk_budget::BulkBudget;
use super::frame_io::{read_first_frame, read_frame, write_frame, ReceivedFrame};
use super::QUEUE_CAPACITY;
use crate::frame::{self, Kind};
use crate::message::Message;
use crate::socket::{self, IO_TIMEOUT_MS};
use crate::traffic;

/// The timeout for the header of the first frame on a connection.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_millis(2 * IO_TIMEOUT_MS);

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

/// What the peers of a server may hold.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// The maximum number of concurrent connections.
    pub max_connections: usize,
    /// The memory for frames that are being received.
    pub memory: Arc<MemoryBudget>,
}

/// Accepts connections forever and passes each message to the handler. A malformed message closes only the connection
/// that it arrived on. While `max_connections` are open, further ones wait in the kernel's queue.
pub async fn serve(listener: TcpListener, limits: ServerLimits, handler: Handler) {
    let serve = |stream| {
        socket::configure(&stream, IO_TIMEOUT_MS);
        serve_connection(stream, limits.memory.clone(), handler.clone())
    };
    socket::accept_from(listener, limits.max_connections, serve).await;
}

async fn serve_connection(stream: TcpStream, memory: Arc<MemoryBudget>, handler: Handler) {
    let (mut read, write) = stream.into_split();
    let (frames, queue) = mpsc::channel::<Bytes>(QUEUE_CAPACITY);
    let responder = Responder::new(frames);
    let writer = tokio::spawn(write_frames(write, queue, responder.budget.clone()));
    let new_reservation = || Some(memory.reservation(Purpose::Frames));
    // A client opens a connection only once it has something to send.
    let mut next = read_first_frame(&mut read, new_reservation(), FIRST_FRAME_TIMEOUT).await;
    while let Some(ReceivedFrame { header, message, reservation }) = next {
        handler(responder.clone(), header.id, message);
        drop(reservation);
        next = read_frame(&mut read, new_reservation()).await;
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
