//! How many of the routers that know of an engine in doubt ask it, and how often.

/// The pause to the next probe where few ask.
const PAUSE_MS: u64 = 300;
/// Of many routers only about so many ask a doubted engine at once and in each pause; the rest are told.
const ASKERS: u64 = 8;
/// The longest pause of one that has seen for itself that the engine does not answer.
const PAUSE_MOST_MS: u64 = 3000;
/// The askers that are drawn begin spread over this, so that the first to find out can tell the others.
pub const SPREAD_MS: u64 = 80;
/// While in doubt an engine is left alone; a probe that is answered ends it.
pub const SHY_MS: u64 = 20_000;

/// The pause to the next probe of one that got no answer; the second comes soon, so that a false alarm is short.
pub fn pause(strikes: u32, routers: u32, roll: u64) -> u64 {
    if strikes < 2 {
        return PAUSE_MS;
    }
    spread(shared_pause(routers).clamp(PAUSE_MS, PAUSE_MOST_MS), roll)
}

/// The pause to the first probe of one that was only told: among all of them some ask in each pause.
pub fn told_pause(routers: u32, roll: u64) -> u64 {
    spread(shared_pause(routers).clamp(PAUSE_MS, SHY_MS), roll)
}

fn shared_pause(routers: u32) -> u64 {
    PAUSE_MS * u64::from(routers) / ASKERS
}

fn spread(mean: u64, roll: u64) -> u64 {
    mean * 3 / 4 + roll % (mean / 2)
}

/// Is this router one of those that ask?
pub fn is_drawn(routers: u32, roll: u64) -> bool {
    roll % u64::from(routers.max(1)) < ASKERS
}

#[cfg(test)]
#[path = "probe_rate_tests.rs"]
mod tests;
