//! Records after steps, and samples of several routers in one message.
use super::{after_step, merge};
use protocol::version_rollout::{RolloutState, RouteSamples, Samples, VersionRollout};
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
    assert_eq!(after_step(&rollout(), RolloutStep::Hold, 500, Verdict::Healthy), None);
    let shared = after_step(&rollout(), RolloutStep::SetShare(400), 500, Verdict::Healthy).expect("a change");
    assert_eq!((shared.number, shared.share, shared.elapsed_ms), (5, 400, 500));
    let complete = after_step(&rollout(), RolloutStep::Complete, 500, Verdict::Healthy).expect("a change");
    assert_eq!(complete.state, RolloutState::Complete);
    let reverted = after_step(&rollout(), RolloutStep::RollBack, 500, Verdict::Slow).expect("a change");
    assert_eq!((reverted.state, reverted.share), (RolloutState::Reverted, 0));
    assert_eq!(reverted.reverted, ["v0", "v2"]);
    assert!(reverted.reason.contains("slower"));
}

#[test]
fn samples_of_several_routers_go_on_as_one() {
    let samples = |order: u64, is_candidate: bool, good: u64| Samples {
        service: "s".into(),
        order,
        list: vec![RouteSamples { route: "r".into(), is_candidate, good, failed: 1, paces: vec![(good, 1)] }],
        is_relayed: true,
    };
    let merged = merge(vec![samples(1, true, 3), samples(1, true, 4), samples(1, false, 5), samples(2, true, 6)]);
    assert_eq!(merged.len(), 2);
    let counts: Vec<_> = merged[0].list.iter().map(|one| (one.is_candidate, one.good, one.failed)).collect();
    assert_eq!(counts, [(false, 5, 1), (true, 7, 2)]);
    assert_eq!(merged[0].list[1].paces, [(3, 1), (4, 1)]);
    assert_eq!(merged[1].order, 2);
}
