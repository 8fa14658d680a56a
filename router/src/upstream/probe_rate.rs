//! Limits how many routers probe a suspected engine, and how often.

/// Interval between probes while few routers probe, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 300;
/// Approximate number of routers that probe a suspected engine at once and in each interval; the others rely on their
/// reports.
const TARGET_PROBERS: u64 = 8;
/// Maximum interval, before jitter, of a router whose own probes got no response, in milliseconds.
const MAX_PROBE_INTERVAL_MS: u64 = 3000;
/// Maximum jitter before the first probe of a sampled router, in milliseconds, so that the first to get a result can
/// report it to the others.
pub const PROBE_JITTER_MS: u64 = 80;
/// How long a suspected engine is avoided, in milliseconds, unless it responds to a probe earlier.
pub const SUSPICION_MS: u64 = 20_000;

/// Returns the delay before the next probe, in milliseconds, after `unanswered` probes without a response. The second
/// probe follows soon, so that a false suspicion is short.
pub fn probe_delay(unanswered: u32, routers: u32, random: u64) -> u64 {
    if unanswered < 2 {
        return PROBE_INTERVAL_MS;
    }
    with_jitter(shared_interval(routers).clamp(PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS), random)
}

/// Returns the delay before the first probe of a router that knows of the suspicion only from a report, in
/// milliseconds. The probes of all such routers are spread so that some of them probe in each interval.
pub fn reported_probe_delay(routers: u32, random: u64) -> u64 {
    with_jitter(shared_interval(routers).clamp(PROBE_INTERVAL_MS, SUSPICION_MS), random)
}

/// Returns the interval per router that yields the target rate of probes over all routers, in milliseconds.
fn shared_interval(routers: u32) -> u64 {
    PROBE_INTERVAL_MS * u64::from(routers) / TARGET_PROBERS
}

/// Returns a random value between 3/4 and 5/4 of `mean`.
fn with_jitter(mean: u64, random: u64) -> u64 {
    mean * 3 / 4 + random % (mean / 2)
}

/// Returns whether this router is sampled to probe the engine.
pub fn is_sampled(routers: u32, random: u64) -> bool {
    random % u64::from(routers.max(1)) < TARGET_PROBERS
}

#[cfg(test)]
#[path = "probe_rate_tests.rs"]
mod tests;
