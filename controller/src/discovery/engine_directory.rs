//! The engines known to this controller: endpoint lists, weight versions and software versions.

use std::collections::BTreeMap;

use bytes::Bytes;
use load_balancing::{EndpointLists, ObservedVersion};
use parking_lot::Mutex;
use protocol::message::{ChangedEngines, EndpointList, EndpointUpdate, ListVersion, WeightVersions};
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::discovery::list_history::ListHistory;
use crate::discovery::list_repairs::ListRepairs;

/// All engines of the fleet as this controller knows them.
///
/// Lock order: `endpoint_lists`, `histories`, `weight_versions`. `repairs` is never held together with another lock.
pub struct EngineDirectory {
    endpoint_lists: Mutex<EndpointLists>,
    /// The latest changes of each zone's list, by zone. Brought up to date with `endpoint_lists` on every read.
    histories: Mutex<BTreeMap<String, ListHistory>>,
    /// Peers whose lists are out of date.
    repairs: Mutex<ListRepairs>,
    /// Weight versions by zone, kept only while staleness limits exist.
    weight_versions: Mutex<BTreeMap<String, WeightVersions>>,
    /// Allows one poll of the platform at a time.
    poll_permit: Semaphore,
}

impl Default for EngineDirectory {
    fn default() -> EngineDirectory {
        EngineDirectory {
            endpoint_lists: Mutex::default(),
            histories: Mutex::default(),
            repairs: Mutex::default(),
            weight_versions: Mutex::default(),
            poll_permit: Semaphore::new(1),
        }
    }
}

impl EngineDirectory {
    /// Calls `read` with the endpoint lists under their lock and returns its result.
    pub fn read<T>(&self, read: impl FnOnce(&EndpointLists) -> T) -> T {
        read(&self.endpoint_lists.lock())
    }

    /// Calls `update` with the endpoint lists under their lock and returns its result.
    pub fn update<T>(&self, update: impl FnOnce(&mut EndpointLists) -> T) -> T {
        update(&mut self.endpoint_lists.lock())
    }

    /// Stores a peer's endpoint list. Returns false if it is not newer than the stored one.
    pub fn accept(&self, list: &EndpointList, now: u64) -> bool {
        self.endpoint_lists.lock().update(list, now)
    }

    /// Applies a peer's update to an endpoint list. Returns `None` if it does not apply to the stored list.
    pub fn apply(&self, update: &EndpointUpdate, now: u64) -> Option<ChangedEngines> {
        self.endpoint_lists.lock().apply(update, now)
    }

    /// Calls `visit` with the history of each zone's list, brought up to date first.
    pub fn for_each_history(&self, mut visit: impl FnMut(&str, &mut ListHistory)) {
        let endpoint_lists = self.endpoint_lists.lock();
        let mut histories = self.histories.lock();
        for zone in endpoint_lists.iter().map(|list| &list.zone) {
            let Some(list) = endpoint_lists.list(zone) else { continue };
            let Some(cold_spells) = endpoint_lists.cold_spells(zone) else { continue };
            let new_history = || ListHistory::new(list.clone(), cold_spells.clone());
            let history = histories.entry(zone.clone()).or_insert_with(new_history);
            history.follow(list, cold_spells);
            visit(zone, history);
        }
    }

    /// Returns the frames that bring a receiver with version `known` of a zone's list up to date.
    pub fn frames_since(&self, zone: &str, known: Option<ListVersion>, now: u64) -> Vec<Bytes> {
        let mut frames = Vec::new();
        self.for_each_history(|name, history| {
            if name == zone {
                frames = history.frames_since(known, now);
            }
        });
        frames
    }

    /// Returns the latest change of a zone's list, or the full list if no change is kept.
    pub fn latest_frame(&self, zone: &str, now: u64) -> Option<Bytes> {
        let mut frame = None;
        self.for_each_history(|name, history| {
            if name == zone {
                frame = history.latest_frame(now);
            }
        });
        frame
    }

    /// Records whether a peer's heartbeat showed outdated lists, and returns whether this controller should send the
    /// missing changes.
    pub fn should_repair(&self, own: &str, peer: &str, is_behind: bool, live: &[String]) -> bool {
        let mut repairs = self.repairs.lock();
        if !is_behind {
            repairs.record_current(peer);
            return false;
        }
        repairs.record_behind(own, peer, live)
    }

    /// Returns the current version of a zone's list. A poller compares it after the poll to detect a concurrent update.
    pub fn known_list(&self, zone: &str) -> ObservedVersion {
        self.endpoint_lists.lock().observed_version(zone)
    }

    /// Calls `read` with the endpoint lists and the weight versions by zone, both locked, and returns its result.
    pub fn read_with_weights<T>(&self, read: impl FnOnce(&EndpointLists, &BTreeMap<String, WeightVersions>) -> T) -> T {
        let endpoint_lists = self.endpoint_lists.lock();
        let weight_versions = self.weight_versions.lock();
        read(&endpoint_lists, &weight_versions)
    }

    /// Calls `visit` with the weight versions of each zone.
    pub fn for_each_weight_versions(&self, visit: impl FnMut((&String, &WeightVersions))) {
        self.weight_versions.lock().iter().for_each(visit);
    }

    /// Returns the weight versions of a zone; empty if none are known.
    pub fn weight_versions(&self, zone: &str) -> WeightVersions {
        self.weight_versions.lock().get(zone).cloned().unwrap_or_default()
    }

    /// Stores the weight versions of a zone. Returns false if they are not newer than the stored ones.
    pub fn accept_weight_versions(&self, list: WeightVersions) -> bool {
        let mut known = self.weight_versions.lock();
        let old = known.get(&list.zone).map(|known| (known.term, known.sequence));
        if old.is_some_and(|(term, sequence)| term == list.term && sequence >= list.sequence) {
            return false;
        }
        known.insert(list.zone.clone(), list);
        true
    }

    /// Waits until no other poll of the platform is running. Returns `None` if the semaphore is closed.
    pub async fn poll_permit(&self) -> Option<SemaphorePermit<'_>> {
        self.poll_permit.acquire().await.ok()
    }
}
