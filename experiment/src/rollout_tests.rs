//! Tests small samples of simulated rollouts, and that the experiment detects parts of the design that are switched
//! off.

use protocol::version_rollout::RolloutState;

use super::{run, simulate, Ablation, Disturbance, Fleet, Scenario, Version};

const FLEET: Fleet = Fleet { engines: 36, slots: 64, requests_per_s: 310.0 };

fn scenario(version: Version, disturbance: Disturbance) -> Scenario {
    Scenario { fleet: FLEET, duration_ms: 12_000, version, disturbance, ablation: Ablation::Complete }
}

#[test]
fn same_seed_gives_the_same_outcome() {
    let scenario = scenario(Version::UnderLoad, Disturbance::GreyErrors(0.3));
    assert_eq!(simulate(&scenario, 5), simulate(&scenario, 5));
    assert!((1..6).any(|seed| simulate(&scenario, seed) != simulate(&scenario, 6)));
}

#[test]
fn good_versions_complete_without_disturbance_or_with_a_zone_outage() {
    for disturbance in [Disturbance::Nothing, Disturbance::ZoneLost] {
        assert_eq!(run(&scenario(Version::Good, disturbance), 16, 1).complete, 16);
    }
}

#[test]
fn almost_no_version_completes_while_many_engines_are_grey() {
    // A good version can't be reliably distinguished from a faulty one then, and a faulty one must not complete.
    for version in [Version::Good, Version::Errors(0.1), Version::UnderLoad] {
        for disturbance in [Disturbance::GreyErrors(0.3), Disturbance::GreySlow(0.3)] {
            let summary = run(&scenario(version, disturbance), 16, 1);
            assert!(summary.complete <= 1, "{summary:?}");
        }
    }
}

#[test]
fn faulty_versions_are_rolled_back_within_the_exposure_limit() {
    let versions = [Version::Errors(0.5), Version::Slow(3.0), Version::UnderLoad, Version::OneRoute];
    for version in versions {
        for disturbance in [Disturbance::Nothing, Disturbance::GreyErrors(0.3), Disturbance::FailAll(0.2)] {
            let summary = run(&scenario(version, disturbance), 8, 2);
            assert_eq!([summary.reverted, summary.over_exposed], [8, 0], "{summary:?}");
        }
    }
}

#[test]
fn analysis_without_load_misses_a_version_that_fails_under_load() {
    let without_load = Scenario { ablation: Ablation::NoLoad, ..scenario(Version::UnderLoad, Disturbance::Nothing) };
    let summary = run(&without_load, 8, 3);
    assert!(summary.complete + summary.over_exposed >= 1, "{summary:?}");
}

#[test]
fn analysis_without_engine_identity_rolls_back_good_versions() {
    let by_engine = scenario(Version::Good, Disturbance::GreyErrors(0.05));
    let pooled = Scenario { ablation: Ablation::EnginesNotToldApart, ..by_engine };
    let [by_engine, pooled] = [by_engine, pooled].map(|scenario| run(&scenario, 32, 4).reverted);
    assert!(pooled >= by_engine + 6, "of 32 rolled back: {pooled} pooled, {by_engine} by engine");
}

#[test]
fn analysis_without_a_baseline_rolls_back_good_versions() {
    let without_baseline =
        Scenario { ablation: Ablation::NoBaseline, ..scenario(Version::Good, Disturbance::Everywhere(0.1)) };
    assert!(run(&without_baseline, 8, 5).reverted >= 6);
}

#[test]
fn trial_ends_with_a_decided_rollout() {
    let outcome = simulate(&scenario(Version::Good, Disturbance::Nothing), 9);
    assert_ne!(outcome.state, RolloutState::Active);
    assert!(outcome.requests > 3000 && outcome.candidate_requests > 0);
}
