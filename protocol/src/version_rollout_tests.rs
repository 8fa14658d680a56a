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
fn the_new_version_is_stable_once_it_is_complete() {
    for (state, stable, is_candidate) in [
        (RolloutState::Active, None, true),
        (RolloutState::Complete, Some("v2"), false),
        (RolloutState::Reverted, None, false),
    ] {
        let rollout = rollout(state);
        assert_eq!(rollout.stable_version(), stable, "{state:?}");
        assert_eq!(rollout.is_candidate("v2"), is_candidate, "{state:?}");
        assert_eq!(rollout.is_unproved("v2"), state != RolloutState::Complete, "{state:?}");
        assert!(!rollout.is_candidate("v1") && !rollout.is_unproved("v1"));
    }
}

#[test]
fn a_later_rollout_names_the_stable_version_and_the_reverted_ones() {
    let reverted = VersionRollout { reverted: vec!["v2".into()], target: "v3".into(), ..rollout(RolloutState::Active) };
    assert_eq!(reverted.stable_version(), None);
    assert!(!reverted.is_unproved("v1") && reverted.is_unproved("v2") && reverted.is_unproved("v3"));
    let replaced = VersionRollout { stable: Some("v2".into()), target: "v3".into(), ..rollout(RolloutState::Active) };
    assert_eq!(replaced.stable_version(), Some("v2"));
}

#[test]
fn rollouts_decode_to_the_encoded_value_and_candidate_lists_have_hidden_keys() {
    let active = rollout(RolloutState::Active);
    assert_eq!(VersionRollout::from_bytes(&active.to_bytes()), Some(active));
    assert_eq!(candidate_zone(&candidates_of("hall-a")), Some("hall-a"));
    assert_eq!(candidate_zone("hall-a"), None);
    assert!(message::is_hidden_key(&candidates_of("hall-a")));
}
