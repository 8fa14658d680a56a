//! Which version is put in force, from the engines of all zones.

use std::collections::HashSet;

use protocol::stable_version::StableVersion;
use protocol::version_rollout::{RolloutState, VersionRollout};

use super::VersionCensus;
use crate::discovery::version_lists::{KnownVersions, ListedEngine};
use crate::replication::committed_state::CommittedState;
use crate::testing::engines::listed;

fn census(engines: &[ListedEngine]) -> VersionCensus {
    VersionCensus::new(engines, &HashSet::new())
}

fn rollout(state: RolloutState) -> VersionRollout {
    VersionRollout { state, ..VersionRollout::first("s", "v2", 1000) }
}

#[test]
fn the_first_version_is_the_one_of_warm_engines_and_among_equals_the_lower_one() {
    let engines = [listed("1", "v10", 3000), listed("2", "v10", 3000), listed("3", "v9", 0)];
    assert_eq!(census(&engines).next_version("s", None, None), Some("v9"));
    let engines = [listed("1", "v10", 0), listed("2", "v9", 0)];
    assert_eq!(census(&engines).next_version("s", None, None), Some("v9"));
}

/// Guards the upgrade from daemons that recorded nothing: more engines of a new version do not make it the first one.
#[test]
fn the_first_version_is_the_one_that_has_got_requests() {
    let engines = [listed("1", "v10", 0), listed("2", "v10", 0), listed("3", "v9", 0)];
    let census = VersionCensus::new(&engines, &HashSet::from(["3".to_string()]));
    assert_eq!(census.next_version("s", None, None), Some("v9"));
}

#[test]
fn no_version_follows_while_one_engine_of_the_version_in_force_is_up() {
    let mut engines = vec![listed("1", "v3", 0), listed("2", "v3", 0), listed("3", "v1", 0)];
    assert_eq!(census(&engines).next_version("s", Some("v1"), None), None);
    engines[2].engine.up = false;
    assert_eq!(census(&engines).next_version("s", Some("v1"), None), Some("v3"), "it drains");
    assert_eq!(census(&[]).next_version("s", Some("v1"), None), None);
}

#[test]
fn a_version_under_rollout_follows_only_if_no_other_is_left_and_a_reverted_one_never() {
    let engines = [listed("1", "v2", 0), listed("2", "v2", 0), listed("3", "v3", 0)];
    for state in [RolloutState::Active, RolloutState::Reverted] {
        let rollout = rollout(state);
        assert_eq!(census(&engines).next_version("s", Some("v1"), Some(&rollout)), Some("v3"), "{state:?}");
    }
    let ordered = rollout(RolloutState::Active);
    assert_eq!(census(&engines[..2]).next_version("s", Some("v1"), Some(&ordered)), Some("v2"));
    let reverted = VersionRollout { reverted: vec!["v2".into()], ..rollout(RolloutState::Reverted) };
    assert_eq!(census(&engines[..2]).next_version("s", Some("v1"), Some(&reverted)), None);
}

#[test]
fn a_service_is_served_after_all_its_engines_were_replaced_without_a_rollout() {
    let replacements = [listed("new-1", "v2", 0), listed("new-2", "v2", 3000)];
    let first = StableVersion::following(None, "s", "v1", None);
    let census = census(&replacements);
    let next = census.next_version("s", Some(&first.version), None).expect("a version follows");
    let record = StableVersion::following(Some(&first), "s", next, None);
    let committed = CommittedState {
        confirmed_at: Some(0),
        stable_versions: [("s".to_string(), record)].into(),
        ..CommittedState::default()
    };
    let known = KnownVersions { committed: &committed, rollout_required: true, served_engines: &HashSet::new() };
    assert_eq!(known.partition(replacements.to_vec()).stable.len(), 2);
}
