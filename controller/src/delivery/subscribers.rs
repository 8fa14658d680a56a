//! The routers that subscribe to this controller, and the versions of state that each is known to have.

use std::collections::BTreeMap;
use std::mem;

use kernel::hashing;
use parking_lot::Mutex;
use protocol::link::Responder;
use protocol::message::Message;

/// A router that renews its lease at this controller.
///
/// Invariant: the versions were handed to its connection or reported in its last renewal, so it is never sent an older
/// version.
pub struct Subscriber {
    /// Sends messages on the connection of its last renewal.
    pub responder: Responder,
    /// The router's zone.
    pub zone: String,
    /// Identifies this run of the router's process.
    pub incarnation: u64,
    /// The last list of controllers that it was sent.
    pub sent_controllers: Option<SentControllers>,
    /// The revision of the configuration that it has.
    pub config_revision: u64,
    /// Whether a message for it was dropped: nothing is pushed until it renews and reports the versions that it has.
    pub is_behind: bool,
    /// The versions of staleness limits, by key, that it confirmed in its last renewal.
    pub confirmed_limits: BTreeMap<String, u64>,
    /// When its lease expires, in ms of the monotonic clock.
    pub lease_expires_at: u64,
    /// The newest protocol version that it reads.
    pub protocol_version: u64,
    /// The versions of evacuations that it has, by zone, and under hidden keys those of limits and rollouts.
    pub evacuation_versions: BTreeMap<String, u64>,
    /// The versions (term, sequence) of endpoint lists that it has, by zone, and under hidden keys those of other
    /// lists.
    pub list_versions: BTreeMap<String, (u64, u64)>,
}

/// A list of controllers that a subscriber was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentControllers {
    /// The digest of the list.
    pub digest: u64,
    /// When it was sent, in ms of the monotonic clock.
    pub at: u64,
}

/// The interval after which an unchanged list of controllers is resent, in ms: a message that was handed to a
/// connection may be lost with it.
const CONTROLLERS_RESEND_INTERVAL_MS: u64 = 4000;

impl Subscriber {
    /// Returns whether this list of controllers must be sent to the subscriber, and if so records it as sent.
    pub fn needs_controllers(&mut self, controllers: &[String], now: u64) -> bool {
        let digest = hashing::hash(controllers.join(" ").as_bytes());
        let is_recent = |sent: SentControllers| sent.digest == digest && now < sent.at + CONTROLLERS_RESEND_INTERVAL_MS;
        if self.sent_controllers.is_some_and(is_recent) {
            return false;
        }
        self.sent_controllers = Some(SentControllers { digest, at: now });
        true
    }

    /// Sends a message and returns whether it was handed to the connection. A dropped message marks the subscriber as
    /// behind.
    pub fn send(&mut self, message: &Message) -> bool {
        let sent = self.responder.notify(message);
        self.is_behind |= !sent;
        sent
    }
}

/// The table of subscribers.
#[derive(Default)]
pub struct SubscriberTable {
    /// The subscribers by node name.
    pub list: BTreeMap<String, Subscriber>,
}

impl SubscriberTable {
    /// Removes disconnected subscribers whose leases have expired: a lease outlives the connection over which it was
    /// granted.
    pub fn remove_expired(&mut self, now: u64) {
        self.list.retain(|_, subscriber| subscriber.lease_expires_at > now || !subscriber.responder.is_closed());
    }

    /// Returns how many subscribers hold a lease, and how many of them have confirmed a version of a limit.
    pub fn confirmations(&self, key: &str, version: u64, now: u64) -> (u32, u32) {
        let leased = self.list.values().filter(|subscriber| subscriber.lease_expires_at > now);
        let has_confirmed = |subscriber: &Subscriber| {
            subscriber.confirmed_limits.get(key).is_some_and(|confirmed| *confirmed >= version)
        };
        leased.fold((0, 0), |(total, confirmed), subscriber| {
            (total + 1, confirmed + u32::from(has_confirmed(subscriber)))
        })
    }
}

/// The table of subscribers, shared across the process.
#[derive(Default)]
pub struct Subscribers(Mutex<SubscriberTable>);

impl Subscribers {
    /// Returns the last list of controllers that this run of a router was sent.
    pub fn sent_controllers(&self, node: &str, incarnation: u64) -> Option<SentControllers> {
        let table = self.0.lock();
        let subscriber = table.list.get(node).filter(|subscriber| subscriber.incarnation == incarnation)?;
        subscriber.sent_controllers
    }

    /// Returns the node names of the subscribers in a zone.
    pub fn nodes_in(&self, zone: &str) -> Vec<String> {
        let table = self.0.lock();
        table.list.iter().filter(|(_, subscriber)| subscriber.zone == zone).map(|(node, _)| node.clone()).collect()
    }

    /// Inserts or replaces a subscriber.
    pub fn insert(&self, node: String, subscriber: Subscriber) {
        self.0.lock().list.insert(node, subscriber);
    }

    /// Takes all subscribers out of the table, to send to each without holding the lock. A router that renews meanwhile
    /// is inserted again.
    pub fn take_all(&self) -> BTreeMap<String, Subscriber> {
        mem::take(&mut self.0.lock().list)
    }

    /// Puts back the subscribers that were taken out, except those that renewed meanwhile.
    pub fn restore(&self, list: BTreeMap<String, Subscriber>, now: u64) {
        let mut table = self.0.lock();
        for (node, subscriber) in list {
            table.list.entry(node).or_insert(subscriber);
        }
        table.remove_expired(now);
    }

    /// Sends a message to all subscribers.
    pub fn notify_all(&self, message: &Message) {
        for subscriber in self.0.lock().list.values() {
            subscriber.responder.notify(message);
        }
    }

    /// Returns how many subscribers hold a lease, and how many of them have confirmed a version of a limit.
    pub fn confirmations(&self, key: &str, version: u64, now: u64) -> (u32, u32) {
        self.0.lock().confirmations(key, version, now)
    }

    /// Returns how many subscribers hold a lease.
    pub fn lease_count(&self, now: u64) -> usize {
        self.0.lock().list.values().filter(|subscriber| subscriber.lease_expires_at > now).count()
    }

    /// Returns the revision of the configuration that each subscriber has, by node name.
    pub fn config_revisions(&self) -> BTreeMap<String, u64> {
        self.0.lock().list.iter().map(|(node, subscriber)| (node.clone(), subscriber.config_revision)).collect()
    }
}

#[cfg(test)]
#[path = "subscribers_tests.rs"]
mod tests;
