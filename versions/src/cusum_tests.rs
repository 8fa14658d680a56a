//! What one engine and one zone can add.

use super::{Cusum, EngineOutcomes, Tuning, ALARM_THRESHOLD};

const TUNING: Tuning = Tuning { allowed_excess: 0.02, alarm_excess: 0.2 };
const BASE_RATE: f64 = 0.005;

fn failed(engine: u64, zone: &str, failed: u64) -> EngineOutcomes<'_> {
    EngineOutcomes { engine, zone, passed: 0, failed, lost: 0 }
}

fn lost(engine: u64, zone: &str, lost: u64) -> EngineOutcomes<'_> {
    EngineOutcomes { engine, zone, passed: 0, failed: 0, lost }
}

fn passed(engine: u64, passed: u64) -> EngineOutcomes<'static> {
    EngineOutcomes { engine, zone: "a", passed, failed: 0, lost: 0 }
}

#[test]
fn one_engine_among_many_cannot_raise_the_alarm() {
    let mut cusum = Cusum::new(TUNING);
    (0..20).for_each(|engine| cusum.record(&passed(engine, 1), BASE_RATE));
    cusum.record(&failed(3, "a", 100), BASE_RATE);
    assert!((cusum.value() - ALARM_THRESHOLD / 4.0).abs() < 1e-9, "{}", cusum.value());
    for engine in 4..7 {
        assert!(cusum.value() < ALARM_THRESHOLD);
        cusum.record(&failed(engine, "a", 100), BASE_RATE);
    }
    assert!(cusum.value() >= ALARM_THRESHOLD - 1e-9, "{}", cusum.value());
}

#[test]
fn an_engine_that_is_alone_can_raise_the_alarm() {
    let mut cusum = Cusum::new(TUNING);
    cusum.record(&failed(3, "a", 5), BASE_RATE);
    assert!(cusum.value() >= ALARM_THRESHOLD);
}

#[test]
fn the_lost_responses_of_one_zone_among_several_cannot_raise_the_alarm() {
    let mut cusum = Cusum::new(TUNING);
    cusum.record(&EngineOutcomes { engine: 99, zone: "b", passed: 1, failed: 0, lost: 0 }, BASE_RATE);
    (0..20).for_each(|engine| cusum.record(&lost(engine, "a", 10), BASE_RATE));
    assert!(cusum.value() <= 0.6 * ALARM_THRESHOLD + 1e-9, "{}", cusum.value());
    (20..40).for_each(|engine| cusum.record(&lost(engine, "b", 10), BASE_RATE));
    assert!(cusum.value() >= ALARM_THRESHOLD);
}

#[test]
fn an_engine_whose_part_has_faded_can_add_again() {
    let mut cusum = Cusum::new(TUNING);
    (0..20).for_each(|engine| cusum.record(&passed(engine, 1), BASE_RATE));
    cusum.record(&failed(3, "a", 100), BASE_RATE);
    let first = cusum.value();
    cusum.record(&passed(1, 5), BASE_RATE);
    let faded = cusum.value();
    assert!(faded > 0.0 && faded < first);
    cusum.record(&failed(3, "a", 100), BASE_RATE);
    assert!((cusum.value() - first).abs() < 1e-9, "back at its cap: {}", cusum.value());
    cusum.record(&passed(1, 1000), BASE_RATE);
    assert_eq!(cusum.value(), 0.0);
    cusum.record(&failed(3, "a", 100), BASE_RATE);
    assert!((cusum.value() - first).abs() < 1e-9);
}
