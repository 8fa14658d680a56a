//! A small draw of rollouts, and that parts of the design which are switched off are noticed.

use protocol::version_rollout::RolloutState;

use super::{run, simulate, Ablation, Disturbance, Fleet, Scenario, Version};

const FLEET: Fleet = Fleet { engines: 36, slots: 64, requests_per_s: 310.0 };

fn scenario(version: Version, disturbance: Disturbance) -> Scenario {
    Scenario { fleet: FLEET, duration_ms: 12_000, version, disturbance, ablation: Ablation::Complete }
}

#[test]
fn a_seed_gives_the_same_term_again() {
    let scenario = scenario(Version::UnderLoad, Disturbance::GreyErrors(0.3));
    assert_eq!(simulate(&scenario, 5), simulate(&scenario, 5));
    assert!((1..6).any(|seed| simulate(&scenario, seed) != simulate(&scenario, 6)));
}

#[test]
fn good_versions_become_the_only_one() {
    for disturbance in [Disturbance::Nothing, Disturbance::ZoneLost] {
        assert_eq!(run(&scenario(Version::Good, disturbance), 16, 1).complete, 16);
    }
}

#[test]
fn where_many_engines_fail_by_themselves_no_version_becomes_the_only_one() {
    // A good version can't be told from a faulty one for sure there, and a faulty one must not stay.
    for version in [Version::Good, Version::Errors(0.1), Version::UnderLoad] {
        for disturbance in [Disturbance::GreyErrors(0.3), Disturbance::GreySlow(0.3)] {
            let summary = run(&scenario(version, disturbance), 16, 1);
            assert!(summary.complete <= 1, "{summary:?}");
        }
    }
}

#[test]
fn faulty_versions_are_taken_back_within_the_exposure_allowed() {
    let versions = [Version::Errors(0.5), Version::Slow(3.0), Version::UnderLoad, Version::OneRoute];
    for version in versions {
        for disturbance in [Disturbance::Nothing, Disturbance::GreyErrors(0.3), Disturbance::FailAll(0.2)] {
            let summary = run(&scenario(version, disturbance), 8, 2);
            assert_eq!([summary.reverted, summary.over_exposed], [8, 0], "{summary:?}");
        }
    }
}

#[test]
fn a_judge_that_does_not_know_the_load_lets_a_version_pass_that_does_not_bear_it() {
    let blind = Scenario { ablation: Ablation::NoLoad, ..scenario(Version::UnderLoad, Disturbance::Nothing) };
    let summary = run(&blind, 8, 3);
    assert!(summary.complete + summary.over_exposed >= 1, "{summary:?}");
}

#[test]
fn a_judge_that_does_not_tell_engines_apart_takes_good_versions_back() {
    let told_apart = scenario(Version::Good, Disturbance::GreyErrors(0.05));
    let pooled = Scenario { ablation: Ablation::EnginesNotToldApart, ..told_apart };
    let [told_apart, pooled] = [told_apart, pooled].map(|scenario| run(&scenario, 32, 4).reverted);
    assert!(pooled >= told_apart + 6, "{pooled} and {told_apart} of 32");
}

#[test]
fn a_judge_without_the_version_in_place_takes_good_versions_back() {
    let alone = Scenario { ablation: Ablation::NoBaseline, ..scenario(Version::Good, Disturbance::Everywhere(0.1)) };
    assert!(run(&alone, 8, 5).reverted >= 6);
}

#[test]
fn a_term_ends() {
    let outcome = simulate(&scenario(Version::Good, Disturbance::Nothing), 9);
    assert_ne!(outcome.state, RolloutState::Active);
    assert!(outcome.requests > 3000 && outcome.candidate_requests > 0);
}
