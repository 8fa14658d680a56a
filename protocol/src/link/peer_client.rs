//! The client side of a connection.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{self, Receiver};
use tokio::sync::oneshot;
use tokio::time;

use super::bulk_budget::BulkBudget;
use super::frame_io::{read_frame, write_frame, ReceivedFrame};
use super::pending_responses::{PendingResponses, ResponseSender};
use super::QUEUE_CAPACITY;
use crate::dialer::Dialer;
use crate::frame::{self, Kind};
use crate::message::Message;
use crate::socket::IO_TIMEOUT_MS;
use crate::traffic;

/// Timeout for establishing a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Initial backoff after a failure to connect, in milliseconds; it doubles with each further failure up to the maximum.
const INITIAL_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 150;
/// The id of a client's first request.
const FIRST_REQUEST_ID: u64 = 1;

/// A client of one peer: one connection, opened when there is something to send and reopened after it breaks.
pub struct PeerClient {
    addr: String,
    outbound: mpsc::Sender<OutboundFrame>,
    budget: Arc<BulkBudget>,
    next_id: AtomicU64,
}

/// A frame to send.
struct OutboundFrame {
    frame: Bytes,
    /// For a request: its id, and the channel for its response.
    response: Option<(u64, ResponseSender)>,
}

impl PeerClient {
    /// Starts the client's task, which opens connections with `dialer`. Notifications that the peer sends on the
    /// connection go to `notifications`.
    pub fn start(dialer: Dialer, addr: String, notifications: Option<mpsc::Sender<Message>>) -> Self {
        let (outbound, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let budget = Arc::<BulkBudget>::default();
        let queue = OutboundQueue { receiver, budget: budget.clone() };
        tokio::spawn(run(dialer, addr.clone(), queue, notifications));
        PeerClient { addr, outbound, budget, next_id: AtomicU64::new(FIRST_REQUEST_ID) }
    }

    /// Returns the peer's address.
    pub fn addr(&self) -> &str {
        &self.addr
    }

    /// Sends a request and waits for its response. Returns `None` if none arrived within `timeout_ms` milliseconds, for
    /// whatever reason: the peer may have processed the request, but one that is still queued is never sent.
    pub async fn call(&self, message: Message, timeout_ms: u64) -> Option<Message> {
        let (sender, response) = oneshot::channel();
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let frame = frame::encode(Kind::Request, id, &message).ok()?;
        let request = OutboundFrame { frame: frame.into(), response: Some((id, sender)) };
        if !self.enqueue(request) {
            return None;
        }
        time::timeout(Duration::from_millis(timeout_ms), response).await.ok()?.ok()
    }

    /// Sends a message that expects no response. Returns false if it was dropped before it was sent.
    pub fn notify(&self, message: Message) -> bool {
        frame::encode(Kind::Notification, 0, &message).is_ok_and(|frame| self.notify_frame(frame.into()))
    }

    /// Sends an encoded notification, which many peers can share without copies. Returns false if it was dropped before
    /// it was sent.
    pub fn notify_frame(&self, frame: Bytes) -> bool {
        self.enqueue(OutboundFrame { frame, response: None })
    }

    fn enqueue(&self, outbound: OutboundFrame) -> bool {
        let len = outbound.frame.len();
        if !self.budget.try_admit(len) {
            traffic::record_dropped();
            return false;
        }
        let queued = self.outbound.try_send(outbound).is_ok();
        if !queued {
            self.budget.release(len);
            traffic::record_dropped();
        }
        queued
    }
}

/// The frames queued for the connection.
struct OutboundQueue {
    receiver: Receiver<OutboundFrame>,
    budget: Arc<BulkBudget>,
}

impl OutboundQueue {
    /// Waits for the next frame. Returns `None` once the client was dropped.
    ///
    /// Cancel safe: a frame is either returned or stays queued.
    async fn next(&mut self) -> Option<OutboundFrame> {
        let outbound = self.receiver.recv().await?;
        self.budget.release(outbound.frame.len());
        Some(outbound)
    }

