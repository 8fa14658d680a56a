//! Keeps the committed versions of services: records the first one of each service, and its successor once all its
//! engines are gone without a rollout.

use std::collections::{BTreeSet, HashSet};

use kernel::{clock, log_event};
use protocol::stable_version::StableVersion;
use protocol::version_rollout::VersionRollout;
use reqwest::Client;

use crate::controller::Controller;
use crate::discovery::platform_list;
use crate::discovery::version_census::VersionCensus;
use crate::discovery::version_lists::PartitionedEngines;
use crate::event::STABLE_VERSION_RECORDED;
use crate::replication::registers::Decision;

/// Timeout of committing one record, in ms.
const COMMIT_TIMEOUT_MS: u64 = 900;
/// The delay between the pollers of two zones, in ms: they see the same and are not to read all zones at once.
const DELAY_PER_ZONE_MS: u64 = 400;
/// The delay before the second attempt, in ms. It doubles with each further one.
const INITIAL_RETRY_MS: u64 = 500;
/// The maximum delay between two attempts, in ms.
const MAX_RETRY_MS: u64 = 8000;

/// Decides when the poller of one zone reads all zones, because a service that it sees has no version in force.
pub struct CensusSchedule {
    /// How long this poller leaves it to the pollers of other zones, in ms.
    delay_ms: u64,
    /// The time of the next attempt, in ms; `None` while all services are resolved.
    due_at: Option<u64>,
    retry_ms: u64,
}

impl CensusSchedule {
    /// Returns the schedule for the zone at this index of all zones.
    pub fn new(zone_index: usize) -> CensusSchedule {
        CensusSchedule { delay_ms: zone_index as u64 * DELAY_PER_ZONE_MS, due_at: None, retry_ms: INITIAL_RETRY_MS }
    }

    /// Returns whether to read all zones now. `is_needed` tells whether any service is unresolved.
    pub fn is_due(&mut self, is_needed: bool, now: u64) -> bool {
        if !is_needed {
            (self.due_at, self.retry_ms) = (None, INITIAL_RETRY_MS);
            return false;
        }
        if now < *self.due_at.get_or_insert(now + self.delay_ms) {
            return false;
        }
        self.due_at = Some(now + self.retry_ms);
        self.retry_ms = (self.retry_ms * 2).min(MAX_RETRY_MS);
        true
    }
}

/// Returns the services whose version in force is not recorded, or has no engine on any zone's list while another
/// version has some.
pub fn unresolved(controller: &Controller, partitioned: &PartitionedEngines) -> BTreeSet<String> {
    let is_served = |service: &String| {
        controller.engines.read(|lists| {
            let mut engines = lists.iter().flat_map(|list| &list.engines);
            engines.any(|engine| engine.up && engine.service == *service)
        })
    };
    let replaced = partitioned.withheld.iter().filter(|service| !is_served(service));
    partitioned.unknown.iter().chain(replaced).cloned().collect()
}

/// Reads the engines of all zones and records the version of each of these services. Returns whether any was recorded.
pub async fn resolve(controller: &Controller, client: &Client, services: &BTreeSet<String>) -> bool {
    if !controller.committed.is_confirmed(clock::now()) {
        return false;
    }
    let mut engines = Vec::new();
    for zone in controller.settings.zones.keys() {
        let Some(listed) = platform_list::read_engines(controller, client, zone).await else { return false };
        engines.extend(listed);
    }
    let served_engines: HashSet<String> = controller.engines.read(|lists| {
        let engines = lists.iter().flat_map(|list| &list.engines);
        engines.map(|engine| engine.id.clone()).collect()
    });
    let census = VersionCensus::new(&engines, &served_engines);
    let mut is_any_recorded = false;
    for service in services {
        is_any_recorded |= record_next(controller, &census, service).await;
    }
    is_any_recorded
}

/// Records the next version of a service, if there is one. Returns whether it was recorded.
async fn record_next(controller: &Controller, census: &VersionCensus, service: &str) -> bool {
    let (stored, rollout, in_force) = controller.committed.read(|committed| {
        let stored = committed.stable_versions.get(service).cloned();
        let rollout = committed.version_rollouts.get(service).cloned();
        (stored, rollout, committed.version_in_force(service).map(str::to_string))
    });
    let Some(version) = census.next_version(service, in_force.as_deref(), rollout.as_ref()) else { return false };
    let next = StableVersion::following(stored.as_ref(), service, version, rollout.as_ref());
    let is_recorded = commit(controller, stored.as_ref(), &next).await;
    if is_recorded {
        log_event!(STABLE_VERSION_RECORDED, "service" => service, "version" => next.version.clone(),
            "before" => in_force.unwrap_or_default(), "rollout" => state_of(rollout.as_ref()));
    }
    is_recorded
}

fn state_of(rollout: Option<&VersionRollout>) -> &'static str {
    rollout.map_or("none", |rollout| rollout.state.as_str())
}

/// Commits the record `next` if `stored` is still the latest one. Returns whether it was committed.
async fn commit(controller: &Controller, stored: Option<&StableVersion>, next: &StableVersion) -> bool {
    let decide = |body: &[u8]| {
        let found = StableVersion::from_bytes(body);
        let is_readable = found.is_some() || body.is_empty();
        match is_readable && found.as_ref().map(|found| found.number) == stored.map(|stored| stored.number) {
            true => Decision::Write(next.to_bytes(), true),
            false => Decision::Answer(false),
        }
    };
    controller.change(&StableVersion::key(&next.service), COMMIT_TIMEOUT_MS, decide).await.unwrap_or(false)
}

#[cfg(test)]
#[path = "stable_versions_tests.rs"]
mod tests;
