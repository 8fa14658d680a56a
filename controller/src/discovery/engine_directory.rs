//! What is known of engines: endpoint lists, versions of their weights, and versions of their software.

use std::collections::BTreeMap;

use bytes::Bytes;
use load_balancing::{EndpointLists, ObservedVersion};
use parking_lot::Mutex;
use protocol::message::{ChangedEngines, EndpointList, EndpointUpdate, ListVersion, WeightVersions};
use protocol::version_rollout::VersionRollout;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::discovery::list_history::ListHistory;
use crate::discovery::list_repairs::ListRepairs;
use crate::discovery::version_lists::{FirstVersions, ListedEngine, PartitionedEngines};

/// All engines of the fleet as this controller knows them.
///
/// Lock order: endpoint lists, histories, weight versions. The first versions and the repairs are locked without another.
pub struct EngineDirectory {
    endpoint_lists: Mutex<EndpointLists>,
    /// By zone: the latest changes of its list. They follow the lists whenever they are read.
    histories: Mutex<BTreeMap<String, ListHistory>>,
    /// Whose lists are behind.
    repairs: Mutex<ListRepairs>,
    /// By zone, kept only while there are limits on stale weights.
    weight_versions: Mutex<BTreeMap<String, WeightVersions>>,
    /// The version of each service that was there before any rollout.
    first_versions: Mutex<FirstVersions>,
    /// One poll of the platform at a time.
    poll_permit: Semaphore,
}

impl Default for EngineDirectory {
    fn default() -> EngineDirectory {
        EngineDirectory {
            endpoint_lists: Mutex::default(),
            histories: Mutex::default(),
            repairs: Mutex::default(),
            weight_versions: Mutex::default(),
            first_versions: Mutex::default(),
            poll_permit: Semaphore::new(1),
        }
    }
}

impl EngineDirectory {
    /// Returns what `read` makes of the endpoint lists of one moment.
    pub fn read<T>(&self, read: impl FnOnce(&EndpointLists) -> T) -> T {
        read(&self.endpoint_lists.lock())
    }

    /// Changes the endpoint lists under their lock.
    pub fn update<T>(&self, update: impl FnOnce(&mut EndpointLists) -> T) -> T {
        update(&mut self.endpoint_lists.lock())
    }

    /// Takes over a peer's endpoint list. Returns false where it is not newer than the one known.
    pub fn accept(&self, list: &EndpointList) -> bool {
        self.endpoint_lists.lock().update(list)
    }

    /// Takes over a peer's update of an endpoint list. `None`: it does not apply to the list known.
    pub fn apply(&self, update: &EndpointUpdate) -> Option<ChangedEngines> {
        self.endpoint_lists.lock().apply(update)
    }

    /// Calls `visit` with the history of each zone's list, as of now.
    pub fn for_each_history(&self, now: u64, mut visit: impl FnMut(&str, &mut ListHistory)) {
        let endpoint_lists = self.endpoint_lists.lock();
        let mut histories = self.histories.lock();
        for zone in endpoint_lists.iter().map(|list| &list.zone) {
            let Some(list) = endpoint_lists.list(zone) else { continue };
            let history = histories.entry(zone.clone()).or_insert_with(|| ListHistory::new(list.clone(), now));
            history.follow(list, now);
            visit(zone, history);
        }
    }

    /// Returns what brings one that has the version `known` of a zone's list up to date.
    pub fn frames_since(&self, zone: &str, known: Option<ListVersion>, now: u64) -> Vec<Bytes> {
        let mut frames = Vec::new();
        self.for_each_history(now, |name, history| {
            if name == zone {
                frames = history.frames_since(known, now);
            }
        });
        frames
    }

    /// Returns the latest change of a zone's list, or the whole list where no change is known.
    pub fn latest_frame(&self, zone: &str, now: u64) -> Option<Bytes> {
        let mut frame = None;
        self.for_each_history(now, |name, history| {
            if name == zone {
                frame = history.latest_frame(now);
            }
        });
        frame
    }

    /// Notes whether a peer's heartbeat showed it behind, and returns whether this controller is to send what it lacks.
    pub fn is_to_repair(&self, own: &str, peer: &str, is_behind: bool, live: &[String]) -> bool {
        let mut repairs = self.repairs.lock();
        if !is_behind {
            repairs.record_current(peer);
            return false;
        }
        repairs.record_behind(own, peer, live)
    }

    /// Returns which list of a zone is known, to be compared after a poll.
    pub fn known_list(&self, zone: &str) -> ObservedVersion {
        self.endpoint_lists.lock().observed_version(zone)
    }

    /// Returns what `read` makes of the endpoint lists and the weight versions by zone of one moment.
    pub fn read_with_weights<T>(&self, read: impl FnOnce(&EndpointLists, &BTreeMap<String, WeightVersions>) -> T) -> T {
        let endpoint_lists = self.endpoint_lists.lock();
        let weight_versions = self.weight_versions.lock();
        read(&endpoint_lists, &weight_versions)
    }

    /// Calls `visit` for the weight versions of each zone.
    pub fn for_each_weight_versions(&self, visit: impl FnMut((&String, &WeightVersions))) {
        self.weight_versions.lock().iter().for_each(visit);
    }

    /// Returns the weight versions of a zone, none where there are none.
    pub fn weight_versions(&self, zone: &str) -> WeightVersions {
        self.weight_versions.lock().get(zone).cloned().unwrap_or_default()
    }

    /// Takes over the weight versions of a zone. Returns false where they are not newer than those known.
    pub fn accept_weight_versions(&self, list: WeightVersions) -> bool {
        let mut known = self.weight_versions.lock();
        let old = known.get(&list.zone).map(|known| (known.term, known.sequence));
        if old.is_some_and(|(term, sequence)| term == list.term && sequence >= list.sequence) {
            return false;
        }
        known.insert(list.zone.clone(), list);
        true
    }

    /// Divides a zone's engines by the rollouts that are known. With `by_request` a version that nobody has requested gets
    /// nothing.
    pub fn partition(
        &self,
        rollouts: &BTreeMap<String, VersionRollout>,
        list: Vec<ListedEngine>,
        by_request: bool,
    ) -> PartitionedEngines {
        self.first_versions.lock().partition(rollouts, list, by_request)
    }

    /// Waits until no other poll of the platform is under way. None: the process ends.
    pub async fn poll_permit(&self) -> Option<SemaphorePermit<'_>> {
        self.poll_permit.acquire().await.ok()
    }
}
