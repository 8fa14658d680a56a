//! Requests on one connection that wait for their responses.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use tokio::sync::oneshot;

use crate::message::Message;

/// Where the response to one request goes.
pub(super) type ResponseSender = oneshot::Sender<Message>;

/// The requests that wait, by the id of their frame. Shared by the task that writes a connection and the one that reads
/// it. Invariant: holds only requests whose frame was handed to this connection.
#[derive(Default)]
pub(super) struct PendingResponses {
    senders: Mutex<HashMap<u64, ResponseSender>>,
}

impl PendingResponses {
    /// Adds a request, and forgets those that nobody waits for any more.
    pub(super) fn insert(&self, id: u64, sender: ResponseSender) {
        let mut senders = self.lock();
        senders.retain(|_, waiting| !waiting.is_closed());
        senders.insert(id, sender);
    }

    /// Hands a response to whoever waits for it. Ignores a response that nobody waits for: it came twice or too late.
    pub(super) fn complete(&self, id: u64, response: Message) {
        let sender = self.lock().remove(&id);
        if let Some(sender) = sender {
            let _ = sender.send(response);
        }
    }

    /// Fails all requests that wait, at once.
    pub(super) fn fail_all(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, ResponseSender>> {
        self.senders.lock().expect("no holder of this lock panics")
    }
}
