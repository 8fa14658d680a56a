//! Records after steps.

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
fn each_step_is_a_record_of_its_own() {
    assert_eq!(after_step(&rollout(), RolloutStep::Hold, 500, ""), None);
    let shared = after_step(&rollout(), RolloutStep::SetShare(400), 500, "").expect("a change");
    assert_eq!((shared.number, shared.share, shared.elapsed_ms), (5, 400, 500));
    let complete = after_step(&rollout(), RolloutStep::Complete, 500, "").expect("a change");
    assert_eq!(complete.state, RolloutState::Complete);
    let reason = rollback_reason(Verdict::Slow, "r-1");
    let reverted = after_step(&rollout(), RolloutStep::RollBack, 500, &reason).expect("a change");
    assert_eq!((reverted.state, reverted.share), (RolloutState::Reverted, 0));
    assert_eq!(reverted.reverted, ["v0", "v2"]);
    assert!(reverted.reason.contains("slower") && reverted.reason.contains("r-1"));
}
