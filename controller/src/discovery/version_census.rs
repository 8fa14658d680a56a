//! Chooses the version of a service when none is recorded, or when no engine of the recorded one is left.
//!
//! The choice is made from the engines of all zones and committed, so that every controller goes by the same one,
//! whatever zone it polls and whenever it was started.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};

use protocol::version_rollout::{RolloutState, VersionRollout};

use crate::discovery::version_lists::ListedEngine;

/// The engines that run one version of a service and accept requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct VersionCount {
    /// Those that have got requests so far.
    served: usize,
    /// Those that are warm. They were there before cold ones, which have just started.
    warm: usize,
    /// All of them.
    up: usize,
}

/// The engines of all zones, counted by service and version.
#[derive(Debug, Default)]
pub struct VersionCensus(BTreeMap<String, BTreeMap<String, VersionCount>>);

impl VersionCensus {
    /// Counts the engines of all zones. `served_engines` are the ids of those that have got requests so far.
    pub fn new(engines: &[ListedEngine], served_engines: &HashSet<String>) -> VersionCensus {
        let mut census = VersionCensus::default();
        for ListedEngine { engine, version } in engines.iter().filter(|listed| listed.engine.up) {
            let versions = census.0.entry(engine.service.clone()).or_default();
            let count = versions.entry(version.clone()).or_default();
            count.up += 1;
            count.warm += usize::from(engine.cold_ms == 0);
            count.served += usize::from(served_engines.contains(&engine.id));
        }
        census
    }

    /// Returns the version to put in force for a service, or `None` if `in_force` still has engines or no other version
    /// may follow it.
    ///
    /// A reverted version never follows. The target of an active rollout does only if there is no other, since it is
    /// not proved yet.
    pub fn next_version(
        &self,
        service: &str,
        in_force: Option<&str>,
        rollout: Option<&VersionRollout>,
    ) -> Option<&str> {
        let versions = self.0.get(service)?;
        if in_force.is_some_and(|in_force| versions.contains_key(in_force)) {
            return None;
        }
        let is_unproved = |version: &str| rollout.is_some_and(|rollout| rollout.is_unproved(version));
        let proved = versions.iter().filter(|(version, _)| !is_unproved(version));
        let most_used = proved.max_by_key(|(version, count)| (**count, Reverse((version.len(), *version))));
        if let Some((version, _)) = most_used {
            return Some(version);
        }
        let active = rollout.filter(|rollout| rollout.state == RolloutState::Active)?;
        versions.get_key_value(&active.target).map(|(version, _)| version.as_str())
    }
}

#[cfg(test)]
#[path = "version_census_tests.rs"]
mod tests;
