//! The start time of a rollout, derived from its records and samples.

use protocol::version_rollout::{RolloutState, VersionRollout};

use super::RolloutAnalysis;

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
fn late_records_do_not_move_the_start_time_forward() {
    let record = |number, elapsed_ms| VersionRollout { number, elapsed_ms, ..rollout() };
    let mut analysis = RolloutAnalysis::new(&record(1, 0), 1000);
    analysis.apply_record(&record(2, 4000), 5150);
    assert_eq!((analysis.started_at, analysis.record_received_at), (1000, 5150));
    let mut late = RolloutAnalysis::new(&record(1, 0), 3000);
    late.apply_record(&record(2, 4000), 5150);
    assert_eq!(late.started_at, 1150, "derived from the newer record");
    late.apply_elapsed(9000, 6000);
    assert_eq!((late.started_at, late.elapsed_ms(6500)), (-3000, 9500), "the rollout started before this process");
}
