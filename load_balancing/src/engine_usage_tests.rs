//! Tests of the totals and samples of requests in flight.

use std::collections::HashMap;

use protocol::message::Engine;

use super::{summarize_usage, PhaseKey, TotalUsage, UsageSample};

fn engines(count: usize, phase: &str) -> Vec<Engine> {
    let engine = |number| Engine {
        id: format!("i-{phase}-{number}"),
        service: "s".into(),
        addr: String::new(),
        zone: "a".into(),
        phase: phase.into(),
        model: "m".into(),
        slots: 16,
        up: true,
        cold_ms: 0,
    };
    (0..count).map(engine).collect()
}

fn key(prefill: bool) -> PhaseKey {
    PhaseKey { service: "s".into(), prefill }
}

/// Returns one controller's report with one request at each engine.
fn usage_of(fleet: &[Engine]) -> protocol::message::EngineUsage {
    let in_flight: HashMap<&str, u32> = fleet.iter().map(|engine| (engine.id.as_str(), 1)).collect();
    let eligible: Vec<&Engine> = fleet.iter().collect();
    summarize_usage("10.0.0.1", &eligible, &UsageSample::of(fleet.iter()), &in_flight)
}

#[test]
fn every_engine_of_a_small_fleet_is_reported_individually() {
    let fleet = [engines(9, "prefill"), engines(40, "decode")].concat();
    let usage = usage_of(&fleet);
    assert_eq!(usage.sampled.len(), 49);
    let mut total = TotalUsage::default();
    total.add(&usage);
    total.add(&usage);
    assert_eq!((total.total(&key(true)), total.total(&key(false))), (18, 80));
    assert!(fleet.iter().all(|engine| total.sampled(&engine.id) == 2));
    assert_eq!((total.sampled("i-unknown"), total.total(&PhaseKey { service: "t".into(), prefill: true })), (0, 0));
}

#[test]
fn the_size_of_a_report_does_not_grow_with_the_fleet() {
    for count in [200, 1600, 6400] {
        let usage = usage_of(&engines(count, "decode"));
        assert!((30..130).contains(&usage.sampled.len()), "{} of {count} engines", usage.sampled.len());
        assert_eq!(usage.totals.len(), 1);
        assert_eq!(usage.totals[0].in_flight, count as u32, "the total must cover all engines");
    }
}

#[test]
fn engines_that_are_not_eligible_are_left_out_of_the_report() {
    let fleet = engines(10, "decode");
    let in_flight: HashMap<&str, u32> = fleet.iter().map(|engine| (engine.id.as_str(), 5)).collect();
    let eligible: Vec<&Engine> = fleet.iter().take(4).collect();
    let usage = summarize_usage("10.0.0.1", &eligible, &UsageSample::of(fleet.iter()), &in_flight);
    assert_eq!((usage.totals[0].in_flight, usage.sampled.len()), (20, 4));
}
