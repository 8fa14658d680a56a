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
    owner: String,
    peer: Option<Arc<PeerClient>>,
    consecutive_timeouts: u32,
    backoff_until_ms: u64,
    dropped_registrations: u32,
    /// The holder may know only the first version: when it falls silent the other form is tried.
    uses_first_version: bool,
}

/// What the catalog told.
pub struct LookupResult {
    pub owners: Vec<Vec<String>>,
    pub loads: Vec<EngineLoad>,
}

const RESPONSE_TIMEOUT_MS: u64 = 40;
const BACKOFF_MS: u64 = 600;

impl CatalogClient {
    /// True when the duty has changed hands: what is known here must be registered anew.
    pub fn set_owner(&self, epoch: u64, owner: &str, port: u16) -> bool {
        let mut inner = self.inner.lock();
        if epoch <= inner.epoch || owner.is_empty() {
            return false;
        }
        let address = format!("{owner}:{port}");
        inner.epoch = epoch;
        if inner.owner != owner {
            inner.owner = owner.into();
            inner.peer = Some(Arc::new(PeerClient::start(address, None)));
        }
        inner.consecutive_timeouts = 0;
        inner.backoff_until_ms = 0;
        inner.uses_first_version = false;
        true
    }

    fn peer(&self, now: u64) -> Option<(u64, Arc<PeerClient>)> {
        let inner = self.inner.lock();
        if now < inner.backoff_until_ms {
            return None;
        }
        Some((inner.epoch, inner.peer.clone()?))
    }

    fn record_response(&self, answered: bool) {
        let mut inner = self.inner.lock();
        inner.consecutive_timeouts = if answered { 0 } else { inner.consecutive_timeouts + 1 };
        if inner.consecutive_timeouts >= 2 {
            inner.uses_first_version = !inner.uses_first_version;
            inner.backoff_until_ms = clock::now() + BACKOFF_MS;
        }
    }

    /// The owners of each key asked, and how pressed they and the sample are; None: no answer in time.
    pub async fn look_up(&self, keys: &[u64], sample: Vec<u64>) -> Option<LookupResult> {
        let (epoch, peer) = self.peer(clock::now())?;
        let uses_first_version = self.inner.lock().uses_first_version;
        let message = match uses_first_version {
            true => Message::OwnerQuery(Box::new((epoch, keys.to_vec()))),
            false => Message::PrefixLookup(Box::new(PrefixLookup { epoch, keys: keys.to_vec(), sample })),
        };
        let response = peer.call(message, RESPONSE_TIMEOUT_MS).await;
        self.record_response(response.is_some());
        match response? {
            Message::Owners(found) if found.0 == epoch => Some(LookupResult { owners: found.1, loads: Vec::new() }),
            Message::PrefixLookupResponse(found) if found.epoch == epoch => {
                Some(LookupResult { owners: found.owners, loads: found.list })
            }
            _ => None,
        }
    }

    /// Fire and forget; what can't even be sent is counted and told by the next flush.
    pub fn register(&self, registrations: Vec<Record>, loads: Vec<EngineLoad>) {
        let count = registrations.len() as u32;
        let uses_first_version = self.inner.lock().uses_first_version;
        let message = |epoch| match uses_first_version {
            true => Message::RegisterOwners(Box::new((epoch, registrations))),
            false => Message::PrefixRegistration(Box::new(PrefixRegistration { epoch, owners: registrations, loads })),
        };
        let sent = match self.peer(clock::now()) {
            Some((epoch, peer)) => peer.notify(message(epoch)),
            None => false,
        };
        if !sent {
            self.inner.lock().dropped_registrations += count;
        }
    }

    /// The barrier before a hand-over: all registrations before it are delivered, or counted here.
    pub async fn flush(&self, sent: u32) -> u32 {
        let dropped_before = mem::take(&mut self.inner.lock().dropped_registrations);
        let Some((epoch, peer)) = self.peer(clock::now()) else { return dropped_before };
        let response = peer.call(Message::Flush(Box::new((epoch, sent))), RESPONSE_TIMEOUT_MS).await;
        self.record_response(response.is_some());
        match response {
            Some(Message::Flushed(flushed)) if flushed.0 == epoch => dropped_before + flushed.1,
            _ => dropped_before + sent,
        }
    }
}
