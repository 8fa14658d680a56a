//! The routers that subscribed to this controller, and what is known to have reached each of them.

use std::collections::BTreeMap;
use std::mem;

use kernel::hashing;
use parking_lot::Mutex;
use protocol::link::Responder;
use protocol::message::Message;

/// A router that renews its lease at this controller.
///
/// Invariant: the versions are those that were handed to its connection or that it reported in its last renewal, so it never
/// gets an older version.
pub struct Subscriber {
    /// The way back on the connection over which it last renewed.
    pub responder: Responder,
    /// The router's zone.
    pub zone: String,
    /// Tells this run of the router from others.
    pub incarnation: u64,
    /// The list of controllers that it was sent last.
    pub sent_controllers: Option<SentControllers>,
    /// The revision of the configuration that it has.
    pub config_revision: u64,
    /// A message for it was dropped: nothing more is pushed before it renews and reports what it has.
    pub is_behind: bool,
    /// The versions of staleness limits, by key, that it confirmed in its last renewal.
    pub confirmed_limits: BTreeMap<String, u64>,
    /// When its lease ends, in ms of the steady clock.
    pub lease_expires_at: u64,
    /// The newest version of messages that it reads.
    pub protocol_version: u64,
    /// The versions of evacuations by zone that it has, and under hidden keys those of limits and rollouts.
    pub evacuation_versions: BTreeMap<String, u64>,
    /// The versions (term, sequence) of endpoint lists by zone that it has, and under hidden keys those of other lists.
    pub list_versions: BTreeMap<String, (u64, u64)>,
}

/// A list of controllers that a subscriber was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentControllers {
    /// Tells this list from others.
    pub digest: u64,
    /// When it was sent, in ms of the steady clock.
    pub at: u64,
}

/// An unchanged list of controllers is sent again after this time: what was handed to a connection may be lost with it.
const CONTROLLERS_RESENT_AFTER_MS: u64 = 4000;

impl Subscriber {
    /// Returns whether the subscriber is to be sent this list of controllers, and notes that it is.
    pub fn needs_controllers(&mut self, controllers: &[String], now: u64) -> bool {
        let digest = hashing::hash(controllers.join(" ").as_bytes());
        let is_recent = |sent: SentControllers| sent.digest == digest && now < sent.at + CONTROLLERS_RESENT_AFTER_MS;
        if self.sent_controllers.is_some_and(is_recent) {
            return false;
        }
        self.sent_controllers = Some(SentControllers { digest, at: now });
        true
    }

    /// Sends a message and returns whether it was handed to the connection. One that is dropped leaves the subscriber behind.
    pub fn send(&mut self, message: &Message) -> bool {
        let sent = self.responder.notify(message);
        self.is_behind |= !sent;
        sent
    }
}

/// The subscribers by node name.
#[derive(Default)]
pub struct SubscriberTable {
    /// By node name.
    pub list: BTreeMap<String, Subscriber>,
}

impl SubscriberTable {
    /// Forgets subscribers whose connection is gone, once their leases have expired: a lease holds without the connection
    /// over which it was given.
    pub fn forget_lapsed(&mut self, now: u64) {
        self.list.retain(|_, subscriber| subscriber.lease_expires_at > now || !subscriber.responder.is_closed());
    }

    /// Returns how many subscribers hold a lease, and how many of them have confirmed a version of a limit.
    pub fn confirmations(&self, key: &str, version: u64, now: u64) -> (u32, u32) {
        let live = self.list.values().filter(|subscriber| subscriber.lease_expires_at > now);
        let has_confirmed = |subscriber: &Subscriber| {
            subscriber.confirmed_limits.get(key).is_some_and(|confirmed| *confirmed >= version)
        };
        live.fold((0, 0), |(all, confirmed), subscriber| (all + 1, confirmed + u32::from(has_confirmed(subscriber))))
    }
}

/// The subscribers, shared by all parts of the process.
#[derive(Default)]
pub struct Subscribers(Mutex<SubscriberTable>);

impl Subscribers {
    /// Returns the list of controllers that this run of a router was sent last.
    pub fn sent_controllers(&self, node: &str, incarnation: u64) -> Option<SentControllers> {
        let table = self.0.lock();
        let subscriber = table.list.get(node).filter(|subscriber| subscriber.incarnation == incarnation)?;
        subscriber.sent_controllers
    }

    /// Keeps what was just sent to a router and until when it holds its lease.
    pub fn insert(&self, node: String, subscriber: Subscriber) {
        self.0.lock().list.insert(node, subscriber);
    }

    /// Takes all subscribers out, to send to each without holding the lock. Whoever renews meanwhile is inserted anew.
    pub fn take_all(&self) -> BTreeMap<String, Subscriber> {
        mem::take(&mut self.0.lock().list)
    }

    /// Puts subscribers back that were taken out, except those that renewed meanwhile.
    pub fn restore(&self, list: BTreeMap<String, Subscriber>, now: u64) {
        let mut table = self.0.lock();
        for (node, subscriber) in list {
            table.list.entry(node).or_insert(subscriber);
        }
        table.forget_lapsed(now);
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
