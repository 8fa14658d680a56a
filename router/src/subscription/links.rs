//! Connections to controllers, and the calls that are under way on them.

use std::collections::BTreeMap;
use std::future;
use std::sync::Arc;

use protocol::link::PeerClient;
use protocol::message::Message;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::task::{AbortHandle, JoinSet};

/// How many pushed messages may wait to be taken in.
const PUSHED_MOST: usize = 256;

/// How a call ended.
pub struct End {
    pub controller: String,
    /// When the call was begun.
    pub sent: u64,
    /// None: no connection, or no answer in its time.
    pub reply: Option<Message>,
    number: u64,
}

/// A connection. `call` is the one that is under way.
struct Link {
    caller: Arc<PeerClient>,
    call: Option<(u64, AbortHandle)>,
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some((_, call)) = &self.call {
            call.abort();
        }
    }
}

/// Invariant: one connection a controller, and at most one call on it.
pub struct Links {
    port: u16,
    open: BTreeMap<String, Link>,
    calls: JoinSet<End>,
    number: u64,
    push: Sender<Message>,
    pushed: Receiver<Message>,
}

/// What comes from controllers.
pub enum Event {
    Ended(End),
    Pushed(Message),
}

impl Links {
    pub fn new(port: u16) -> Links {
        let (push, pushed) = mpsc::channel(PUSHED_MOST);
        Links { port, open: Default::default(), calls: Default::default(), number: 0, push, pushed }
    }

    /// The connection to a controller; it comes up with its first call.
    pub fn caller(&mut self, controller: &str) -> Arc<PeerClient> {
        let (port, push) = (self.port, &self.push);
        let connect = || {
            let caller = PeerClient::start(format!("{controller}:{port}"), Some(push.clone()));
            Link { caller: Arc::new(caller), call: None }
        };
        self.open.entry(controller.into()).or_insert_with(connect).caller.clone()
    }

    /// Begins a call.
    pub fn call(&mut self, controller: &str, msg: Message, sent: u64, deadline_ms: u64) {
        let caller = self.caller(controller);
        self.number += 1;
        let (number, controller) = (self.number, controller.to_string());
        let name = controller.clone();
        let handle = self.calls.spawn(async move {
            let reply = caller.call(msg, deadline_ms).await;
            End { controller: name, sent, reply, number }
        });
        if let Some(link) = self.open.get_mut(&controller) {
            link.call = Some((number, handle));
        }
    }

    /// The next thing that comes. What was pushed before an answer comes before it.
    pub async fn next(&mut self) -> Event {
        loop {
            tokio::select! {
                biased;
                Some(msg) = self.pushed.recv() => return Event::Pushed(msg),
                Some(ended) = self.calls.join_next() => {
                    let Ok(end) = ended else { continue };
                    let link = self.open.get_mut(&end.controller);
                    let current = |link: &&mut Link| link.call.as_ref().is_some_and(|call| call.0 == end.number);
                    let Some(link) = link.filter(current) else { continue };
                    link.call = None;
                    return Event::Ended(end);
                }
                else => future::pending::<()>().await,
            }
        }
    }

    /// After a message was taken: may others have been dropped because too many waited?
    pub fn may_have_dropped(&self) -> bool {
        self.pushed.capacity() <= 1
    }

    /// Closes the connections that are not to be kept; a call that is under way there ends without a report.
    pub fn keep(&mut self, kept: impl Fn(&str) -> bool) {
        self.open.retain(|controller, _| kept(controller));
    }

    /// Closes a connection on which a call failed: the next call dials anew.
    pub fn close(&mut self, controller: &str) {
        self.open.remove(controller);
    }
}

#[cfg(test)]
#[path = "links_tests.rs"]
mod tests;
