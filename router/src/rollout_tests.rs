//! Which version serves requests, and the samples that are reported of them.

use kernel::clock;
use load_balancing::Arm;
use protocol::message::{EndpointList, Engine};
use protocol::version_rollout::{candidates_of, RolloutState, VersionRollout};

use super::{apply, Rollouts, VersionOutcome};
use crate::testing::engine::{answer, engines, events, Act};
use crate::testing::router::{ask, router};

fn rollout(number: u64, state: RolloutState, share: u32) -> VersionRollout {
    VersionRollout {
        service: "s".into(),
        number,
        order: 1,
        target: "v2".into(),
        duration_ms: 12_000,
        state,
        share,
        elapsed_ms: 0,
        stable: None,
        reverted: Vec::new(),
        reason: String::new(),
    }
}

fn share_of(rollouts: &Rollouts, holds_lease: bool) -> usize {
    (0..1000).filter(|random| rollouts.select_variant(0, *random, holds_lease).is_candidate()).count()
}

#[test]
fn a_new_version_gets_its_share_under_a_lease_and_nothing_without() {
    let mut rollouts = Rollouts::default();
    assert_eq!(share_of(&rollouts, true), 0);
    rollouts.insert_if_newer(0, rollout(1, RolloutState::Active, 70));
    assert_eq!([share_of(&rollouts, true), share_of(&rollouts, false)], [70, 0]);
    rollouts.insert_if_newer(0, rollout(2, RolloutState::Active, 1000));
    assert_eq!([share_of(&rollouts, true), share_of(&rollouts, false)], [1000, 0]);
    assert!(!rollouts.insert_if_newer(0, rollout(1, RolloutState::Active, 70)), "older");
    rollouts.insert_if_newer(0, rollout(3, RolloutState::Reverted, 0));
    assert_eq!(share_of(&rollouts, true), 0);
    let mut complete = Rollouts::default();
    complete.insert_if_newer(0, rollout(3, RolloutState::Complete, 1000));
    assert_eq!(share_of(&complete, false), 1000, "also where it is cut off: the old version is no more");
}

#[test]
fn samples_are_kept_by_route_and_version_while_a_rollout_is_active() {
    let mut rollouts = Rollouts::default();
    assert!(!rollouts.record(0, "r", Arm::Stable, VersionOutcome::Failed));
    rollouts.insert_if_newer(0, rollout(1, RolloutState::Active, 70));
    rollouts.record(0, "r", Arm::Stable, VersionOutcome::Success { event_interval_us: Some(7000) });
    rollouts.record(0, "r", Arm::Candidate(70), VersionOutcome::Failed);
    rollouts.record(0, "r", Arm::Candidate(70), VersionOutcome::Success { event_interval_us: None });
    let samples = rollouts.drain_samples();
    let counts: Vec<_> = samples[0].list.iter().map(|one| (one.is_candidate, one.good, one.failed)).collect();
    assert_eq!(counts, [(false, 1, 0), (true, 1, 1)]);
    assert_eq!(samples[0].list[0].paces, [(7000, 1)]);
    assert!(rollouts.drain_samples().is_empty());
    rollouts.insert_if_newer(0, rollout(2, RolloutState::Complete, 1000));
    assert!(!rollouts.record(0, "r", Arm::Stable, VersionOutcome::Failed));
}

#[tokio::test]
async fn requests_go_to_the_version_that_the_rollout_gives_them() {
    let old = engines("decode", 1, |seen, _| Act::Send(answer(seen, "200 OK", "old"))).await;
    let new = engines("decode", 2, |seen, _| match seen.attempt().starts_with('f') {
        true => Act::Send(answer(seen, "500 Internal Server Error", "bad")),
        false => Act::Send(events(seen, 1, 4, true)),
    })
    .await;
    let state = router(&old);
    let list = new.iter().enumerate();
    let list = list.map(|(at, engine)| Engine { id: format!("new-{at}"), ..engine.entry() }).collect();
    let endpoints = EndpointList { zone: candidates_of("a"), term: 1, sequence: 1, engines: list };
    state.engines().update(&endpoints, clock::now());
    assert!(ask(&state, "once", "a", "").await.ends_with("old"), "without a rollout");
    apply(&state, rollout(1, RolloutState::Active, 1000));
    assert!(ask(&state, "once", "b", "").await.ends_with("old"), "without a lease");
    state.staleness_bounds().renew_lease(clock::now());
    assert!(ask(&state, "stream", "c", "").await.contains("token-3"));
    ask(&state, "once", "f", "").await;
    let samples = state.rollouts().drain_samples();
    let counts: Vec<_> =
        samples[0].list.iter().map(|one| (one.route.as_str(), one.is_candidate, one.good, one.failed)).collect();
    assert_eq!(counts, [("once", false, 1, 0), ("once", true, 0, 1), ("stream", true, 1, 0)]);
    apply(&state, rollout(2, RolloutState::Reverted, 0));
    assert!(ask(&state, "once", "d", "").await.ends_with("old"), "reverted");
}
