//! Connections to controllers, and the calls in flight on them.

use std::collections::BTreeMap;
use std::future;
use std::sync::Arc;

use protocol::link::PeerClient;
use protocol::message::Message;
use protocol::Dialer;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::task::{AbortHandle, JoinSet};

/// Capacity of the queue of pushed messages that wait to be applied.
const PUSH_QUEUE_CAPACITY: usize = 256;

/// A call that has ended.
pub struct FinishedCall {
    /// The address of the controller that was called.
    pub controller: String,
    /// When the call was started, in milliseconds of the steady clock.
    pub sent_at: u64,
    /// The response. `None`: no connection, or no response before the timeout.
    pub reply: Option<Message>,
    /// Distinguishes this call from earlier ones to the same controller.
    sequence: u64,
}

/// One connection, with the sequence number and the task of the call in flight on it.
struct Link {
    client: Arc<PeerClient>,
    call: Option<(u64, AbortHandle)>,
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some((_, call)) = &self.call {
            call.abort();
        }
    }
}

/// The connections by controller. Invariant: one connection per controller, with at most one call in flight.
pub struct Links {
    dialer: Dialer,
    port: u16,
    open_links: BTreeMap<String, Link>,
    calls: JoinSet<FinishedCall>,
    sequence: u64,
    push_sender: Sender<Message>,
    push_receiver: Receiver<Message>,
}

/// An event on a connection to a controller.
pub enum Event {
    /// A call has ended.
    CallFinished(FinishedCall),
    /// A controller pushed a message.
    Pushed(Message),
}

impl Links {
    /// Returns an empty set of connections to controllers that listen on `port`.
    pub fn new(dialer: Dialer, port: u16) -> Links {
        let (push_sender, push_receiver) = mpsc::channel(PUSH_QUEUE_CAPACITY);
        Links {
            dialer,
            port,
            open_links: Default::default(),
            calls: Default::default(),
            sequence: 0,
            push_sender,
            push_receiver,
        }
    }

    /// Returns the connection to a controller; it is established by the first call.
    pub fn client(&mut self, controller: &str) -> Arc<PeerClient> {
        let (dialer, port, push_sender) = (self.dialer, self.port, &self.push_sender);
        let connect = || {
            let client = PeerClient::start(dialer, format!("{controller}:{port}"), Some(push_sender.clone()));
            Link { client: Arc::new(client), call: None }
        };
        self.open_links.entry(controller.into()).or_insert_with(connect).client.clone()
    }

    /// Starts a call that ends after `timeout_ms` at the latest. `sent_at` is returned in its `FinishedCall`.
    pub fn call(&mut self, controller: &str, msg: Message, sent_at: u64, timeout_ms: u64) {
        let client = self.client(controller);
        self.sequence += 1;
        let (sequence, controller) = (self.sequence, controller.to_string());
        let name = controller.clone();
        let handle = self.calls.spawn(async move {
            let reply = client.call(msg, timeout_ms).await;
            FinishedCall { controller: name, sent_at, reply, sequence }
        });
        if let Some(link) = self.open_links.get_mut(&controller) {
            link.call = Some((sequence, handle));
        }
    }

    /// Returns the next event. A message that was pushed before a response is returned before that response.
    pub async fn next_event(&mut self) -> Event {
        loop {
            tokio::select! {
                biased;
                Some(msg) = self.push_receiver.recv() => return Event::Pushed(msg),
                Some(ended) = self.calls.join_next() => {
                    let Ok(finished) = ended else { continue };
                    if self.end_call(&finished) {
                        return Event::CallFinished(finished);
                    }
                }
                else => future::pending::<()>().await,
            }
        }
    }

    /// Returns whether a call was still the current one on its connection, and if so marks the connection as free.
    fn end_call(&mut self, finished: &FinishedCall) -> bool {
        let Some(link) = self.open_links.get_mut(&finished.controller) else { return false };
        let is_current = link.call.as_ref().is_some_and(|call| call.0 == finished.sequence);
        if is_current {
            link.call = None;
        }
        is_current
    }

    /// Returns whether pushed messages may have been dropped because the queue was full. To be called after each
    /// `Event::Pushed`.
    pub fn may_have_dropped(&self) -> bool {
        self.push_receiver.capacity() <= 1
    }

    /// Closes the connections for which `keep` returns false. A call in flight on one of them ends without an event.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.open_links.retain(|controller, _| keep(controller));
    }

    /// Closes a connection on which a call failed; the next call opens a new one.
    pub fn close(&mut self, controller: &str) {
        self.open_links.remove(controller);
    }
}

#[cfg(test)]
#[path = "links_tests.rs"]
mod tests;
