//! Partitioning of lists with several versions.

use std::collections::BTreeMap;

use protocol::message::Engine;
use protocol::version_rollout::{RolloutState, VersionRollout};

use super::{BaselineVersions, ListedEngine, PartitionedEngines};

fn listed(id: &str, version: &str, cold_ms: u32) -> ListedEngine {
    let engine = Engine {
        id: id.into(),
        service: "s".into(),
        addr: "10.0.0.1:80".into(),
        zone: "a".into(),
        phase: "decode".into(),
        model: "m".into(),
        slots: 8,
        up: true,
        cold_ms,
    };
    ListedEngine { engine, version: version.into() }
}

fn ids(partitioned: &PartitionedEngines) -> [Vec<&str>; 2] {
    [&partitioned.stable, &partitioned.candidates].map(|list| list.iter().map(|engine| engine.id.as_str()).collect())
}

fn rollouts(state: RolloutState) -> BTreeMap<String, VersionRollout> {
    let rollout = VersionRollout {
        service: "s".into(),
        number: 1,
        order: 1,
        target: "v2".into(),
        duration_ms: 1000,
        state,
        share: 0,
        elapsed_ms: 0,
        stable: None,
        reverted: Vec::new(),
        reason: String::new(),
    };
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

#[test]
fn a_version_without_a_rollout_gets_no_traffic() {
    let mut baseline = BaselineVersions::default();
    assert_eq!(
        ids(&baseline.partition(&BTreeMap::new(), vec![listed("old-1", "v1", 0)], true)),
        [vec!["old-1"], vec![]]
    );
    assert_eq!(ids(&baseline.partition(&BTreeMap::new(), two_versions(), true)), [vec!["old-1"], vec![]]);
    let started_late = BaselineVersions::default().partition(&BTreeMap::new(), two_versions(), true);
    assert_eq!(ids(&started_late), [vec!["old-1"], vec![]], "warm engines were there before cold ones");
}

#[test]
fn the_state_of_a_rollout_determines_stable_and_candidate_engines() {
    let partition = |state| BaselineVersions::default().partition(&rollouts(state), two_versions(), true);
    let candidates = vec!["new-1", "new-2", "new-3"];
    assert_eq!(ids(&partition(RolloutState::Active)), [vec!["old-1"], candidates.clone()]);
    assert_eq!(ids(&partition(RolloutState::Complete)), [candidates, vec![]]);
    assert_eq!(ids(&partition(RolloutState::Reverted)), [vec!["old-1"], vec![]]);
}

/// Guards against a version that nobody ordered: after a first rollout every other version counted as stable.
#[test]
fn a_version_that_no_rollout_names_gets_no_traffic_before_beside_and_after_a_rollout() {
    let mut baseline = BaselineVersions::default();
    baseline.partition(&BTreeMap::new(), vec![listed("old-1", "v1", 0)], true);
    let with_unnamed = || [two_versions(), vec![listed("other-1", "v3", 0), listed("other-2", "v3", 0)]].concat();
    let unnamed_is_listed =
        |partitioned: &PartitionedEngines| ids(partitioned).concat().iter().any(|id| id.starts_with("other"));
    assert!(!unnamed_is_listed(&baseline.partition(&BTreeMap::new(), with_unnamed(), true)));
    for state in [RolloutState::Active, RolloutState::Complete, RolloutState::Reverted] {
        let partitioned = baseline.partition(&rollouts(state), with_unnamed(), true);
        assert!(!unnamed_is_listed(&partitioned), "{state:?}");
        assert!(!partitioned.stable.is_empty(), "{state:?}");
    }
}

#[test]
fn a_service_is_served_after_all_its_engines_were_replaced_without_a_rollout() {
    let mut baseline = BaselineVersions::default();
    baseline.partition(&BTreeMap::new(), vec![listed("old-1", "v1", 0)], true);
    assert_eq!(
        ids(&baseline.partition(&BTreeMap::new(), vec![listed("new-1", "v2", 0)], true)),
        [vec!["new-1"], vec![]]
    );
}

#[test]
fn all_versions_are_served_if_no_rollout_is_required() {
    let partitioned = BaselineVersions::default().partition(&BTreeMap::new(), two_versions(), false);
    assert_eq!(ids(&partitioned), [vec!["new-1", "old-1", "new-2", "new-3"], vec![]]);
}
