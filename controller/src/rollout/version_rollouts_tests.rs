//! The record that follows each step.

use super::{after_step, rollback_reason};
use protocol::version_rollout::{RolloutState, VersionRollout};
use versions::{RolloutStep, Verdict};

fn rollout() -> VersionRollout {
    VersionRollout {
        service: "s".into(),
        number: 4,
        order: 1,
        target: "v2".into(),
        duration_ms: 12_000,
        state: RolloutState::Active,
        share: 70,
        elapsed_ms: 100,
        stable: None,
        reverted: vec!["v0".into()],
        reason: String::new(),
    }
}

#[test]
fn each_step_that_changes_a_rollout_yields_a_new_record() {
    assert_eq!(after_step(&rollout(), RolloutStep::Hold, 500, ""), None);
    let with_share = after_step(&rollout(), RolloutStep::SetShare(400), 500, "").expect("a new record");
    assert_eq!((with_share.number, with_share.share, with_share.elapsed_ms), (5, 400, 500));
    let complete = after_step(&rollout(), RolloutStep::Complete, 500, "").expect("a new record");
    assert_eq!(complete.state, RolloutState::Complete);
    let reason = rollback_reason(Verdict::Slow, "r-1");
    let reverted = after_step(&rollout(), RolloutStep::RollBack, 500, &reason).expect("a new record");
    assert_eq!((reverted.state, reverted.share), (RolloutState::Reverted, 0));
    assert_eq!(reverted.reverted, ["v0", "v2"]);
    assert!(reverted.reason.contains("slower") && reverted.reason.contains("r-1"));
}
