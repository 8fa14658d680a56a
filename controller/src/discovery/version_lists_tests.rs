//! Lists with several versions.

use std::collections::BTreeMap;

use protocol::message::Engine;
use protocol::version_rollout::{RolloutState, VersionRollout};

use super::{FirstVersions, ListedEngine, PartitionedEngines};

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

fn ids(parted: &PartitionedEngines) -> [Vec<&str>; 2] {
    [&parted.stable, &parted.candidates].map(|list| list.iter().map(|engine| engine.id.as_str()).collect())
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

fn both() -> Vec<ListedEngine> {
    vec![
        listed("new-1", "v2", 3000),
        listed("old-1", "v1", 0),
        listed("new-2", "v2", 3000),
        listed("new-3", "v2", 3000),
    ]
}

#[test]
fn a_version_that_nobody_ordered_gets_nothing() {
    let mut first = FirstVersions::default();
    assert_eq!(ids(&first.partition(&BTreeMap::new(), vec![listed("old-1", "v1", 0)], true)), [vec!["old-1"], vec![]]);
    assert_eq!(ids(&first.partition(&BTreeMap::new(), both(), true)), [vec!["old-1"], vec![]]);
    let started_late = FirstVersions::default().partition(&BTreeMap::new(), both(), true);
    assert_eq!(ids(&started_late), [vec!["old-1"], vec![]], "the warm ones were there before");
}

#[test]
fn a_rollout_says_what_is_in_place_and_what_is_brought_in() {
    let part = |state| FirstVersions::default().partition(&rollouts(state), both(), true);
    let new = vec!["new-1", "new-2", "new-3"];
    assert_eq!(ids(&part(RolloutState::Active)), [vec!["old-1"], new.clone()]);
    assert_eq!(ids(&part(RolloutState::Complete)), [new, vec![]]);
    assert_eq!(ids(&part(RolloutState::Reverted)), [vec!["old-1"], vec![]]);
}

#[test]
fn a_service_whose_engines_were_all_replaced_without_an_order_is_served() {
    let mut first = FirstVersions::default();
    first.partition(&BTreeMap::new(), vec![listed("old-1", "v1", 0)], true);
    assert_eq!(ids(&first.partition(&BTreeMap::new(), vec![listed("new-1", "v2", 0)], true)), [vec!["new-1"], vec![]]);
}

#[test]
fn where_versions_need_no_order_all_are_served() {
    let parted = FirstVersions::default().partition(&BTreeMap::new(), both(), false);
    assert_eq!(ids(&parted), [vec!["new-1", "old-1", "new-2", "new-3"], vec![]]);
}
