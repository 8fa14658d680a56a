//! The catalog as a router uses it: short waits, and nothing depends on its answer.

use std::mem;
use std::sync::Arc;

use kernel::clock;
use parking_lot::Mutex;
use protocol::link::PeerClient;
use protocol::message::{EngineLoad, Message, PrefixLookup, PrefixRegistration, Record};

/// Invariant: what is sent carries the epoch it was meant for; an answer under a lower epoch than
/// the one known counts for nothing.
#[derive(Default)]
pub struct CatalogClient {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    epoch: u64,
    holder: String,
    peer: Option<Arc<PeerClient>>,
    misses: u32,
    rest_until: u64,
    drops: u32,
    /// The holder may know only the first version: when it falls silent the other form is tried.
    plain: bool,
}

/// What the catalog told.
pub struct LookupResult {
    pub owners: Vec<Vec<String>>,
    pub loads: Vec<EngineLoad>,
}

const WAIT_MS: u64 = 40;
const REST_MS: u64 = 600;

impl CatalogClient {
    /// True when the duty has changed hands: what is known here must be registered anew.
    pub fn set_owner(&self, epoch: u64, holder: &str, port: u16) -> bool {
        let mut inner = self.inner.lock();
        if epoch <= inner.epoch || holder.is_empty() {
            return false;
        }
        let addr = format!("{holder}:{port}");
        inner.epoch = epoch;
        if inner.holder != holder {
            inner.holder = holder.into();
            inner.peer = Some(Arc::new(PeerClient::start(addr, None)));
        }
        inner.misses = 0;
        inner.rest_until = 0;
        inner.plain = false;
        true
    }

    fn peer(&self, now: u64) -> Option<(u64, Arc<PeerClient>)> {
        let inner = self.inner.lock();
        if now < inner.rest_until {
            return None;
        }
        Some((inner.epoch, inner.peer.clone()?))
    }

    fn heard(&self, good: bool) {
        let mut inner = self.inner.lock();
        inner.misses = if good { 0 } else { inner.misses + 1 };
        if inner.misses >= 2 {
            inner.plain = !inner.plain;
            inner.rest_until = clock::now() + REST_MS;
        }
    }

    /// The owners of each key asked, and how pressed they and the sample are; None: no answer in time.
    pub async fn look_up(&self, keys: &[u64], sample: Vec<u64>) -> Option<LookupResult> {
        let (epoch, peer) = self.peer(clock::now())?;
        let plain = self.inner.lock().plain;
        let msg = match plain {
            true => Message::OwnerQuery(Box::new((epoch, keys.to_vec()))),
            false => Message::PrefixLookup(Box::new(PrefixLookup { epoch, keys: keys.to_vec(), sample })),
        };
        let reply = peer.call(msg, WAIT_MS).await;
        self.heard(reply.is_some());
        match reply? {
            Message::Owners(found) if found.0 == epoch => Some(LookupResult { owners: found.1, loads: Vec::new() }),
            Message::PrefixLookupResponse(found) if found.epoch == epoch => {
                Some(LookupResult { owners: found.owners, loads: found.list })
            }
            _ => None,
        }
    }

    /// Fire and forget; what can't even be sent is counted and told by the next flush.
    pub fn register(&self, list: Vec<Record>, told: Vec<EngineLoad>) {
        let count = list.len() as u32;
        let plain = self.inner.lock().plain;
        let msg = |epoch| match plain {
            true => Message::RegisterOwners(Box::new((epoch, list))),
            false => Message::PrefixRegistration(Box::new(PrefixRegistration { epoch, owners: list, loads: told })),
        };
        let sent = match self.peer(clock::now()) {
            Some((epoch, peer)) => peer.notify(msg(epoch)),
            None => false,
        };
        if !sent {
            self.inner.lock().drops += count;
        }
    }

    /// The barrier before a hand-over: all registrations before it are delivered, or counted here.
    pub async fn flush(&self, sent: u32) -> u32 {
        let early = mem::take(&mut self.inner.lock().drops);
        let Some((epoch, peer)) = self.peer(clock::now()) else { return early };
        let reply = peer.call(Message::Flush(Box::new((epoch, sent))), WAIT_MS).await;
        self.heard(reply.is_some());
        match reply {
            Some(Message::Flushed(flushed)) if flushed.0 == epoch => early + flushed.1,
            _ => early + sent,
        }
    }
}
