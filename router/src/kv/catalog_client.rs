//! The router's client of the prefix catalog, which one controller runs at a time.
//!
//! The catalog is only an optimization: calls time out early, and a request is also served without a response.

use std::mem;
use std::sync::Arc;

use kernel::clock;
use parking_lot::Mutex;
use protocol::link::PeerClient;
use protocol::message::{EngineLoad, Message, PrefixLookup, PrefixRegistration, Record};
use protocol::Dialer;

/// Looks up and registers the owners of prefixes at the controller that runs the catalog.
///
/// Invariant: each message carries the epoch of the catalog's owner for which it is meant; a response from another
/// epoch is ignored.
#[derive(Default)]
pub struct CatalogClient {
    inner: Mutex<Inner>,
}

/// The state behind the lock, which is never held over an await.
#[derive(Default)]
struct Inner {
    /// The epoch of the owner; 0 before the first owner is known.
    epoch: u64,
    /// The address of the controller that runs the catalog.
    owner: String,
    peer: Option<Arc<PeerClient>>,
    consecutive_timeouts: u32,
    /// In milliseconds of the steady clock.
    backoff_until_ms: u64,
    /// Registrations that could not be sent since the last flush.
    dropped_registrations: u32,
    /// Whether messages of the first protocol version are used. An owner that does not respond may support only the
    /// other version, so the client switches versions with each backoff.
    uses_first_version: bool,
}

/// The catalog's response to a lookup.
pub struct LookupResult {
    /// For each key the engines that hold its prefix.
    pub owners: Vec<Vec<String>>,
    /// Last reported loads of those engines and of the sample.
    pub loads: Vec<EngineLoad>,
}

/// Timeout for a response of the catalog, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 40;
/// Backoff after consecutive timeouts, in milliseconds.
const BACKOFF_MS: u64 = 600;
/// Number of consecutive timeouts that start a backoff.
const TIMEOUTS_BEFORE_BACKOFF: u32 = 2;

impl CatalogClient {
    /// Sets the owner of the catalog. Returns true if its epoch is new: all registrations have to be sent to it again.
    pub fn set_owner(&self, epoch: u64, owner: &str, dialer: Dialer, port: u16) -> bool {
        let mut inner = self.inner.lock();
        if epoch <= inner.epoch || owner.is_empty() {
            return false;
        }
        let address = format!("{owner}:{port}");
        inner.epoch = epoch;
        if inner.owner != owner {
            inner.owner = owner.into();
            inner.peer = Some(Arc::new(PeerClient::start(dialer, address, None)));
        }
        inner.consecutive_timeouts = 0;
        inner.backoff_until_ms = 0;
        inner.uses_first_version = false;
        true
    }

    /// Returns the epoch and the connection of the owner, unless it is unknown or in backoff.
    fn peer(&self, now: u64) -> Option<(u64, Arc<PeerClient>)> {
        let inner = self.inner.lock();
        if now < inner.backoff_until_ms {
            return None;
        }
        Some((inner.epoch, inner.peer.clone()?))
    }

    /// Records a response or a timeout, and starts a backoff after consecutive timeouts.
    fn record_response(&self, has_responded: bool) {
        let mut inner = self.inner.lock();
        inner.consecutive_timeouts = if has_responded { 0 } else { inner.consecutive_timeouts + 1 };
        if inner.consecutive_timeouts >= TIMEOUTS_BEFORE_BACKOFF {
            inner.uses_first_version = !inner.uses_first_version;
            inner.backoff_until_ms = clock::now() + BACKOFF_MS;
        }
    }

    /// Returns the owners of each key, and the loads of the owners and the sampled engines; `None` without a response
    /// in time.
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

    /// Registers owners without waiting for a response. Registrations that cannot be sent are counted, and the next
    /// flush includes them in its result.
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

    /// Waits until the `sent` preceding registrations are delivered, and returns how many were lost. This is the
    /// barrier between the prefill and the decode phase of a request.
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
