//! Guards against bodies that hold memory for ever by stopping short of their end or by sending a byte now and then.

use super::{BodyProgress, CHECK_INTERVAL_MS, MIN_INTERVAL_BYTES};
use crate::body::BodyLimits;

const LIMITS: BodyLimits = BodyLimits { max_bytes: 1, idle_ms: 3000, deadline_ms: 8000 };

#[test]
fn a_body_times_out_when_it_is_idle_or_past_its_deadline() {
    let mut progress = BodyProgress::start(0);
    assert!(!progress.has_timed_out(&LIMITS, 2999, false));
    assert!(progress.has_timed_out(&LIMITS, 3000, false));
    progress.record_frame(1, 7000);
    assert!(!progress.has_timed_out(&LIMITS, 7999, false));
    assert!(progress.has_timed_out(&LIMITS, 8000, false), "a byte now and then does not move the deadline");
}

#[test]
fn a_body_that_trickles_times_out_only_while_others_wait() {
    for (bytes, others_wait, expected) in [
        (MIN_INTERVAL_BYTES - 1, true, true),
        (MIN_INTERVAL_BYTES - 1, false, false),
        (MIN_INTERVAL_BYTES, true, false),
    ] {
        let mut progress = BodyProgress::start(0);
        progress.record_frame(bytes, 500);
        assert!(!progress.has_timed_out(&LIMITS, CHECK_INTERVAL_MS - 1, others_wait));
        assert_eq!(progress.has_timed_out(&LIMITS, CHECK_INTERVAL_MS, others_wait), expected, "{bytes} {others_wait}");
    }
}

#[test]
fn the_next_check_is_never_later_than_the_first_timeout() {
    let mut progress = BodyProgress::start(0);
    assert_eq!(progress.wait_ms(&LIMITS, 0), CHECK_INTERVAL_MS);
    assert!(!progress.has_timed_out(&LIMITS, 2500, false));
    assert_eq!(progress.wait_ms(&LIMITS, 2500), 500, "idle at 3000");
    progress.record_frame(1, 7500);
    assert!(!progress.has_timed_out(&LIMITS, 7600, false));
    assert_eq!(progress.wait_ms(&LIMITS, 7600), 400, "the deadline is 8000");
}
