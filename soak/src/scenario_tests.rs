//! Schedules drawn from seeds.

use super::{Action, Scenario, Target};

#[test]
fn one_seed_gives_one_schedule_and_another_seed_another() {
    let draw = |seed| format!("{:?}", Scenario::short(seed).events());
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
}

#[test]
fn over_some_seeds_every_daemon_gets_every_signal() {
    let scenario = Scenario::short(0);
    let events: Vec<_> = (1..40).flat_map(|seed| Scenario::short(seed).events()).collect();
    let targets = (0..scenario.routers).map(Target::Router).chain((0..scenario.controllers).map(Target::Controller));
    for target in targets {
        for action in [Action::Terminate, Action::Reload] {
            let is_there = events.iter().any(|event| event.target == target && event.action == action);
            assert!(is_there, "{target:?} never gets {action:?}");
        }
    }
}
