//! The routers that follow this controller.

use std::collections::BTreeMap;
use std::mem;

use parking_lot::Mutex;
use protocol::link::Responder;
use protocol::message::Message;

/// Invariant: what it says to have is what was handed to its connection or what it told in its last call;
/// a follower never gets an older version.
pub struct Follower {
    pub mouth: Responder,
    pub zone: String,
    pub config: u64,
    /// Something for it was dropped: nothing more is pushed before it calls again and tells what it has.
    pub behind: bool,
    /// The versions of rules that it told in its last call: what it has confirmed.
    pub rules: BTreeMap<String, u64>,
    /// Until when it holds its lease.
    pub until: u64,
    /// The newest version of messages that it reads.
    pub reads: u64,
    pub closed: BTreeMap<String, u64>,
    pub sheets: BTreeMap<String, (u64, u64)>,
}

impl Follower {
    /// Sends a message; one that is dropped is noted. True: it was handed to the connection.
    pub fn send(&mut self, msg: &Message) -> bool {
        let sent = self.mouth.notify(msg);
        self.behind |= !sent;
        sent
    }
}

/// The followers by node name.
#[derive(Default)]
pub struct Followers {
    pub list: BTreeMap<String, Follower>,
}

impl Followers {
    /// Forgets followers whose connection is gone, once their leases have lapsed: a lease holds without
    /// the connection over which it was given.
    pub fn forget_lapsed(&mut self, now: u64) {
        self.list.retain(|_, follower| follower.until > now || !follower.mouth.is_closed());
    }

    /// How many followers hold a lease, and how many of them have confirmed a rule.
    pub fn confirmations(&self, key: &str, version: u64, now: u64) -> (u32, u32) {
        let live = self.list.values().filter(|follower| follower.until > now);
        let confirmed = |follower: &Follower| follower.rules.get(key).is_some_and(|held| *held >= version);
        live.fold((0, 0), |(all, good), follower| (all + 1, good + u32::from(confirmed(follower))))
    }
}

/// The routers that follow this controller, shared by all parts of the process.
#[derive(Default)]
pub struct Subscribers(Mutex<Followers>);

impl Subscribers {
    /// Keeps what was just sent to a router and until when it holds its lease.
    pub fn insert(&self, node: String, follower: Follower) {
        self.0.lock().list.insert(node, follower);
    }

    /// Takes all followers out, to send to each without holding the lock. Whoever calls again meanwhile is inserted anew.
    pub fn take_all(&self) -> BTreeMap<String, Follower> {
        mem::take(&mut self.0.lock().list)
    }

    /// Puts followers back that were taken out, except those that called again meanwhile.
    pub fn restore(&self, list: BTreeMap<String, Follower>, now: u64) {
        let mut followers = self.0.lock();
        for (node, follower) in list {
            followers.list.entry(node).or_insert(follower);
        }
        followers.forget_lapsed(now);
    }

    /// Sends a message to all followers.
    pub fn notify_all(&self, message: &Message) {
        for follower in self.0.lock().list.values() {
            follower.mouth.notify(message);
        }
    }

    /// Returns how many followers hold a lease, and how many of them have confirmed a rule.
    pub fn confirmations(&self, key: &str, version: u64, now: u64) -> (u32, u32) {
        self.0.lock().confirmations(key, version, now)
    }

    /// Returns how many followers hold a lease.
    pub fn lease_count(&self, now: u64) -> usize {
        self.0.lock().list.values().filter(|follower| follower.until > now).count()
    }

    /// Returns the revision of the configuration that each follower has.
    pub fn config_revisions(&self) -> BTreeMap<String, u64> {
        self.0.lock().list.iter().map(|(node, follower)| (node.clone(), follower.config)).collect()
    }
}

#[cfg(test)]
#[path = "subscribers_tests.rs"]
mod tests;
