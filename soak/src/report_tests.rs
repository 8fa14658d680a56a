//! What counts as lost.

use std::time::{Duration, Instant};

use super::{is_lost, Attempt, Incarnation, Outcome, Sightings};

const GRACE: Duration = Duration::from_secs(8);

/// Returns whether a request is lost that is sent and cut so many milliseconds after SIGTERM.
fn lost(sent_ms: u64, ended_ms: u64, runs: usize) -> bool {
    let told = Instant::now();
    let at = |ms| told + Duration::from_millis(ms);
    let attempt = Attempt {
        id: "1".into(),
        router: 0,
        sent: at(sent_ms),
        ended: at(ended_ms),
        outcome: Outcome::Cut,
        earlier: 0,
    };
    let seen = Sightings { prefills: 0, runs: vec![told; runs], cut: true };
    let by = Incarnation { started: told, terminated: Some(told), ended: None };
    is_lost(&attempt, &seen, Some(by), GRACE)
}

#[test]
fn a_request_that_was_passed_on_is_lost_unless_it_was_sent_early_and_outlasted_the_grace() {
    assert!(lost(7100, 7450, 1), "taken long after SIGTERM and given up");
    assert!(lost(1000, 2000, 1), "there was time to finish it");
    assert!(!lost(2900, 7700, 1), "it outlasted the grace");
}

#[test]
fn a_request_that_was_not_passed_on_is_lost_only_if_its_connection_ended_late() {
    assert!(!lost(3010, 3050, 0), "it crossed the end of the connection");
    assert!(lost(3010, 3400, 0), "it was held without an answer");
}
