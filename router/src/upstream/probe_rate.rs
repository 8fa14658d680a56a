//! How many of the routers that know of a suspected engine probe it, and how often.

/// The pause before the next probe where few routers probe, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 300;
/// Of many routers only about so many probe a suspected engine at once and in each interval; the rest rely on their
/// reports.
const TARGET_PROBERS: u64 = 8;
/// The longest interval of a router that has seen for itself that the engine does not respond, in milliseconds.
const MAX_PROBE_INTERVAL_MS: u64 = 3000;
/// Sampled routers begin to probe spread over this time, in milliseconds, so that the first to find out can report
/// to the others.
pub const PROBE_JITTER_MS: u64 = 80;
/// How long a suspected engine is avoided, in milliseconds; a probe that is answered ends it earlier.
pub const SUSPICION_MS: u64 = 20_000;

/// Returns the delay before the next probe, in milliseconds, after `unanswered` probes. The second comes soon, so
/// that a false alarm is short.
pub fn probe_delay(unanswered: u32, routers: u32, roll: u64) -> u64 {
    if unanswered < 2 {
        return PROBE_INTERVAL_MS;
    }
    with_jitter(shared_interval(routers).clamp(PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS), roll)
}

/// Returns the delay before the first probe of a router that only has a report, in milliseconds: of all such
/// routers some probe in each interval.
pub fn reported_probe_delay(routers: u32, roll: u64) -> u64 {
    with_jitter(shared_interval(routers).clamp(PROBE_INTERVAL_MS, SUSPICION_MS), roll)
}

/// Returns the interval that gives the wanted rate of probes over all routers, in milliseconds.
fn shared_interval(routers: u32) -> u64 {
    PROBE_INTERVAL_MS * u64::from(routers) / TARGET_PROBERS
}

/// Returns a value between 3/4 and 5/4 of `mean`.
fn with_jitter(mean: u64, roll: u64) -> u64 {
    mean * 3 / 4 + roll % (mean / 2)
}

/// Returns whether this router is one of those that probe.
pub fn is_sampled(routers: u32, roll: u64) -> bool {
    roll % u64::from(routers.max(1)) < TARGET_PROBERS
}

#[cfg(test)]
#[path = "probe_rate_tests.rs"]
mod tests;
