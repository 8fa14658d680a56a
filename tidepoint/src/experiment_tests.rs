//! Tests of the flags and table rows of the `experiment` command.

use experiment::rollout::{run, Ablation, Disturbance, Fleet, Scenario, Version};

use super::{format_row, parse_ablation, require_positive};

#[test]
fn ablation_accepts_known_parts_and_rejects_others() {
    assert_eq!(parse_ablation(None).ok(), Some(Ablation::Complete));
    assert_eq!(parse_ablation(Some("load")).ok(), Some(Ablation::NoLoad));
    let error = parse_ablation(Some("loads")).expect_err("an unknown part is rejected").to_string();
    assert_eq!(error, "--without: baseline, engines or load");
}

#[test]
fn numbers_must_be_above_zero() {
    assert_eq!(require_positive("--slots", 3_u32).ok(), Some(3));
    assert_eq!(
        require_positive("--slots", 0_u32).expect_err("zero is rejected").to_string(),
        "--slots: a number above 0"
    );
    assert!(require_positive("--per-s", f64::NAN).is_err() && require_positive("--per-s", -1.0).is_err());
}

#[test]
fn row_shows_scenario_and_outcome() {
    let fleet = Fleet { engines: 6, slots: 8, requests_per_s: 40.0 };
    let (version, disturbance) = (Version::Errors(0.5), Disturbance::FailAll(0.2));
    let scenario = Scenario { fleet, duration_ms: 8000, version, disturbance, ablation: Ablation::Complete };
    let row = format_row(&run(&scenario, 1, 1));
    let words: Vec<&str> = row.split_whitespace().collect();
    assert_eq!(words[..6], ["errors", "0.5", "failing", "all", "0.2", "1"]);
    assert_eq!(words.len(), 10, "{row}");
}
