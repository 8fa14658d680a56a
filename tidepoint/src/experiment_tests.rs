//! What the flags of experiments take.

use experiment::rollout::{run, Ablation, Disturbance, Fleet, Scenario, Version};

use super::{parse_ablation, positive, row};

#[test]
fn parts_that_can_be_switched_off_have_names() {
    assert_eq!(parse_ablation(None).ok(), Some(Ablation::Complete));
    assert_eq!(parse_ablation(Some("load")).ok(), Some(Ablation::NoLoad));
    let error = parse_ablation(Some("loads")).expect_err("unknown").to_string();
    assert_eq!(error, "--without: baseline, engines or load");
}

#[test]
fn numbers_are_above_zero() {
    assert_eq!(positive("--slots", 3_u32).ok(), Some(3));
    assert_eq!(positive("--slots", 0_u32).expect_err("zero").to_string(), "--slots: a number above 0");
    assert!(positive("--per-s", f64::NAN).is_err() && positive("--per-s", -1.0).is_err());
}

#[test]
fn a_row_tells_scenario_and_outcome() {
    let fleet = Fleet { engines: 6, slots: 8, requests_per_s: 40.0 };
    let (version, disturbance) = (Version::Errors(0.5), Disturbance::FailAll(0.2));
    let scenario = Scenario { fleet, duration_ms: 8000, version, disturbance, ablation: Ablation::Complete };
    let row = row(&run(&scenario, 1, 1));
    let words: Vec<&str> = row.split_whitespace().collect();
    assert_eq!(words[..6], ["errors", "0.5", "failing", "all", "0.2", "1"]);
    assert_eq!(words.len(), 10, "{row}");
}