    /// Drops all queued frames.
    fn clear(&mut self) {
        while let Ok(outbound) = self.receiver.try_recv() {
            self.budget.release(outbound.frame.len());
        }
    }
}

/// Connects whenever there is something to send. Returns once the client is dropped.
async fn run(dialer: Dialer, addr: String, mut queue: OutboundQueue, notifications: Option<mpsc::Sender<Message>>) {
    let mut first_frame: Option<OutboundFrame> = None;
    let mut backoff_ms = INITIAL_BACKOFF_MS;
    loop {
        if first_frame.is_none() {
            let Some(outbound) = queue.next().await else { return };
            first_frame = Some(outbound);
        }
        let Ok(stream) = dialer.connect(&addr, CONNECT_TIMEOUT_MS, IO_TIMEOUT_MS).await else {
            // Fails the queued requests at once, so that their callers can try another peer.
            first_frame = None;
            queue.clear();
            time::sleep(Duration::from_millis(backoff_ms)).await;
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            continue;
        };
        backoff_ms = INITIAL_BACKOFF_MS;
        match run_connection(stream, first_frame.take(), &mut queue, &notifications).await {
            EndReason::ConnectionBroke => {}
            EndReason::ClientDropped => return,
        }
    }
}

/// Why a connection ended.
enum EndReason {
    ConnectionBroke,
    ClientDropped,
}

/// Sends queued frames until the connection breaks or the client is dropped, then fails all pending requests.
async fn run_connection(
    stream: TcpStream,
    first_frame: Option<OutboundFrame>,
    queue: &mut OutboundQueue,
    notifications: &Option<mpsc::Sender<Message>>,
) -> EndReason {
    let (read, write) = stream.into_split();
    let pending = Arc::new(PendingResponses::default());
    let (alive, closed) = oneshot::channel::<()>();
    let reader = tokio::spawn(receive(read, pending.clone(), notifications.clone(), alive));
    let end_reason = send(write, first_frame, queue, &pending, closed).await;
    reader.abort();
    pending.fail_all();
    end_reason
}

/// Dispatches the peer's messages until the connection ends; dropping `alive` notifies the sending side.
async fn receive(
    mut read: OwnedReadHalf,
    pending: Arc<PendingResponses>,
    notifications: Option<mpsc::Sender<Message>>,
    alive: oneshot::Sender<()>,
) {
    while let Some(ReceivedFrame { header, message, .. }) = read_frame(&mut read, None).await {
        if header.kind == Kind::Response {
            pending.complete(header.id, message);
            continue;
        }
        if let Some(notifications) = &notifications {
            let _ = notifications.try_send(message);
        }
    }
    pending.fail_all();
    drop(alive);
}

async fn send(
    mut write: OwnedWriteHalf,
    mut first_frame: Option<OutboundFrame>,
    queue: &mut OutboundQueue,
    pending: &PendingResponses,
    mut closed: oneshot::Receiver<()>,
) -> EndReason {
    loop {
        let outbound = match first_frame.take() {
            Some(outbound) => outbound,
            // Once this connection has closed, further frames stay queued for the next one.
            None => tokio::select! {
                biased;
                _ = &mut closed => return EndReason::ConnectionBroke,
                outbound = queue.next() => match outbound {
                    Some(outbound) => outbound,
                    None => return EndReason::ClientDropped,
                },
            },
        };
        if outbound.response.as_ref().is_some_and(|(_, sender)| sender.is_closed()) {
            // The caller has given up and may have tried another peer.
            continue;
        }
        if let Some((id, sender)) = outbound.response {
            pending.insert(id, sender);
        }
        if write_frame(&mut write, &outbound.frame).await.is_none() {
            return EndReason::ConnectionBroke;
        }
    }
}
