//! Partitioning of lists with several versions.

use std::collections::{BTreeMap, HashSet};

use protocol::stable_version::StableVersion;
use protocol::version_rollout::{RolloutState, VersionRollout};

use super::{KnownVersions, ListedEngine, PartitionedEngines};
use crate::replication::committed_state::CommittedState;
use crate::testing::engines::listed;

fn ids(partitioned: &PartitionedEngines) -> [Vec<&str>; 2] {
    [&partitioned.stable, &partitioned.candidates].map(|list| list.iter().map(|engine| engine.id.as_str()).collect())
}

fn rollouts(state: RolloutState) -> BTreeMap<String, VersionRollout> {
    let rollout = VersionRollout { state, ..VersionRollout::first("s", "v2", 1000) };
    [("s".to_string(), rollout)].into()
}

fn two_versions() -> Vec<ListedEngine> {
    vec![
        listed("new-1", "v2", 3000),
        listed("old-1", "v1", 0),
        listed("new-2", "v2", 3000),
        listed("new-3", "v2", 3000),
    ]
}

/// A confirmed state in which v1 is recorded.
fn recorded() -> CommittedState {
    let record = StableVersion::following(None, "s", "v1", None);
    CommittedState { confirmed_at: Some(0), stable_versions: [("s".to_string(), record)].into(), ..Default::default() }
}

fn with_rollout(state: RolloutState) -> CommittedState {
    CommittedState { version_rollouts: rollouts(state), ..recorded() }
}

fn partition(committed: &CommittedState, list: Vec<ListedEngine>) -> PartitionedEngines {
    KnownVersions { committed, rollout_required: true, served_engines: &HashSet::new() }.partition(list)
}

#[test]
fn a_version_without_a_rollout_gets_no_traffic() {
    let partitioned = partition(&recorded(), two_versions());
    assert_eq!(ids(&partitioned), [vec!["old-1"], vec![]]);
    assert_eq!(partitioned.withheld, ["s".to_string()].into());
    assert!(partitioned.unknown.is_empty());
}

/// Guards against a controller that learns the version again from the list of its own zone.
#[test]
fn a_zone_without_the_recorded_version_gets_no_other_one() {
    let partitioned = partition(&recorded(), vec![listed("new-1", "v2", 0), listed("new-2", "v2", 0)]);
    assert_eq!(ids(&partitioned), [Vec::<&str>::new(), vec![]]);
    assert_eq!(partitioned.withheld, ["s".to_string()].into());
}

#[test]
fn the_state_of_a_rollout_determines_stable_and_candidate_engines() {
    let partition = |state| partition(&with_rollout(state), two_versions());
    let candidates = vec!["new-1", "new-2", "new-3"];
    assert_eq!(ids(&partition(RolloutState::Active)), [vec!["old-1"], candidates.clone()]);
    assert_eq!(ids(&partition(RolloutState::Complete)), [candidates, vec![]]);
    assert_eq!(ids(&partition(RolloutState::Reverted)), [vec!["old-1"], vec![]]);
}

/// Guards against a version that nobody ordered: after a first rollout every other version counted as stable.
#[test]
fn a_version_that_no_rollout_names_gets_no_traffic_before_beside_and_after_a_rollout() {
    let with_unnamed = || [two_versions(), vec![listed("other-1", "v3", 0), listed("other-2", "v3", 0)]].concat();
    let unnamed_is_listed =
        |partitioned: &PartitionedEngines| ids(partitioned).concat().iter().any(|id| id.starts_with("other"));
    assert!(!unnamed_is_listed(&partition(&recorded(), with_unnamed())));
    for state in [RolloutState::Active, RolloutState::Complete, RolloutState::Reverted] {
        let partitioned = partition(&with_rollout(state), with_unnamed());
        assert!(!unnamed_is_listed(&partitioned), "{state:?}");
        assert!(!partitioned.stable.is_empty(), "{state:?}");
    }
}

/// Guards against a guess after a restart: what is read before a quorum has confirmed it may lack any record.
#[test]
fn until_the_version_is_known_only_engines_that_have_got_requests_keep_getting_them() {
    let unconfirmed = CommittedState { confirmed_at: None, ..recorded() };
    let unrecorded = CommittedState { confirmed_at: Some(0), ..Default::default() };
    let served_engines = HashSet::from(["old-1".to_string()]);
    for committed in [&unconfirmed, &unrecorded] {
        let known = KnownVersions { committed, rollout_required: true, served_engines: &served_engines };
        let partitioned = known.partition([two_versions(), vec![listed("old-2", "v1", 0)]].concat());
        assert_eq!(ids(&partitioned), [vec!["old-1"], vec![]]);
        assert_eq!(partitioned.unknown, ["s".to_string()].into());
    }
}

#[test]
fn a_reverted_version_alone_does_not_make_the_version_in_force_unknown() {
    let committed = CommittedState {
        confirmed_at: Some(0),
        version_rollouts: rollouts(RolloutState::Reverted),
        ..Default::default()
    };
    let reverted_alone = partition(&committed, vec![listed("new-1", "v2", 0)]);
    assert_eq!(reverted_alone, PartitionedEngines::default(), "other services of the zone must not wait for it");
    assert_eq!(partition(&committed, two_versions()).unknown, ["s".to_string()].into());
}

#[test]
fn all_versions_are_served_if_no_rollout_is_required() {
    let committed = CommittedState::default();
    let known = KnownVersions { committed: &committed, rollout_required: false, served_engines: &HashSet::new() };
    let partitioned = known.partition(two_versions());
    assert_eq!(ids(&partitioned), [vec!["new-1", "old-1", "new-2", "new-3"], vec![]]);
    assert!(partitioned.unknown.is_empty() && partitioned.withheld.is_empty());
}
