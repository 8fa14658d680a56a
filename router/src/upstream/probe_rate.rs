//! How many of the routers that know of an engine in doubt ask it, and how often.

/// The pause to the next probe where few ask.
const PROBE_INTERVAL_MS: u64 = 300;
/// Of many routers only about so many ask a doubted engine at once and in each pause; the rest are told.
const TARGET_PROBERS: u64 = 8;
/// The longest pause of one that has seen for itself that the engine does not answer.
const MAX_PROBE_INTERVAL_MS: u64 = 3000;
/// The askers that are drawn begin spread over this, so that the first to find out can tell the others.
pub const PROBE_JITTER_MS: u64 = 80;
/// While in doubt an engine is left alone; a probe that is answered ends it.
pub const SUSPICION_MS: u64 = 20_000;

/// The pause to the next probe of one that got no answer; the second comes soon, so that a false alarm is short.
pub fn probe_delay(unanswered: u32, routers: u32, roll: u64) -> u64 {
    if unanswered < 2 {
        return PROBE_INTERVAL_MS;
    }
    with_jitter(shared_interval(routers).clamp(PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS), roll)
}

/// The pause to the first probe of one that was only told: among all of them some ask in each pause.
pub fn reported_probe_delay(routers: u32, roll: u64) -> u64 {
    with_jitter(shared_interval(routers).clamp(PROBE_INTERVAL_MS, SUSPICION_MS), roll)
}

fn shared_interval(routers: u32) -> u64 {
    PROBE_INTERVAL_MS * u64::from(routers) / TARGET_PROBERS
}

fn with_jitter(mean: u64, roll: u64) -> u64 {
    mean * 3 / 4 + roll % (mean / 2)
}

/// Is this router one of those that ask?
pub fn is_sampled(routers: u32, roll: u64) -> bool {
    roll % u64::from(routers.max(1)) < TARGET_PROBERS
}

#[cfg(test)]
#[path = "probe_rate_tests.rs"]
mod tests;
