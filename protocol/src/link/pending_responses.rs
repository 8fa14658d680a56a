//! Requests on one connection that await their responses.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use tokio::sync::oneshot;

use crate::message::Message;

/// The channel for the response to one request.
pub(super) type ResponseSender = oneshot::Sender<Message>;

/// The pending requests by frame id, shared by the tasks that write and read a connection. Invariant: holds only
/// requests whose frame was passed to this connection.
#[derive(Default)]
pub(super) struct PendingResponses {
    senders: Mutex<HashMap<u64, ResponseSender>>,
}

impl PendingResponses {
    /// Adds a request, and removes those whose callers have given up.
    pub(super) fn insert(&self, id: u64, sender: ResponseSender) {
        let mut senders = self.lock();
        senders.retain(|_, pending| !pending.is_closed());
        senders.insert(id, sender);
    }

    /// Passes a response to its caller. Ignores one without a pending request: a duplicate, or one that arrived too
    /// late.
    pub(super) fn complete(&self, id: u64, response: Message) {
        let sender = self.lock().remove(&id);
        if let Some(sender) = sender {
            let _ = sender.send(response);
        }
    }

    /// Fails all pending requests at once.
    pub(super) fn fail_all(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, ResponseSender>> {
        self.senders.lock().expect("no holder of this lock panics")
    }
}
