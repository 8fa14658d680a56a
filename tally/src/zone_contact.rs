//! Tells a network partition from a loss of replicas: in a partition no process of another zone answers, while the loss
//! of a zone's replicas leaves its other processes, which still do.

/// How long an answer shows that its sender can be reached, in milliseconds. Longer than two exchange rounds and than
/// the timeout of one call; below a second, so that an addition at the start of a partition is acknowledged before its
/// caller times out.
pub const REACH_MS: u64 = 850;
/// The silence of a zone's replicas after which other processes of the zone are probed, in milliseconds. Longer than
/// the interval between two exchanges.
pub(crate) const PROBE_AFTER_MS: u64 = 400;
/// Interval between two probes of a zone that does not answer, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 700;
/// How long an unanswered probe counts, in milliseconds: one interval, and the timeout of the next probe.
const UNANSWERED_TTL_MS: u64 = 1500;

/// When the processes of one zone last answered, and when they last failed to. Times are in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ZoneContact {
    answered_at: Option<u64>,
    probe_sent_at: Option<u64>,
    /// When the last probe was sent to which no process of the zone responded.
    unanswered_probe_sent_at: Option<u64>,
}

impl ZoneContact {
    /// Records that a process of the zone answered at `now`.
    pub fn record_answer(&mut self, now: u64) {
        self.answered_at = self.answered_at.max(Some(now));
    }

    /// Records that a probe is sent.
    pub fn record_probe(&mut self, now: u64) {
        self.probe_sent_at = Some(now);
    }

    /// Records that no process of the zone answered the probe that was sent at `sent_at`.
    pub fn record_unanswered_probe(&mut self, sent_at: u64) {
        self.unanswered_probe_sent_at = self.unanswered_probe_sent_at.max(Some(sent_at));
    }

    /// Discards what was observed before a pause of this process of `length_ms` that ended at `now`: no answer could
    /// arrive during the pause.
    pub fn extend_by_pause(&mut self, length_ms: u64, now: u64) {
        self.answered_at = self.answered_at.map(|answered_at| now.min(answered_at + length_ms));
        (self.probe_sent_at, self.unanswered_probe_sent_at) = (None, None);
    }

    /// Returns whether a process of the zone answered recently.
    pub fn is_reachable(&self, now: u64) -> bool {
        self.answered_at.is_some_and(|answered_at| answered_at + REACH_MS > now)
    }

    /// Returns whether a recent probe shows that no process of the zone can be reached. Neither this nor
    /// [`is_reachable`](Self::is_reachable) holds while that is unknown.
    pub fn is_unreachable(&self, now: u64) -> bool {
        let is_shown = |sent_at: u64| Some(sent_at) > self.answered_at && sent_at + UNANSWERED_TTL_MS > now;
        !self.is_reachable(now) && self.unanswered_probe_sent_at.is_some_and(is_shown)
    }

    /// Returns whether the zone should be probed now, given that its replicas are needed.
    pub fn is_probe_due(&self, now: u64) -> bool {
        let is_silent = self.answered_at.is_none_or(|answered_at| answered_at + PROBE_AFTER_MS <= now);
        let is_probed = self.probe_sent_at > self.answered_at
            && self.probe_sent_at.is_some_and(|sent_at| sent_at + PROBE_INTERVAL_MS > now);
        is_silent && !is_probed
    }
}

#[cfg(test)]
#[path = "zone_contact_tests.rs"]
mod tests;
