//! Records after steps, and samples of several routers in one message.
use super::{after_step, merge, rollback_reason, RolloutAnalysis};
use protocol::version_rollout::{RolloutState, VersionRollout};
use protocol::version_samples::{EngineSamples, SampleCounts, SampleKey, SampledInterval};
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

#[test]
fn samples_of_several_routers_go_on_as_one() {
    let samples = |order: u64, is_candidate: bool, succeeded: u32| {
        let key = SampleKey { route: "r".into(), is_candidate, engine_hash: 7, zone: "a".into(), is_loaded: false };
        let intervals = vec![SampledInterval { running: 1, interval_us: succeeded, is_cold: false }];
        let counts = SampleCounts { succeeded, failed: 1, lost: 0, intervals };
        let elapsed_ms = 1000 + u64::from(succeeded);
        EngineSamples { service: "s".into(), order, elapsed_ms, list: vec![(key, counts)], is_relayed: true }
    };
    let merged = merge(vec![samples(1, true, 3), samples(1, true, 4), samples(1, false, 5), samples(2, true, 6)]);
    assert_eq!(merged.len(), 2);
    let list = &merged[0].list;
    let counts: Vec<_> = list.iter().map(|(key, one)| (key.is_candidate, one.succeeded, one.failed)).collect();
    assert_eq!(counts, [(false, 5, 1), (true, 7, 2)]);
    let intervals: Vec<_> = list[1].1.intervals.iter().map(|one| one.interval_us).collect();
    assert_eq!(intervals, [3, 4]);
    assert_eq!((merged[0].elapsed_ms, merged[1].order), (1005, 2), "the longest time");
}

#[test]
fn records_that_arrive_late_do_not_delay_the_end() {
    let record = |number, elapsed_ms| VersionRollout { number, elapsed_ms, ..rollout() };
    let mut analysis = RolloutAnalysis::new(&record(1, 0), 1000);
    analysis.note_record(&record(2, 4000), 5150);
    assert_eq!((analysis.started_at, analysis.record_since), (1000, 5150));
    let mut late = RolloutAnalysis::new(&record(1, 0), 3000);
    late.note_record(&record(2, 4000), 5150);
    assert_eq!(late.started_at, 1150, "as the newer record tells");
    late.note_elapsed(9000, 6000);
    assert_eq!((late.started_at, late.elapsed_ms(6500)), (-3000, 9500), "it began before this process");
}
