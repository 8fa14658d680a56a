//! Evidence from single engines and zones, baselines during outages, and windows.

use super::{DetectionParams, EngineOutcomes, OutcomeHistory};

const DETECTION: DetectionParams = DetectionParams { allowed_excess: 0.01, fault_rates: [0.08, 0.25, 0.5, 0.75, 0.95] };
/// Strength of the evidence at which a candidate is rolled back.
const ALARM: f64 = 7.0;

fn outcomes(engine: u64, zone: &str, passed: u64, failed: u64, lost: u64) -> EngineOutcomes<'_> {
    EngineOutcomes { engine, zone, passed, failed, lost }
}

/// Returns a history of 30 healthy engines of the stable version in two zones over 3 s.
fn history() -> OutcomeHistory {
    let mut history = OutcomeHistory::new(DETECTION);
    for step in 0..30 {
        for engine in 100..130 {
            let zone = if engine % 2 == 0 { "a" } else { "b" };
            history.record_stable(&outcomes(engine, zone, 1, 0, 0), step * 100);
        }
    }
    history
}

#[test]
fn failures_of_one_or_two_engines_among_healthy_ones_raise_no_alarm() {
    let mut history = history();
    (0..20).for_each(|engine| history.record_candidate(&outcomes(engine, "a", 1, 0, 0), 3000));
    history.record_candidate(&outcomes(3, "a", 0, 100, 0), 3000);
    assert!(history.evidence().strength() < ALARM, "{}", history.evidence().strength());
    history.record_candidate(&outcomes(4, "a", 0, 100, 0), 3000);
    assert!(history.evidence().strength() < ALARM, "the other engines are healthy: {}", history.evidence().strength());
}

#[test]
fn one_failing_engine_beside_a_single_request_raises_no_alarm_but_two_do() {
    let mut history = history();
    history.record_candidate(&outcomes(2, "a", 1, 0, 0), 3000);
    history.record_candidate(&outcomes(3, "a", 0, 100, 0), 3600);
    assert!(history.evidence().strength() < ALARM, "{}", history.evidence().strength());
    history.record_candidate(&outcomes(4, "a", 0, 100, 0), 3600);
    assert!(history.evidence().strength() >= ALARM, "{}", history.evidence().strength());
}

#[test]
fn the_only_engine_can_raise_an_alarm() {
    let mut history = history();
    history.record_candidate(&outcomes(3, "a", 0, 5, 0), 3000);
    assert!(history.evidence().strength() >= ALARM);
}

#[test]
fn lost_responses_raise_an_alarm_only_from_more_than_one_zone() {
    let mut history = history();
    history.record_candidate(&outcomes(99, "b", 1, 0, 0), 3000);
    (0..20).for_each(|engine| history.record_candidate(&outcomes(engine, "a", 0, 0, 10), 3000));
    let one_zone = history.evidence().strength();
    assert!(one_zone < ALARM, "{one_zone}");
    (20..40).for_each(|engine| history.record_candidate(&outcomes(engine, "b", 0, 0, 10), 3000));
    assert!(history.evidence().strength() >= ALARM);
}

#[test]
fn failures_in_a_zone_where_the_stable_version_fails_too_are_weak_evidence() {
    let mut history = history();
    for step in 30..36 {
        for engine in 100..130 {
            let (zone, passed) = if engine % 2 == 0 { ("a", 0) } else { ("b", 1) };
            history.record_stable(&outcomes(engine, zone, passed, 1 - passed, 0), step * 100);
        }
        (0..10).for_each(|engine| history.record_candidate(&outcomes(engine, "a", 0, 1, 0), step * 100));
    }
    assert!(history.evidence().strength() < ALARM / 2.0, "{}", history.evidence().strength());
    (10..20).for_each(|engine| history.record_candidate(&outcomes(engine, "b", 0, 3, 0), 3500));
    assert!(history.evidence().strength() >= ALARM, "failures in the other zone are evidence");
}

#[test]
fn an_outage_is_not_attributed_to_the_candidate_and_does_not_hide_a_later_fault() {
    let mut history = history();
    for step in 30..50 {
        (100..130).for_each(|engine| history.record_stable(&outcomes(engine, "a", 2, 2, 0), step * 100));
        (0..8).for_each(|engine| history.record_candidate(&outcomes(engine, "a", 1, 1, 0), step * 100));
    }
    assert!(history.evidence().strength() < 1.0, "{}", history.evidence().strength());
    for step in 50..100 {
        (100..130).for_each(|engine| history.record_stable(&outcomes(engine, "a", 4, 0, 0), step * 100));
        (0..8).for_each(|engine| history.record_candidate(&outcomes(engine, "a", 1, 0, 0), step * 100));
    }
    assert!(history.evidence().exclusion_ratio() < -20.0);
    for step in 100..106 {
        (100..130).for_each(|engine| history.record_stable(&outcomes(engine, "a", 4, 0, 0), step * 100));
        (0..8).for_each(|engine| history.record_candidate(&outcomes(engine, "a", 1, 1, 0), step * 100));
    }
    assert!(history.evidence().strength() >= ALARM, "it became faulty after 10 s");
}

#[test]
fn the_stable_rate_is_kept_without_new_samples() {
    let mut history = OutcomeHistory::new(DETECTION);
    for step in 0..30 {
        (100..130).for_each(|engine| history.record_stable(&outcomes(engine, "a", 4, 1, 0), step * 100));
    }
    for step in 100..130 {
        (0..8).for_each(|engine| history.record_candidate(&outcomes(engine, "a", 4, 1, 0), step * 100));
    }
    let (rate, _) = history.current_stable_rates("a");
    assert!((0.15..0.25).contains(&rate), "{rate}");
    assert!(history.evidence().strength() < ALARM, "{}", history.evidence().strength());
}

#[test]
fn failing_engines_of_the_stable_version_do_not_raise_its_rate_but_weaken_the_evidence() {
    let mut history = OutcomeHistory::new(DETECTION);
    for step in 0..30 {
        for engine in 100..130 {
            let failed = u64::from(engine < 109 && step % 2 == 0);
            history.record_stable(&outcomes(engine, "a", 1 - failed, failed, 0), step * 100);
        }
    }
    let (rate, failing_share) = history.current_stable_rates("a");
    assert!(rate < 0.03, "{rate}");
    assert!((0.2..0.4).contains(&failing_share), "{failing_share}");
    // Three of ten engines of a healthy candidate are failing too.
    for engine in 0..10 {
        let failed = if engine < 3 { 8 } else { 0 };
        history.record_candidate(&outcomes(engine, "a", 16 - failed, failed, 0), 3000);
    }
    assert!(history.evidence().strength() < ALARM, "{}", history.evidence().strength());
    (10..20).for_each(|engine| history.record_candidate(&outcomes(engine, "a", 4, 4, 0), 3900));
    assert!(history.evidence().strength() >= ALARM, "ten more engines fail, and none of them is healthy");
}
