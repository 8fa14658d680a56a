//! Since when a rollout has been under way, as its records and its samples tell.

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
