//! Which lost requests and process exits are violations.

use std::time::{Duration, Instant};

use super::{is_lost, Attempt, AttemptRecord, DaemonHistory, Incarnation, Outcome, Report, Target};

const GRACE: Duration = Duration::from_secs(8);

/// Returns whether a request counts as lost that was sent and cut off at these times, in milliseconds after SIGTERM.
fn lost(sent_ms: u64, ended_ms: u64, runs: usize) -> bool {
    let sigterm = Instant::now();
    let at = |ms| sigterm + Duration::from_millis(ms);
    let attempt = Attempt {
        id: "1".into(),
        router: 0,
        sent: at(sent_ms),
        ended: at(ended_ms),
        outcome: Outcome::Cut,
        prior_requests: 0,
    };
    let record = AttemptRecord { prefills: 0, runs: vec![sigterm; runs], cancelled: true };
    let incarnation =
        Incarnation { started: sigterm, terminated: Some(sigterm), reloaded: None, killed: false, exited: None };
    is_lost(&attempt, &record, Some(incarnation), GRACE)
}

#[test]
fn forwarded_request_is_lost_unless_sent_early_and_running_until_the_end_of_the_grace_period() {
    assert!(lost(7100, 7450, 1), "accepted long after SIGTERM and abandoned");
    assert!(lost(1000, 2000, 1), "abandoned with time left to finish it");
    assert!(!lost(2900, 7700, 1), "still running at the end of the grace period");
}

#[test]
fn exit_after_sighup_is_a_violation_unless_the_process_could_not_handle_signals_yet() {
    let started = Instant::now();
    let at = |ms| started + Duration::from_millis(ms);
    let violations = |reloaded: Option<Instant>, exit_ms| {
        let exited = Some((at(exit_ms), false));
        let incarnation = Incarnation { started, terminated: None, reloaded, killed: false, exited };
        let history = DaemonHistory { target: Target::Router(0), incarnations: vec![incarnation] };
        let mut report = Report::default();
        report.check_exits(&history, GRACE);
        report.violations.len()
    };
    assert_eq!(violations(Some(at(1)), 2), 0);
    assert_eq!(violations(Some(at(30)), 31), 1, "the process handled signals by then");
    assert_eq!(violations(Some(at(1)), 500), 1, "the process exited later, not because of SIGHUP");
    assert_eq!(violations(None, 2), 1);
}

#[test]
fn request_that_was_not_forwarded_is_lost_only_if_its_connection_ended_late() {
    assert!(!lost(3010, 3050, 0), "sent while the router closed the connection");
    assert!(lost(3010, 3400, 0), "held without a response");
}
