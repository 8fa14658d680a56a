//! Which engines of the platform's list are of the version in place, and which of one that is brought in.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use protocol::message::Engine;
use protocol::version_rollout::VersionRollout;

use crate::controller::Controller;

/// An engine as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEngine {
    pub engine: Engine,
    /// The version of its software.
    pub version: String,
}

/// The part of the rules by which a new version waits for an order.
const ROLLOUT_CONTRACT: &str = "rollout";

/// The version of each service that was there before any rollout of it.
#[derive(Default)]
pub struct FirstVersions(BTreeMap<String, String>);

/// A zone's engines, apart by what they may get.
#[derive(Debug, Default, PartialEq)]
pub struct PartitionedEngines {
    pub stable: Vec<Engine>,
    pub candidates: Vec<Engine>,
}

/// Parts a zone's list by the rollouts that are known.
pub fn partition(controller: &Controller, list: Vec<ListedEngine>) -> PartitionedEngines {
    let rollouts = controller.committed.version_rollouts();
    // Where versions are not brought in by order, engines may be replaced by others of any version.
    let by_order = controller.settings.contracts.iter().any(|contract| contract == ROLLOUT_CONTRACT);
    controller.engines.partition(&rollouts, list, by_order)
}

impl FirstVersions {
    /// `by_order`: a version that nobody has ordered gets nothing.
    pub fn partition(
        &mut self,
        rollouts: &BTreeMap<String, VersionRollout>,
        list: Vec<ListedEngine>,
        by_order: bool,
    ) -> PartitionedEngines {
        self.learn(&list);
        let mut parted = PartitionedEngines::default();
        for listed in list {
            let service = &listed.engine.service;
            let (is_stable, is_candidate) = match rollouts.get(service) {
                Some(rollout) => (rollout.is_stable(&listed.version), rollout.is_candidate(&listed.version)),
                None => (!by_order || self.0.get(service).is_none_or(|first| *first == listed.version), false),
            };
            if is_stable {
                parted.stable.push(listed.engine);
            } else if is_candidate {
                parted.candidates.push(listed.engine);
            }
        }
        parted
    }

    /// Remembers the version of services that were not seen before, and of those of which no engine has the version that
    /// was remembered.
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
