//! Partitions a zone's engines into those with the stable version and those with a candidate version under rollout.

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

/// The contract under which a new version gets traffic only after an operator has requested a rollout.
const ROLLOUT_CONTRACT: &str = "rollout";

/// The version that each service ran before its first rollout, by service.
#[derive(Default)]
pub struct BaselineVersions(BTreeMap<String, String>);

/// A zone's engines, partitioned by the kind of traffic that they may get.
#[derive(Debug, Default, PartialEq)]
pub struct PartitionedEngines {
    /// Engines with the stable version.
    pub stable: Vec<Engine>,
    /// Engines with a version under rollout.
    pub candidates: Vec<Engine>,
}

/// Partitions a zone's engines by the known rollouts.
pub fn partition(controller: &Controller, list: Vec<ListedEngine>) -> PartitionedEngines {
    let rollouts = controller.committed.version_rollouts();
    // Without the contract, engines may be replaced by engines of any version.
    let rollout_required = controller.settings.contracts.iter().any(|contract| contract == ROLLOUT_CONTRACT);
    controller.engines.partition(&rollouts, list, rollout_required)
}

impl BaselineVersions {
    /// Partitions a zone's engines. With `rollout_required`, a version that no rollout has requested gets no traffic.
    pub fn partition(
        &mut self,
        rollouts: &BTreeMap<String, VersionRollout>,
        list: Vec<ListedEngine>,
        rollout_required: bool,
    ) -> PartitionedEngines {
        self.learn(rollouts, &list);
        let mut partitioned = PartitionedEngines::default();
        for listed in list {
            let rollout = rollouts.get(&listed.engine.service);
            if self.is_stable(rollout, &listed, rollout_required) {
                partitioned.stable.push(listed.engine);
            } else if rollout.is_some_and(|rollout| rollout.is_candidate(&listed.version)) {
                partitioned.candidates.push(listed.engine);
            }
        }
        partitioned
    }

    /// Returns whether an engine runs the stable version of its service, which a first rollout does not name.
    fn is_stable(&self, rollout: Option<&VersionRollout>, listed: &ListedEngine, rollout_required: bool) -> bool {
        if rollout.is_none() && !rollout_required {
            return true;
        }
        let named = rollout.and_then(VersionRollout::stable_version);
        let stable = named.or_else(|| self.0.get(&listed.engine.service).map(String::as_str));
        stable == Some(listed.version.as_str())
    }

    /// Records the version of services that are new, and of services of which no engine runs the recorded version any
    /// more. A version that was ordered and is not complete is never recorded.
    fn learn(&mut self, rollouts: &BTreeMap<String, VersionRollout>, list: &[ListedEngine]) {
        let mut by_service: BTreeMap<&str, BTreeMap<&str, usize>> = BTreeMap::new();
        let is_unproved = |listed: &ListedEngine| {
            let rollout = rollouts.get(&listed.engine.service);
            rollout.is_some_and(|rollout| rollout.is_unproved(&listed.version))
        };
        for listed in list.iter().filter(|listed| listed.engine.up && !is_unproved(listed)) {
            let versions = by_service.entry(&listed.engine.service).or_default();
            // Warm engines were there before cold ones, which have just started, so each counts as much as 1000 cold
            // ones.
            *versions.entry(&listed.version).or_default() += if listed.engine.cold_ms == 0 { 1000 } else { 1 };
        }
        for (service, versions) in by_service {
            let is_known = self.0.get(service).is_some_and(|baseline| versions.contains_key(baseline.as_str()));
            let most_common = versions.iter().max_by_key(|(version, count)| (**count, Reverse(**version)));
            if let (false, Some((version, _))) = (is_known, most_common) {
                self.0.insert(service.into(), version.to_string());
            }
        }
    }
}

#[cfg(test)]
#[path = "version_lists_tests.rs"]
mod tests;
