//! Divides a zone's engines: those of the stable version, and those of a candidate version under rollout.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use protocol::message::Engine;
use protocol::version_rollout::VersionRollout;

use crate::controller::Controller;

/// An engine as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEngine {
    /// The engine.
    pub engine: Engine,
    /// The version of its software.
    pub version: String,
}

/// The contract by which a new version waits for an operator's request.
const ROLLOUT_CONTRACT: &str = "rollout";

/// The version of each service that was there before any rollout of it.
#[derive(Default)]
pub struct FirstVersions(BTreeMap<String, String>);

/// A zone's engines, divided by which requests they may get.
#[derive(Debug, Default, PartialEq)]
pub struct PartitionedEngines {
    /// Engines of the version in place.
    pub stable: Vec<Engine>,
    /// Engines of a version under rollout.
    pub candidates: Vec<Engine>,
}

/// Divides a zone's list by the rollouts that are known.
pub fn partition(controller: &Controller, list: Vec<ListedEngine>) -> PartitionedEngines {
    let rollouts = controller.committed.version_rollouts();
    // Where versions are not brought in by request, engines may be replaced by others of any version.
    let by_request = controller.settings.contracts.iter().any(|contract| contract == ROLLOUT_CONTRACT);
    controller.engines.partition(&rollouts, list, by_request)
}

impl FirstVersions {
    /// Divides a zone's list. With `by_request` a version that nobody has requested gets nothing.
    pub fn partition(
        &mut self,
        rollouts: &BTreeMap<String, VersionRollout>,
        list: Vec<ListedEngine>,
        by_request: bool,
    ) -> PartitionedEngines {
        self.learn(&list);
        let mut partitioned = PartitionedEngines::default();
        for listed in list {
            let service = &listed.engine.service;
            let (is_stable, is_candidate) = match rollouts.get(service) {
                Some(rollout) => (rollout.is_stable(&listed.version), rollout.is_candidate(&listed.version)),
                None => (!by_request || self.0.get(service).is_none_or(|first| *first == listed.version), false),
            };
            if is_stable {
                partitioned.stable.push(listed.engine);
            } else if is_candidate {
                partitioned.candidates.push(listed.engine);
            }
        }
        partitioned
    }

    /// Notes the version of services that were not seen before, and of those of which no engine has the version that
    /// was noted.
    fn learn(&mut self, list: &[ListedEngine]) {
        let mut by_service: BTreeMap<&str, BTreeMap<&str, usize>> = BTreeMap::new();
        for listed in list.iter().filter(|listed| listed.engine.up) {
            let versions = by_service.entry(&listed.engine.service).or_default();
            // Engines that are no longer cold were there before those that have just started.
            *versions.entry(&listed.version).or_default() += if listed.engine.cold_ms == 0 { 1000 } else { 1 };
        }
        for (service, versions) in by_service {
            let is_known = self.0.get(service).is_some_and(|first| versions.contains_key(first.as_str()));
            let most = versions.iter().max_by_key(|(version, count)| (**count, Reverse(**version)));
            if let (false, Some((version, _))) = (is_known, most) {
                self.0.insert(service.into(), version.to_string());
            }
        }
    }
}

#[cfg(test)]
#[path = "version_lists_tests.rs"]
mod tests;
