//! Partitions a zone's engines into those with the version in force and those with a candidate version under rollout.

use std::collections::{BTreeSet, HashSet};

use protocol::message::Engine;

use crate::controller::Controller;
use crate::replication::committed_state::CommittedState;

/// An engine as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEngine {
    /// The engine.
    pub engine: Engine,
    /// The version of its software.
    pub version: String,
}

/// The contract under which a new version gets traffic only after an operator has requested a rollout.
const ROLLOUT_CONTRACT: &str = "rollout";

/// A zone's engines, partitioned by the kind of traffic that they may get.
#[derive(Debug, Default, PartialEq)]
pub struct PartitionedEngines {
    /// Engines with the version in force.
    pub stable: Vec<Engine>,
    /// Engines with a version under rollout.
    pub candidates: Vec<Engine>,
    /// Services whose version in force is not known.
    pub unknown: BTreeSet<String>,
    /// Services with engines of another version than the one in force, which get no requests.
    pub withheld: BTreeSet<String>,
}

/// Which versions of the services may get requests, as far as this controller knows.
pub struct KnownVersions<'a> {
    /// The committed state.
    pub committed: &'a CommittedState,
    /// Whether a version needs a rollout. Without that, engines may be replaced by engines of any version.
    pub rollout_required: bool,
    /// The ids of the zone's engines that have got requests so far.
    pub served_engines: &'a HashSet<String>,
}

/// Returns whether the settings require a rollout for a new version.
pub fn is_rollout_required(controller: &Controller) -> bool {
    controller.settings.contracts.iter().any(|contract| contract == ROLLOUT_CONTRACT)
}

/// Partitions a zone's engines by the committed versions.
pub fn partition(controller: &Controller, zone: &str, list: Vec<ListedEngine>) -> PartitionedEngines {
    let served_engines = controller.engines.read(|lists| {
        let engines = lists.list(zone).map_or(&[][..], |list| &list.engines);
        engines.iter().map(|engine| engine.id.clone()).collect()
    });
    let rollout_required = is_rollout_required(controller);
    controller.committed.read(|committed| {
        KnownVersions { committed, rollout_required, served_engines: &served_engines }.partition(list)
    })
}

impl KnownVersions<'_> {
    /// Partitions a zone's engines. While the version in force of a service is not known, its engines that have got
    /// requests keep getting them, and no others do.
    pub fn partition(&self, list: Vec<ListedEngine>) -> PartitionedEngines {
        let mut partitioned = PartitionedEngines::default();
        for ListedEngine { engine, version } in list {
            let service = engine.service.clone();
            let rollout = self.committed.version_rollouts.get(&service);
            let in_force = self.version_in_force(&service);
            let is_stable = match in_force {
                _ if rollout.is_none() && !self.rollout_required => true,
                Some(in_force) => version == in_force,
                None => self.served_engines.contains(&engine.id),
            };
            let is_up = engine.up;
            if is_stable {
                partitioned.stable.push(engine);
            } else if rollout.is_some_and(|rollout| rollout.is_candidate(&version)) {
                partitioned.candidates.push(engine);
            } else if is_up && in_force.is_some() {
                partitioned.withheld.insert(service);
                continue;
            }
            // A reverted version is not served whichever version is in force.
            let may_serve =
                rollout.is_none_or(|rollout| !rollout.is_unproved(&version) || rollout.is_candidate(&version));
            if is_up && may_serve && in_force.is_none() && (rollout.is_some() || self.rollout_required) {
                partitioned.unknown.insert(service);
            }
        }
        partitioned
    }

    /// Returns the version in force of a service. Until a quorum has confirmed the committed state, it may lack any
    /// record, so that the ones known do not tell.
    fn version_in_force(&self, service: &str) -> Option<&str> {
        self.committed.confirmed_at?;
        self.committed.version_in_force(service)
    }
}

#[cfg(test)]
#[path = "version_lists_tests.rs"]
mod tests;
