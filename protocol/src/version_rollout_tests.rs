//! Which versions may get requests in each state.

use super::{candidate_zone, candidates_of, RolloutState, VersionRollout};
use crate::message;

fn rollout(state: RolloutState) -> VersionRollout {
    VersionRollout {
        service: "s".into(),
        number: 1,
        order: 1,
        target: "v2".into(),
        duration_ms: 12_000,
        state,
        share: 0,
        elapsed_ms: 0,
        stable: None,
        reverted: Vec::new(),
        reason: String::new(),
    }
}

#[test]
fn the_old_version_is_stable_until_the_new_one_is_complete() {
    for (state, stable, candidate) in [
        (RolloutState::Active, [true, false], true),
        (RolloutState::Complete, [false, true], false),
        (RolloutState::Reverted, [true, false], false),
    ] {
        let rollout = rollout(state);
        assert_eq!([rollout.is_stable("v1"), rollout.is_stable("v2")], stable, "{state:?}");
        assert_eq!(rollout.is_candidate("v2"), candidate, "{state:?}");
        assert!(!rollout.is_candidate("v1"));
    }
}

#[test]
fn reverted_and_replaced_versions_get_no_requests() {
    let reverted = VersionRollout { reverted: vec!["v2".into()], target: "v3".into(), ..rollout(RolloutState::Active) };
    assert!(reverted.is_stable("v1") && !reverted.is_stable("v2") && !reverted.is_stable("v3"));
    let replaced = VersionRollout { stable: Some("v2".into()), target: "v3".into(), ..rollout(RolloutState::Active) };
    assert!(!replaced.is_stable("v1") && replaced.is_stable("v2") && !replaced.is_stable("v3"));
}

#[test]
fn rollouts_decode_to_the_encoded_value_and_candidate_lists_have_hidden_keys() {
    let active = rollout(RolloutState::Active);
    assert_eq!(VersionRollout::from_bytes(&active.to_bytes()), Some(active));
    assert_eq!(candidate_zone(&candidates_of("hall-a")), Some("hall-a"));
    assert_eq!(candidate_zone("hall-a"), None);
    assert!(message::is_hidden_key(&candidates_of("hall-a")));
}
